/**
 * Guards against FAILBACK: in any second, all processes together send a cold replica
 * no more requests than it bears, whatever their number, and whoever of them is
 * silent, cut off, restarted, or mistaken about the owner.
 */
import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as colds from "./cold_grants.ts";
import * as exchanges from "./rate_exchange.ts";
import * as owners from "./replica_owners.ts";

const test = ava.default;

const REPLICA_KEY = 7;
const LIMIT = { requestsPerS: 8.9, factor: 1.5, extraRequests: 5 };
const START_MS = 100_000;
const STEP_MS = 25;
/** The processes have run for this long when the replica turns cold. */
const COLD_AT_MS = 4_000;
const COLD_MS = 6_000;
const WINDOW_MS = 1_000;
/** Time until the first process reads that the replica is cold, and until the last one does. */
const NEWS_MS = [300, 1_200] as const;
/** Requests per second before and after that. */
const WARM_DEMAND_PER_S = 8;
const BUSY_DEMAND_PER_S = 15;
const DEMAND_PER_S = 60;
const MAX_TRANSIT_MS = 60;
const MS_PER_S = 1_000;
const MIN_USED_SHARE = 0.5;
/** IPv4 and UDP headers of a datagram, and the marks of its kind. */
const HEADER_BYTES = 31;
/** The target for the control traffic of one node. */
const MAX_BYTES_PER_S = 12_000;
const UNDISTURBED = "nothing is wrong";

interface Process {
  readonly name: string;
  owners: owners.ReplicaOwners;
  exchange: exchanges.RateExchange;
  readsNewsAtMs: number;
  isDown: boolean;
  side: number;
}

type Disturb = (simulation: Simulation, sinceColdMs: number) => void;

class Simulation {
  readonly clock = new kernel.ManualClock(START_MS);
  readonly processes: readonly Process[];
  readonly arrivals: number[] = [];
  readonly #generator = xoroshiro.xoroshiro128plus(5);
  readonly random = () => float64.uniformFloat64(this.#generator);
  readonly #byName: ReadonlyMap<string, Process>;
  readonly #lostShare: number;
  readonly #bytesByName = new Map<string, number>();
  /** Requests per second while the replica is not known to be cold. */
  warmDemandPerS = WARM_DEMAND_PER_S;
  /** Requests that run at the replica. */
  running = 4;

  constructor(processes: number, lostShare: number) {
    this.#lostShare = lostShare;
    const names = Array.from({ length: processes }, (_, at) => `p${at}`);
    this.processes = names.map((name) => ({
      name,
      ...this.#create(name, names),
      readsNewsAtMs: COLD_AT_MS + NEWS_MS[0] +
        this.random() * (NEWS_MS[1] - NEWS_MS[0]),
      isDown: false,
      side: 0,
    }));
    this.#byName = new Map(this.processes.map((each) => [each.name, each]));
  }

  findByRole(role: "owner" | "deputy"): Process | undefined {
    return this.processes.find((each) =>
      each.owners.findOwnRole(REPLICA_KEY) === role
    );
  }

  /** Ends a process and starts it again; it knows the peers of these names. */
  restart(process: Process, known: readonly string[]): void {
    process.exchange.close();
    Object.assign(process, this.#create(process.name, known));
    process.readsNewsAtMs = 0;
  }

  async run(disturb: Disturb): Promise<void> {
    const endMs = COLD_AT_MS + COLD_MS;
    for (let atMs = 0; atMs < endMs; atMs += STEP_MS) {
      disturb(this, atMs - COLD_AT_MS);
      for (const process of this.processes) this.#readNews(process, atMs);
      const isKnown = atMs >= COLD_AT_MS + NEWS_MS[0];
      const perS = isKnown ? DEMAND_PER_S : this.warmDemandPerS;
      const count = Math.floor(perS * STEP_MS / MS_PER_S + this.random());
      const wishes = Array.from({ length: count }, () => this.#wish(atMs));
      await Promise.all(wishes);
      this.clock.advance(STEP_MS);
    }
    for (const { exchange } of this.processes) exchange.close();
  }

  findBusiestWindow(): number {
    return Math.max(
      0,
      ...this.arrivals.map((start) =>
        this.arrivals.filter((at) => at >= start && at < start + WINDOW_MS)
          .length
      ),
    );
  }

  /** Bytes per second that the busiest process sends and receives while the replica is cold. */
  get maxBytesPerS(): number {
    return Math.max(...this.#bytesByName.values()) * MS_PER_S / COLD_MS;
  }

  #countBytes(name: string, bytes: number): void {
    const counted = this.#bytesByName.get(name) ?? 0;
    this.#bytesByName.set(name, counted + bytes + HEADER_BYTES);
  }

  #readNews(process: Process, atMs: number): void {
    if (process.isDown || atMs < process.readsNewsAtMs) return;
    process.readsNewsAtMs = Infinity;
    process.exchange.recordCold(REPLICA_KEY, COLD_MS);
  }

  async #wish(atMs: number): Promise<void> {
    const at = Math.floor(this.random() * this.processes.length);
    const process = this.processes[at] as Process;
    if (process.isDown) return;
    const owner = this.#byName.get(
      process.owners.find(REPLICA_KEY)?.name ?? "",
    );
    // The load of the replica is asked for before each choice.
    if (owner !== undefined && this.#reaches(process, owner)) {
      const self = { name: process.name, host: process.name, port: 1 };
      owner.exchange.notify(self, [REPLICA_KEY]);
    }
    // Until it knows better, a process sends what the others leave over.
    const isColdKnown = process.exchange.isCold(REPLICA_KEY);
    if (!isColdKnown && this.random() > this.warmDemandPerS / DEMAND_PER_S) {
      if (atMs >= COLD_AT_MS + NEWS_MS[0]) return;
    }
    const isPreferred = this.random() < 0.5;
    if (!await process.exchange.take(REPLICA_KEY, 0, isPreferred)) return;
    const arrivedAtMs = atMs + this.random() * MAX_TRANSIT_MS;
    if (arrivedAtMs >= COLD_AT_MS) this.arrivals.push(arrivedAtMs);
  }

  #reaches(from: Process, to: Process): boolean {
    return !to.isDown && from.side === to.side;
  }

  #create(
    name: string,
    names: readonly string[],
  ): Pick<Process, "owners" | "exchange"> {
    const processOwners = new owners.ReplicaOwners(name);
    for (const other of names) {
      processOwners.put({ name: other, host: other, port: 1 });
    }
    const exchange = new exchanges.RateExchange({
      name,
      clock: this.clock,
      owners: processOwners,
      random: this.random,
      cold: { findLimit: () => LIMIT, countRunning: () => this.running },
      send: (bytes, { host }) => {
        const from = this.#byName.get(name);
        const to = this.#byName.get(host);
        this.#countBytes(name, bytes.byteLength);
        this.#countBytes(host, bytes.byteLength);
        const isLost = this.random() < this.#lostShare;
        if (from === undefined || to === undefined || isLost) return;
        if (this.#reaches(from, to)) to.exchange.handleDatagram(bytes, name);
      },
    });
    return { owners: processOwners, exchange };
  }
}

/** Processes that have learnt by now that others are gone, one after the other. */
function removeGradually(
  { processes }: Simulation,
  sinceMs: number,
  isGone: (other: Process, self: Process) => boolean,
): void {
  const count = Math.ceil(Math.max(0, sinceMs) / 1_500 * processes.length);
  for (const self of processes.slice(0, count)) {
    for (const other of processes) {
      if (isGone(other, self)) self.owners.remove(other.name);
    }
  }
}

const DISTURBANCES: Readonly<Record<string, Disturb>> = {
  [UNDISTURBED]: () => {},
  "the owner is silent": (simulation, atMs) => {
    const owner = simulation.findByRole("owner");
    if (atMs === 2_000 && owner !== undefined) owner.isDown = true;
  },
  "owner and deputy are silent": (simulation, atMs) => {
    for (const role of ["owner", "deputy"] as const) {
      const process = simulation.findByRole(role);
      if (atMs === 2_000 && process !== undefined) process.isDown = true;
    }
  },
  "the owner dies, which the others learn one after the other": (
    simulation,
    atMs,
  ) => {
    const owner = simulation.findByRole("owner");
    if (atMs === 2_000 && owner !== undefined) owner.isDown = true;
    removeGradually(simulation, atMs - 2_500, ({ isDown }) => isDown);
  },
  "half of them are cut off, and each half forgets the other": (
    simulation,
    atMs,
  ) => {
    if (atMs === 1_500) {
      simulation.processes.forEach((each, at) => each.side = at % 2);
    }
    removeGradually(
      simulation,
      atMs - 2_000,
      (other, self) => other.side !== self.side,
    );
  },
  "half of them are restarted at once and know only themselves": (
    simulation,
    atMs,
  ) => {
    const names = simulation.processes.map(({ name }) => name);
    for (const process of simulation.processes.filter((_, at) => at % 2 > 0)) {
      if (atMs === 2_000) simulation.restart(process, []);
      if (atMs !== 3_000) continue;
      for (const name of names) {
        process.owners.put({ name, host: name, port: 1 });
      }
    }
  },
};

for (const processes of [4, 31, 48, 161, 400]) {
  for (const [what, disturb] of Object.entries(DISTURBANCES)) {
    for (const lostShare of [0, 0.2]) {
      test(`${processes} processes keep to what a cold replica bears: ${what}, lost datagrams ${lostShare}`, async (t) => {
        const simulation = new Simulation(processes, lostShare);
        await simulation.run(disturb);
        const busiest = simulation.findBusiestWindow();
        t.log(`${busiest} in 1 s, ${simulation.arrivals.length} in all`);
        t.true(busiest <= decisions.computeColdBound(LIMIT), `${busiest}`);
        if (disturb !== DISTURBANCES[UNDISTURBED]) return;
        t.log(`${Math.round(simulation.maxBytesPerS)} bytes/s`);
        t.true(simulation.maxBytesPerS <= MAX_BYTES_PER_S);
        // Unused capacity would be lost to callers.
        const grantedMs = COLD_MS - NEWS_MS[0] - WINDOW_MS;
        const usable = LIMIT.requestsPerS * grantedMs / MS_PER_S;
        t.true(simulation.arrivals.length >= MIN_USED_SHARE * usable);
      });
    }
  }
}

for (const processes of [4, 31, 48, 161, 400]) {
  test(`${processes} processes keep to what a cold replica bears that was busy`, async (t) => {
    const simulation = new Simulation(processes, 0);
    simulation.warmDemandPerS = BUSY_DEMAND_PER_S;
    simulation.running = 2 * BUSY_DEMAND_PER_S;
    await simulation.run(() => {});
    const busiest = simulation.findBusiestWindow();
    t.log(`${busiest} in 1 s`);
    t.true(busiest <= decisions.computeColdBound(LIMIT), `${busiest}`);
  });
}

test("a process that has just started grants nothing", async (t) => {
  const simulation = new Simulation(1, 0);
  const { exchange } = simulation.processes[0] as Process;
  exchange.recordCold(REPLICA_KEY, 3_000);
  t.false(await exchange.take(REPLICA_KEY, 0, true));
});

test("what others tell starts a cold time, but neither prolongs it nor brings it back", (t) => {
  const clock = new kernel.ManualClock(START_MS);
  const cold = new colds.ColdGrants({
    clock,
    owners: new owners.ReplicaOwners("p0"),
    findLimit: () => LIMIT,
    countRunning: () => 0,
  });
  cold.learn(REPLICA_KEY, 2_000);
  cold.learn(REPLICA_KEY, 2_900);
  t.is(cold.findRemainingMs(REPLICA_KEY), 2_000);
  cold.record(REPLICA_KEY, 1_500);
  t.is(cold.findRemainingMs(REPLICA_KEY), 1_500);
  clock.advance(1_500);
  cold.learn(REPLICA_KEY, 900);
  t.is(cold.readRate(REPLICA_KEY), undefined);
  cold.learn(REPLICA_KEY, 2_900);
  t.is(cold.readRate(REPLICA_KEY), LIMIT.requestsPerS);
});

test("a bucket that is not full grants only to prompts that belong to the replica", (t) => {
  const clock = new kernel.ManualClock(START_MS);
  const cold = new colds.ColdGrants({
    clock,
    owners: new owners.ReplicaOwners("p0"),
    findLimit: () => LIMIT,
    countRunning: () => 0,
  });
  clock.advance(3_000);
  cold.record(REPLICA_KEY, 3_000);
  clock.advance(cold.findGrantWaitMs(REPLICA_KEY, true) + 1);
  t.is(cold.findGrantWaitMs(REPLICA_KEY, true), 0);
  t.true(cold.findGrantWaitMs(REPLICA_KEY, false) > 0);
  clock.advance(cold.findGrantWaitMs(REPLICA_KEY, false) + 1);
  t.is(cold.findGrantWaitMs(REPLICA_KEY, false), 0);
});
