/**
 * Table of the upstream processes ("replicas") that one entry is connected to,
 * with a prediction of the work at each. Picking a replica examines only a few of
 * them, so its cost does not grow with the fleet.
 */
import * as hash from "./hash.ts";
import * as routing from "./routing.ts";

/** State of a replica, as it reports it. */
export interface ReplicaReport {
  /** `model@version` names, or the service's name. */
  readonly serves: readonly string[];
  /** Number of slots. */
  readonly capacity: number;
  readonly running: number;
  readonly queued: number;
  /** Mean time that a unit of work occupied a slot recently. */
  readonly serviceMs: number;
  readonly isLeaving: boolean;
}

/** A ping in flight. The report in its answer covers exactly the work sent before it. */
export interface ReplicaPing {
  readonly sentAtMs: number;
  /** Number of units of work sent to the replica before the ping. */
  readonly sentWork: number;
}

export interface ReplicaTableOptions {
  /** Time without an answered ping after which a replica is not used. */
  readonly maxSilenceMs: number;
}

export interface PickOptions {
  readonly nowMs: number;
  readonly excluded: ReadonlySet<string>;
}

/** Age at which a pool's means are recomputed. */
const MEAN_LOAD_TTL_MS = 50;
/** Shortest time between two rebuilds of the pools, however many replicas come and go. */
const REBUILD_INTERVAL_MS = 50;

interface Member {
  readonly id: string;
  /** Estimated one-way delay to the replica. */
  readonly delayMs: number;
  report: ReplicaReport | undefined;
  /** When the last answered ping was sent. */
  lastHeardAtMs: number;
  /** Whether the VM list shows the replica as leaving. */
  isListedLeaving: boolean;
  /** Number of units of work sent since the replica was added. */
  sent: number;
  /** Value of `sent` that the last report covers. */
  sentAtReport: number;
}

/** The replicas that serve one name. */
interface Pool {
  readonly members: readonly Member[];
  readonly ring: hash.HashRing;
  /** Means over the usable members, recomputed at intervals. */
  means: PoolMeans;
  meansAtMs: number;
}

interface PoolMeans {
  /** Reported work per slot: the pool's mean load. */
  readonly reported: number;
  /** Work per slot that this entry sent since the reports. */
  readonly sent: number;
}

const NO_MEANS: PoolMeans = { reported: 0, sent: 0 };
const MIN_SERVICE_MS = 1;

/**
 * Predicts the work at a replica now. The reported work decays towards the pool's
 * mean, because work ends and other entries send more. What this entry sent since
 * the report, beyond what it sent to the pool on average, is added.
 */
function predictWork(
  member: Member,
  report: ReplicaReport,
  context: { readonly means: PoolMeans; readonly nowMs: number },
): number {
  const { means, nowMs } = context;
  const ageMs = Math.max(0, nowMs - member.lastHeardAtMs);
  const reportWeight = Math.exp(
    -ageMs / Math.max(MIN_SERVICE_MS, report.serviceMs),
  );
  const meanWork = means.reported * report.capacity;
  const reportedWork = report.running + report.queued;
  const sentSinceReport = member.sent - member.sentAtReport;
  const excessSent = sentSinceReport - means.sent * report.capacity;
  return Math.max(
    0,
    meanWork + (reportedWork - meanWork) * reportWeight + excessSent,
  );
}

/** Whether two reports lead to the same pools and rings. */
function isSameOffer(
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
  #needsRebuild = false;
  #poolsBuiltAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ReplicaTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#members.size;
  }

  /** Adds a replica, which is unusable until it has reported and answered a ping. */
  add(id: string, delayMs: number): void {
    this.#members.set(id, {
      id,
      delayMs,
      report: undefined,
      lastHeardAtMs: Number.NEGATIVE_INFINITY,
      isListedLeaving: false,
      sent: 0,
      sentAtReport: 0,
    });
  }

  remove(id: string): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    // Pools that still contain the member treat it as unusable.
    member.report = undefined;
    this.#members.delete(id);
    this.#needsRebuild = true;
  }

  /** Records a replica's report; only `recordPong` counts as a sign that the replica answers. */
  recordReport(id: string, report: ReplicaReport): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    const isUnchanged = isSameOffer(member.report, report);
    member.report = report;
    if (!isUnchanged) this.#needsRebuild = true;
  }

  /** Records the answer to a ping that `createPing` returned. */
  recordPong(id: string, ping: ReplicaPing): void {
    const member = this.#members.get(id);
    if (member === undefined) return;
    member.lastHeardAtMs = Math.max(member.lastHeardAtMs, ping.sentAtMs);
    member.sentAtReport = ping.sentWork;
  }

  recordSent(id: string): void {
    const member = this.#members.get(id);
    if (member !== undefined) member.sent += 1;
  }

  /** Returns the state of a ping that is sent now, which `recordPong` needs. */
  createPing(id: string, sentAtMs: number): ReplicaPing {
    const member = this.#members.get(id);
    return { sentAtMs, sentWork: member?.sent ?? 0 };
  }

  /** Sets which replicas the VM list shows as leaving. */
  setLeaving(ids: ReadonlySet<string>): void {
    for (const member of this.#members.values()) {
      member.isListedLeaving = ids.has(member.id);
    }
  }

  /** Counts the usable replicas, by the name that they serve. */
  countUsable(nowMs: number): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#getPools(nowMs)].map(([name, pool]) => [
        name,
        pool.members.filter((member) => this.#isUsable(member, nowMs)).length,
      ]),
    );
  }

  /** Picks a replica that serves a name, by its affinity key if it has one. */
  pick(
    name: string,
    options: PickOptions & {
      readonly affinityKey: string | undefined;
      readonly random: routing.RandomSource;
    },
  ): routing.Replica | undefined {
    const pool = this.#getPools(options.nowMs).get(name);
    return pool &&
      routing.pickReplica(this.#view(pool, options), options);
  }

  /** Picks the first usable replica in a key's rendezvous order. */
  pickByRendezvous(
    name: string,
    key: string,
    options: PickOptions,
  ): routing.Replica | undefined {
    const pool = this.#getPools(options.nowMs).get(name);
    if (pool === undefined) return undefined;
    const view = this.#view(pool, options);
    const usable = pool.members
      .map((_, index) => view.at(index))
      .filter((replica) => replica.isUsable);
    const chosenId =
      hash.rankByRendezvous(usable.map((replica) => replica.id), key)[0];
    return usable.find((replica) => replica.id === chosenId);
  }

  /** Returns the pool as the routing functions see it. */
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
    let reportedWork = 0;
    let sentSinceReport = 0;
    let slots = 0;
    for (const member of pool.members) {
      if (!this.#isUsable(member, nowMs) || member.report === undefined) {
        continue;
      }
      reportedWork += member.report.running + member.report.queued;
      sentSinceReport += member.sent - member.sentAtReport;
      slots += member.report.capacity;
    }
    const perSlot = 1 / Math.max(1, slots);
    pool.means = {
      reported: reportedWork * perSlot,
      sent: sentSinceReport * perSlot,
    };
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
    return report !== undefined && !report.isLeaving &&
      !member.isListedLeaving &&
      report.capacity > 0 &&
      nowMs - member.lastHeardAtMs <= this.#options.maxSilenceMs;
  }

  #getPools(nowMs: number): ReadonlyMap<string, Pool> {
    if (
      this.#needsRebuild && nowMs - this.#poolsBuiltAtMs >= REBUILD_INTERVAL_MS
    ) {
      this.#pools = buildPools(this.#members.values());
      this.#needsRebuild = false;
      this.#poolsBuiltAtMs = nowMs;
    }
    return this.#pools;
  }
}

function buildPools(allMembers: Iterable<Member>): ReadonlyMap<string, Pool> {
  const byName = new Map<string, Member[]>();
  for (const member of allMembers) {
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
