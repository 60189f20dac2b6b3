/**
 * The replicas that one entry knows, and the choice among them. A choice looks
 * at a few replicas only, so that its cost does not grow with the fleet.
 */
import * as hash from "./hash.ts";
import * as routing from "./routing.ts";

/** What a replica reports of itself. */
export interface ReplicaReport {
  /** Names of what it serves. */
  readonly serves: readonly string[];
  readonly capacity: number;
  readonly running: number;
  readonly queued: number;
  readonly serviceMs: number;
  readonly isLeaving: boolean;
}

/** A ping, with the work sent before it: its answer reports just that. */
export interface ReplicaPing {
  readonly sentAtMs: number;
  readonly sentWork: number;
}

/** Settings of a table. */
export interface ReplicaTableOptions {
  /** A replica that has not answered for so long is not used. */
  readonly maxSilenceMs: number;
}

/** How to choose. */
export interface PickOptions {
  readonly nowMs: number;
  readonly excluded: ReadonlySet<string>;
}

/** Age at which a pool's mean load is worked out anew. */
const MEAN_LOAD_TTL_MS = 50;
/** Pools are rebuilt at most so often, however many replicas come and go. */
const REBUILD_INTERVAL_MS = 50;

interface Member {
  readonly id: string;
  readonly delayMs: number;
  report: ReplicaReport | undefined;
  heardAtMs: number;
  isMarked: boolean;
  /** Work sent since the replica is known. */
  sent: number;
  /** Value of the counter that the last report contains. */
  reportedSent: number;
}

interface Pool {
  readonly members: readonly Member[];
  readonly ring: hash.HashRing;
  /** Means over the usable members, worked out at intervals. */
  means: PoolMeans;
  meansAtMs: number;
}

/** What a member's prediction leans on. */
interface PoolMeans {
  /** Work in a report for each slot: the pool's mean load. */
  readonly reported: number;
  /** Work that this entry sent since the reports, for each slot. */
  readonly sent: number;
}

const NO_MEANS: PoolMeans = { reported: 0, sent: 0 };
const MIN_SERVICE_MS = 1;

/**
 * Work at a replica now. What a report said fades towards the mean as work ends
 * and other entries send more; what this entry sent beyond its own mean is added.
 */
function predictWork(
  member: Member,
  report: ReplicaReport,
  context: { readonly means: PoolMeans; readonly nowMs: number },
): number {
  const { means, nowMs } = context;
  const ageMs = Math.max(0, nowMs - member.heardAtMs);
  const kept = Math.exp(-ageMs / Math.max(MIN_SERVICE_MS, report.serviceMs));
  const usual = means.reported * report.capacity;
  const reported = report.running + report.queued;
  const sent = member.sent - member.reportedSent;
  const beyondMean = sent - means.sent * report.capacity;
  return Math.max(0, usual + (reported - usual) * kept + beyondMean);
}

function isSameService(
  a: ReplicaReport | undefined,
  b: ReplicaReport,
): boolean {
  return a !== undefined && a.capacity === b.capacity &&
    a.serves.join() === b.serves.join();
}

/** Table of replicas, by id and by what they serve. */
export class ReplicaTable {
  readonly #options: ReplicaTableOptions;
  readonly #members = new Map<string, Member>();
  #pools: ReadonlyMap<string, Pool> = new Map();
  #isChanged = false;
  #builtAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ReplicaTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#members.size;
  }

  /** Adds a replica that has not reported yet. */
  add(id: string, delayMs: number): void {
    this.#members.set(id, {
      id,
      delayMs,
      report: undefined,
      heardAtMs: Number.NEGATIVE_INFINITY,
      isMarked: false,
      sent: 0,
      reportedSent: 0,
    });
  }

  remove(id: string): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    // A pool that still names it finds it unusable.
    member.report = undefined;
    this.#members.delete(id);
    this.#isChanged = true;
  }

  /** Takes a report that was not asked for. */
  recordReport(id: string, report: ReplicaReport): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    const isSame = isSameService(member.report, report);
    member.report = report;
    if (!isSame) this.#isChanged = true;
  }

  /** Takes the answer to a ping, with the counters as they stood when it was sent. */
  recordPong(id: string, ping: ReplicaPing): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.heardAtMs = Math.max(member.heardAtMs, ping.sentAtMs);
    member.reportedSent = ping.sentWork;
  }

  recordSent(id: string): void {
    const member = this.#members.get(id);
    if (member !== undefined) member.sent += 1;
  }

  /** What to keep with a ping that is sent now. */
  createPing(id: string, sentAtMs: number): ReplicaPing {
    const member = this.#members.get(id);
    return { sentAtMs, sentWork: member?.sent ?? 0 };
  }

  /** Marks the replicas that the VM list shows as leaving. */
  setLeaving(ids: ReadonlySet<string>): void {
    for (const member of this.#members.values()) {
      member.isMarked = ids.has(member.id);
    }
  }

  /** Usable replicas by what they serve. */
  countUsable(nowMs: number): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#freshPools(nowMs)].map(([name, pool]) => [
        name,
        pool.members.filter((member) => this.#isUsable(member, nowMs)).length,
      ]),
    );
  }

  /** Picks a replica, near its affinity key if it has one. */
  pick(
    name: string,
    options: PickOptions & {
      readonly affinityKey: string | undefined;
      readonly random: routing.RandomSource;
    },
  ): routing.Replica | undefined {
    const pool = this.#freshPools(options.nowMs).get(name);
    return pool && routing.pickReplica(this.#view(pool, options), options);
  }

  /** The home of a key among the usable replicas. */
  pickByRendezvous(
    name: string,
    key: string,
    options: PickOptions,
  ): routing.Replica | undefined {
    const pool = this.#freshPools(options.nowMs).get(name);
    if (pool === undefined) return undefined;
    const view = this.#view(pool, options);
    const usable = pool.members
      .map((_, index) => view.at(index))
      .filter((replica) => replica.isUsable);
    const home =
      hash.rankByRendezvous(usable.map((replica) => replica.id), key)[0];
    return usable.find((replica) => replica.id === home);
  }

  #view(pool: Pool, options: PickOptions): routing.ReplicaPool {
    const { nowMs } = options;
    if (nowMs - pool.meansAtMs > MEAN_LOAD_TTL_MS) {
      this.#refreshMeans(pool, nowMs);
    }
    return {
      size: pool.members.length,
      ring: pool.ring,
      meanLoad: pool.means.reported,
      at: (index) =>
        this.#toReplica(pool.members[index] as Member, pool.means, options),
    };
  }

  #refreshMeans(pool: Pool, nowMs: number): void {
    let reported = 0;
    let sent = 0;
    let slots = 0;
    for (const member of pool.members) {
      if (!this.#isUsable(member, nowMs) || member.report === undefined) {
        continue;
      }
      reported += member.report.running + member.report.queued;
      sent += member.sent - member.reportedSent;
      slots += member.report.capacity;
    }
    const perSlot = 1 / Math.max(1, slots);
    pool.means = { reported: reported * perSlot, sent: sent * perSlot };
    pool.meansAtMs = nowMs;
  }

  #toReplica(
    member: Member,
    means: PoolMeans,
    options: PickOptions,
  ): routing.Replica {
    const { report } = member;
    return {
      id: member.id,
      capacity: report?.capacity ?? 0,
      work: report === undefined
        ? 0
        : predictWork(member, report, { means, nowMs: options.nowMs }),
      delayMs: member.delayMs,
      serviceMs: report?.serviceMs ?? 0,
      isUsable: this.#isUsable(member, options.nowMs) &&
        !options.excluded.has(member.id),
    };
  }

  #isUsable(member: Member, nowMs: number): boolean {
    const { report } = member;
    return report !== undefined && !report.isLeaving && !member.isMarked &&
      report.capacity > 0 &&
      nowMs - member.heardAtMs <= this.#options.maxSilenceMs;
  }

  #freshPools(nowMs: number): ReadonlyMap<string, Pool> {
    if (this.#isChanged && nowMs - this.#builtAtMs >= REBUILD_INTERVAL_MS) {
      this.#pools = buildPools(this.#members.values());
      this.#isChanged = false;
      this.#builtAtMs = nowMs;
    }
    return this.#pools;
  }
}

function buildPools(all: Iterable<Member>): ReadonlyMap<string, Pool> {
  const byName = new Map<string, Member[]>();
  for (const member of all) {
    for (const name of member.report?.serves ?? []) {
      const members = byName.get(name) ?? [];
      members.push(member);
      byName.set(name, members);
    }
  }
  return new Map(
    [...byName].map(([name, members]) => [name, {
      members,
      ring: hash.buildRing(members.map((member) => member.id)),
      means: NO_MEANS,
      meansAtMs: Number.NEGATIVE_INFINITY,
    }]),
  );
}
