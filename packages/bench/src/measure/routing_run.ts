/**
 * Routing among replicas on a fake clock: a queue model at the interface of
 * each replica, entries that see reports late, and the product's own table.
 */
import * as decisions from "@jackdawbank/decisions";
import TinyQueue from "tinyqueue";
import * as randoms from "./random.ts";

/** A deployment's shape for routing. */
export interface RoutingShape {
  readonly name: string;
  readonly replicas: number;
  readonly serviceMeanMs: number;
}

export const ROUTING_SHAPES: readonly RoutingShape[] = [
  { name: "kivu", replicas: 13, serviceMeanMs: 2_500 },
  { name: "ruamjai", replicas: 8, serviceMeanMs: 1_200 },
];

const ENTRIES = 3;
const SLOTS = 8;
const SERVICE_SIGMA = 0.8;
const LOAD = 0.8;
const REPORT_LAG_MS = 1_000;
const REPORT_INTERVAL_MS = 500;
const DURATION_MS = 600_000;
const WARM_UP_MS = 60_000;
const PREFILL_MS = 250;
const PREFILL_HIT_MS = 80;
/** How much longer the first token takes in a full batch than in an empty one. */
const BATCH_SLOWDOWN = 0.5;
const PREFIXES = 400;
const PREFIXES_PER_REPLICA = 64;
const SESSION_SHARE = 0.6;
const POOL = "model@v1";

/** How a router is named in the tables. */
export type RouterName =
  | "jackdawbank"
  | "round-robin"
  | "random"
  | "true loads"
  | "unbounded affinity";

/** What a router made of a run. */
export interface RoutingFigures {
  readonly firstTokenP95Ms: number;
  readonly prefixHitShare: number;
  /** Highest ratio of one replica's work to the mean. */
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
  /** Prefixes in the cache, oldest use first. */
  readonly cache: Set<string>;
  served: number;
}

interface SimulatedEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** One run of one router. */
class RoutingRun {
  readonly #shape: RoutingShape;
  readonly #router: RouterName;
  readonly #draw: randoms.Distributions;
  readonly #pick: randoms.RandomSource;
  readonly #events = new TinyQueue<SimulatedEvent>(
    [],
    (a, b) => a.atMs - b.atMs,
  );
  readonly #replicas: readonly SimulatedReplica[];
  readonly #tables: readonly decisions.ReplicaTable[];
  readonly #ring: decisions.HashRing;
  readonly #firstTokensMs: number[] = [];
  #prefixed = 0;
  #hits = 0;
  #turn = 0;
  #nowMs = 0;

  constructor(shape: RoutingShape, router: RouterName, seed: number) {
    this.#shape = shape;
    this.#router = router;
    // The workload's draws are the same for every router.
    this.#draw = new randoms.Distributions(randoms.createRandom(seed));
    this.#pick = randoms.createRandom(seed + 500);
    const ids = Array.from(
      { length: shape.replicas },
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
    this.#tables.forEach((_, entry) => this.#report(entry));
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
      prefixHitShare: this.#hits / Math.max(1, this.#prefixed),
      peakToMean: Math.max(...served) / mean,
    };
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.#nowMs + delayMs, run });
  }

  #scheduleArrival(): void {
    const { replicas, serviceMeanMs } = this.#shape;
    const meanMs = serviceMeanMs / (replicas * SLOTS * LOAD);
    this.#schedule(this.#draw.exponential(meanMs), () => {
      this.#arrive();
      this.#scheduleArrival();
    });
  }

  /** Reports of all replicas reach an entry late and at intervals. */
  #report(entry: number): void {
    const table = this.#tables[entry] as decisions.ReplicaTable;
    const sentAtMs = this.#nowMs;
    for (const replica of this.#replicas) {
      const ping = table.createPing(replica.id, sentAtMs);
      const report: decisions.ReplicaReport = {
        serves: [POOL],
        capacity: SLOTS,
        running: replica.running,
        queued: replica.queue.length,
        serviceMs: this.#shape.serviceMeanMs,
        isLeaving: false,
      };
      this.#schedule(sentAtMs === 0 ? 0 : REPORT_LAG_MS, () => {
        table.recordReport(replica.id, report);
        table.recordPong(replica.id, ping);
      });
    }
    this.#schedule(REPORT_INTERVAL_MS, () => this.#report(entry));
  }

  #arrive(): void {
    const serviceMs = this.#draw.logNormal(
      this.#shape.serviceMeanMs,
      SERVICE_SIGMA,
    );
    const isSession = this.#draw.uniform() < SESSION_SHARE;
    const prefix = `prefix-${Math.floor(this.#draw.uniform() * PREFIXES)}`;
    const entry = Math.floor(this.#draw.uniform() * ENTRIES);
    const job: Job = {
      arrivedMs: this.#nowMs,
      serviceMs,
      prefix: isSession ? prefix : undefined,
      entry,
    };
    const replica = this.#route(job);
    (this.#tables[entry] as decisions.ReplicaTable).recordSent(replica.id);
    replica.served += 1;
    if (replica.running < SLOTS) this.#start(replica, job);
    else replica.queue.push(job);
  }

  #route(job: Job): SimulatedReplica {
    const count = this.#replicas.length;
    switch (this.#router) {
      case "round-robin":
        this.#turn += 1;
        return this.#replicas[this.#turn % count] as SimulatedReplica;
      case "random":
        return this
          .#replicas[Math.floor(this.#pick() * count)] as SimulatedReplica;
      case "true loads":
        return this.#findLeastLoaded();
      case "unbounded affinity":
        return job.prefix === undefined
          ? this.#findLeastLoaded()
          : this.#findHome(job.prefix);
      case "jackdawbank":
        return this.#pickByTable(job);
    }
  }

  #findLeastLoaded(): SimulatedReplica {
    const measure = (replica: SimulatedReplica) =>
      replica.running + replica.queue.length;
    return this.#replicas.reduce((best, other) =>
      measure(other) < measure(best) ? other : best
    );
  }

  #findHome(prefix: string): SimulatedReplica {
    const at = decisions.walkRing(this.#ring, prefix, () => true) ?? 0;
    return this.#replicas[at] as SimulatedReplica;
  }

  #pickByTable(job: Job): SimulatedReplica {
    const table = this.#tables[job.entry] as decisions.ReplicaTable;
    const picked = table.pick(POOL, {
      nowMs: this.#nowMs,
      affinityKey: job.prefix,
      excluded: new Set(),
      random: this.#pick,
    });
    const found = this.#replicas.find((replica) => replica.id === picked?.id);
    return found ?? this.#findLeastLoaded();
  }

  #start(replica: SimulatedReplica, job: Job): void {
    const slowdown = 1 + BATCH_SLOWDOWN * replica.running / SLOTS;
    replica.running += 1;
    const isHit = job.prefix !== undefined && replica.cache.has(job.prefix);
    if (job.prefix !== undefined) this.#touch(replica, job.prefix);
    const prefillMs = (isHit ? PREFILL_HIT_MS : PREFILL_MS) * slowdown;
    if (job.arrivedMs >= WARM_UP_MS) {
      this.#firstTokensMs.push(this.#nowMs - job.arrivedMs + prefillMs);
      if (job.prefix !== undefined) this.#prefixed += 1;
      if (isHit) this.#hits += 1;
    }
    this.#schedule(job.serviceMs, () => this.#end(replica));
  }

  #end(replica: SimulatedReplica): void {
    replica.running -= 1;
    const next = replica.queue.shift();
    if (next !== undefined) this.#start(replica, next);
  }

  #touch(replica: SimulatedReplica, prefix: string): void {
    replica.cache.delete(prefix);
    replica.cache.add(prefix);
    const [oldest] = replica.cache;
    if (replica.cache.size > PREFIXES_PER_REPLICA && oldest !== undefined) {
      replica.cache.delete(oldest);
    }
  }
}

/** Runs one router on one seed. */
export function runRouter(
  shape: RoutingShape,
  router: RouterName,
  seed: number,
): RoutingFigures {
  return new RoutingRun(shape, router, seed).run();
}
