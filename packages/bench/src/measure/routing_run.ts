/**
 * Simulates routing among replicas: each replica is modelled as a queue with
 * slots and a prefix cache, entries receive load reports with a delay, and the
 * product's own replica table chooses.
 */
import * as decisions from "@jackdawbank/decisions";
import TinyQueue from "tinyqueue";
import * as randoms from "./random.ts";

/** Size and load of a deployment. */
export interface RoutingProfile {
  readonly name: string;
  readonly replicas: number;
  readonly serviceMeanMs: number;
}

export const ROUTING_PROFILES: readonly RoutingProfile[] = [
  { name: "kivu", replicas: 13, serviceMeanMs: 2_500 },
  { name: "ruamjai", replicas: 8, serviceMeanMs: 1_200 },
];

const ENTRIES = 3;
const SLOTS = 8;
const SERVICE_SIGMA = 0.8;
const UTILIZATION = 0.8;
const REPORT_LAG_MS = 1_000;
const REPORT_INTERVAL_MS = 500;
const DURATION_MS = 600_000;
const WARM_UP_MS = 60_000;
const PREFILL_MS = 250;
const PREFILL_HIT_MS = 80;
/** Relative increase of the prefill time from an empty batch to a full one. */
const BATCH_SLOWDOWN = 0.5;
const PREFIXES = 400;
const CACHED_PREFIXES_PER_REPLICA = 64;
const PREFIX_SHARE = 0.6;
const VERSION_NAME = "model@v1";

/** Router under test, as named in the printed figures. */
export type RouterName =
  | "jackdawbank"
  | "round-robin"
  | "random"
  | "true loads"
  | "unbounded affinity";

/** Results of one run of a router. */
export interface RoutingFigures {
  readonly firstTokenP95Ms: number;
  readonly prefixHitShare: number;
  /** Requests of the most loaded replica, relative to the mean. */
  readonly peakToMean: number;
}

interface Job {
  readonly arrivedMs: number;
  readonly serviceMs: number;
  readonly prefix: string | undefined;
  readonly entry: number;
}

interface SimulatedReplica {
  readonly id: string;
  running: number;
  readonly queue: Job[];
  /** Cached prefixes, least recently used first. */
  readonly cache: Set<string>;
  served: number;
}

interface SimulatedEvent {
  readonly atMs: number;
  readonly run: () => void;
}

class RoutingRun {
  readonly #profile: RoutingProfile;
  readonly #router: RouterName;
  readonly #workload: randoms.Distributions;
  readonly #routingRandom: randoms.RandomSource;
  readonly #events = new TinyQueue<SimulatedEvent>(
    [],
    (a, b) => a.atMs - b.atMs,
  );
  readonly #replicas: readonly SimulatedReplica[];
  readonly #tables: readonly decisions.ReplicaTable[];
  readonly #ring: decisions.HashRing;
  readonly #firstTokensMs: number[] = [];
  #prefixRequestCount = 0;
  #prefixHitCount = 0;
  #roundRobinCount = 0;
  #nowMs = 0;

  constructor(profile: RoutingProfile, router: RouterName, seed: number) {
    this.#profile = profile;
    this.#router = router;
    // A source of its own, so that every router sees the same workload.
    this.#workload = new randoms.Distributions(randoms.createRandom(seed));
    this.#routingRandom = randoms.createRandom(seed + 500);
    const ids = Array.from(
      { length: profile.replicas },
      (_, at) => `replica-${at}`,
    );
    this.#replicas = ids.map((id) => ({
      id,
      running: 0,
      queue: [],
      cache: new Set(),
      served: 0,
    }));
    this.#ring = decisions.buildRing(ids);
    this.#tables = Array.from({ length: ENTRIES }, () => {
      const table = new decisions.ReplicaTable({ maxSilenceMs: 1e9 });
      for (const id of ids) table.add(id, 1);
      return table;
    });
  }

  run(): RoutingFigures {
    this.#tables.forEach((_, entry) => this.#sendReports(entry));
    this.#scheduleArrival();
    for (
      let event = this.#events.pop();
      event !== undefined;
      event = this.#events.pop()
    ) {
      if (event.atMs > DURATION_MS) break;
      this.#nowMs = event.atMs;
      event.run();
    }
    const served = this.#replicas.map((replica) => replica.served);
    const mean = served.reduce((sum, count) => sum + count, 0) / served.length;
    return {
      firstTokenP95Ms: randoms.findQuantile(this.#firstTokensMs, 0.95),
      prefixHitShare: this.#prefixHitCount /
        Math.max(1, this.#prefixRequestCount),
      peakToMean: Math.max(...served) / mean,
    };
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.#nowMs + delayMs, run });
  }

  #scheduleArrival(): void {
    const { replicas, serviceMeanMs } = this.#profile;
    const meanMs = serviceMeanMs / (replicas * SLOTS * UTILIZATION);
    this.#schedule(this.#workload.exponential(meanMs), () => {
      this.#addJob();
      this.#scheduleArrival();
    });
  }

  /** Sends all replicas' reports to an entry, at intervals; only the first arrive without delay. */
  #sendReports(entry: number): void {
    const table = this.#tables[entry] as decisions.ReplicaTable;
    const sentAtMs = this.#nowMs;
    for (const replica of this.#replicas) {
      const ping = table.createPing(replica.id, sentAtMs);
      const report: decisions.ReplicaReport = {
        serves: [VERSION_NAME],
        capacity: SLOTS,
        running: replica.running,
        queued: replica.queue.length,
        serviceMs: this.#profile.serviceMeanMs,
        isLeaving: false,
      };
      this.#schedule(sentAtMs === 0 ? 0 : REPORT_LAG_MS, () => {
        table.recordReport(replica.id, report);
        table.recordPong(replica.id, ping);
      });
    }
    this.#schedule(REPORT_INTERVAL_MS, () => this.#sendReports(entry));
  }

  #addJob(): void {
    const serviceMs = this.#workload.logNormal(
      this.#profile.serviceMeanMs,
      SERVICE_SIGMA,
    );
    const hasPrefix = this.#workload.uniform() < PREFIX_SHARE;
    const prefix = `prefix-${Math.floor(this.#workload.uniform() * PREFIXES)}`;
    const entry = Math.floor(this.#workload.uniform() * ENTRIES);
    const job: Job = {
      arrivedMs: this.#nowMs,
      serviceMs,
      prefix: hasPrefix ? prefix : undefined,
      entry,
    };
    const replica = this.#route(job);
    (this.#tables[entry] as decisions.ReplicaTable).recordSent(replica.id);
    replica.served += 1;
    if (replica.running < SLOTS) this.#startJob(replica, job);
    else replica.queue.push(job);
  }

  #route(job: Job): SimulatedReplica {
    const count = this.#replicas.length;
    switch (this.#router) {
      case "round-robin":
        this.#roundRobinCount += 1;
        return this
          .#replicas[this.#roundRobinCount % count] as SimulatedReplica;
      case "random":
        return this
          .#replicas[
            Math.floor(this.#routingRandom() * count)
          ] as SimulatedReplica;
      case "true loads":
        return this.#findLeastLoaded();
      case "unbounded affinity":
        return job.prefix === undefined
          ? this.#findLeastLoaded()
          : this.#findAffinityReplica(job.prefix);
      case "jackdawbank":
        return this.#pickByTable(job);
    }
  }

  #findLeastLoaded(): SimulatedReplica {
    const getLoad = (replica: SimulatedReplica) =>
      replica.running + replica.queue.length;
    return this.#replicas.reduce((best, other) =>
      getLoad(other) < getLoad(best) ? other : best
    );
  }

  #findAffinityReplica(prefix: string): SimulatedReplica {
    const at = decisions.walkRing(this.#ring, prefix, () => true) ?? 0;
    return this.#replicas[at] as SimulatedReplica;
  }

  #pickByTable(job: Job): SimulatedReplica {
    const table = this.#tables[job.entry] as decisions.ReplicaTable;
    const picked = table.pick(VERSION_NAME, {
      nowMs: this.#nowMs,
      affinityKey: job.prefix,
      excluded: new Set(),
      random: this.#routingRandom,
    });
    const found = this.#replicas.find((replica) => replica.id === picked?.id);
    return found ?? this.#findLeastLoaded();
  }

  #startJob(replica: SimulatedReplica, job: Job): void {
    const slowdown = 1 + BATCH_SLOWDOWN * replica.running / SLOTS;
    replica.running += 1;
    const isHit = job.prefix !== undefined && replica.cache.has(job.prefix);
    if (job.prefix !== undefined) this.#cachePrefix(replica, job.prefix);
    const prefillMs = (isHit ? PREFILL_HIT_MS : PREFILL_MS) * slowdown;
    if (job.arrivedMs >= WARM_UP_MS) {
      this.#firstTokensMs.push(this.#nowMs - job.arrivedMs + prefillMs);
      if (job.prefix !== undefined) this.#prefixRequestCount += 1;
      if (isHit) this.#prefixHitCount += 1;
    }
    this.#schedule(job.serviceMs, () => this.#endJob(replica));
  }

  #endJob(replica: SimulatedReplica): void {
    replica.running -= 1;
    const next = replica.queue.shift();
    if (next !== undefined) this.#startJob(replica, next);
  }

  #cachePrefix(replica: SimulatedReplica, prefix: string): void {
    replica.cache.delete(prefix);
    replica.cache.add(prefix);
    const [oldest] = replica.cache;
    if (
      replica.cache.size > CACHED_PREFIXES_PER_REPLICA && oldest !== undefined
    ) {
      replica.cache.delete(oldest);
    }
  }
}

/** Runs one router on the workload of one seed. */
export function runRouter(
  profile: RoutingProfile,
  router: RouterName,
  seed: number,
): RoutingFigures {
  return new RoutingRun(profile, router, seed).run();
}
