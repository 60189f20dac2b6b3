/**
 * Guards against LIMIT: all processes together send a replica no more than the rate
 * that it named, whatever their number, and whatever happens to the owner of its account.
 */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as fc from "fast-check";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as exchanges from "./rate_exchange.ts";
import * as messages from "./rate_message.ts";
import * as owners from "./replica_owners.ts";

const test = ava.default;

const REPLICA_KEY = 7;
const STEP_MS = 50;
const DURATION_MS = 16_000;
const WINDOW_MS = 4_000;
/** A process must keep to the rate from this time after it was told. */
const REACTION_MS = 500;
/** Wishes of all processes together to use the replica, in multiples of its rate. */
const DEMAND_FACTOR = 6;
const MIN_DEMAND_PER_S = 8;
const MS_PER_S = 1_000;
/** IPv4 and UDP headers of a datagram, and the marks of its kind. */
const HEADER_BYTES = 31;
/** The target for the control traffic of one node. */
const MAX_BYTES_PER_S = 12_000;

/** Requests in a window that a rate allows, as the operators count. */
function countAllowed(rate: number): number {
  return 1.5 * rate * WINDOW_MS / MS_PER_S + 5;
}

interface Fleet {
  readonly processes: number;
  /** Requests per second that the replica names, by time. */
  readonly rateAt: (atMs: number) => number | undefined;
  readonly lostShare?: number;
  readonly disturb?: (simulation: Simulation, atMs: number) => void;
}

interface SimulatedProcess {
  readonly name: string;
  readonly owners: owners.ReplicaOwners;
  readonly exchange: exchanges.RateExchange;
  toldAtMs: number;
  isStopped: boolean;
  isFrozen: boolean;
  bytes: number;
}

/** Processes that share one replica, with datagrams that arrive at once or never. */
class Simulation {
  readonly clock = new kernel.ManualClock(100_000);
  readonly processes: readonly SimulatedProcess[];
  /** Requests that reached the replica from processes that had been told. */
  readonly arrivals: number[] = [];
  /** All requests that reached the replica. */
  readonly #requests: number[] = [];
  readonly #fleet: Fleet;
  readonly #byName: ReadonlyMap<string, SimulatedProcess>;
  readonly #generator = xoroshiro.xoroshiro128plus(11);
  readonly random = () => float64.uniformFloat64(this.#generator);

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    const names = Array.from({ length: fleet.processes }, (_, at) => `p${at}`);
    this.processes = names.map((name) => this.#createProcess(name, names));
    this.#byName = new Map(this.processes.map((each) => [each.name, each]));
  }

  get owner(): SimulatedProcess {
    const [first] = this.processes;
    const name = first?.owners.find(REPLICA_KEY)?.name ?? first?.name ?? "";
    return this.#byName.get(name) as SimulatedProcess;
  }

  get maxBytesPerS(): number {
    const bytes = Math.max(...this.processes.map((each) => each.bytes));
    return bytes * MS_PER_S / DURATION_MS;
  }

  async run(): Promise<void> {
    for (let atMs = 0; atMs < DURATION_MS; atMs += STEP_MS) {
      this.#fleet.disturb?.(this, atMs);
      const perS = Math.max(
        MIN_DEMAND_PER_S,
        DEMAND_FACTOR * (this.#fleet.rateAt(atMs) ?? 0),
      );
      const wishes = perS * STEP_MS / MS_PER_S;
      const count = Math.floor(wishes + this.random());
      await Promise.all(
        Array.from({ length: count }, () => this.#wish(atMs)),
      );
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

  countBetween(fromMs: number, untilMs: number): number {
    return this.#requests.filter((at) => at >= fromMs && at < untilMs).length;
  }

  async #wish(atMs: number): Promise<void> {
    const process = this
      .processes[Math.floor(this.random() * this.processes.length)];
    if (process === undefined || process.isStopped || process.isFrozen) return;
    const { exchange } = process;
    // The load of the replica is asked for before each choice.
    const owner = process.owners.find(REPLICA_KEY);
    const ownProcess = owner && this.#byName.get(owner.name);
    if (ownProcess !== undefined && !this.#isDown(ownProcess)) {
      const self = { name: process.name, host: process.name, port: 1 };
      ownProcess.exchange.notify(self, [REPLICA_KEY]);
    }
    if (exchange.findWaitMs(REPLICA_KEY, 0) > 0) return;
    const sentAtMs = this.clock.monotonicMs();
    if (!await exchange.take(REPLICA_KEY, 0)) return;
    this.#requests.push(atMs);
    if (process.toldAtMs + REACTION_MS <= atMs) this.arrivals.push(atMs);
    const rate = this.#fleet.rateAt(atMs);
    exchange.recordAnswer(REPLICA_KEY, {
      rate,
      // An answer arrives after its request was sent.
      sentAtMs: sentAtMs - 1,
    });
    if (rate !== undefined) {
      process.toldAtMs = Math.min(process.toldAtMs, atMs);
    }
  }

  #isDown({ isStopped, isFrozen }: SimulatedProcess): boolean {
    return isStopped || isFrozen;
  }

  #createProcess(name: string, names: readonly string[]): SimulatedProcess {
    const processOwners = new owners.ReplicaOwners(name);
    for (const other of names) {
      processOwners.put({ name: other, host: other, port: 1 });
    }
    const process: SimulatedProcess = {
      name,
      owners: processOwners,
      toldAtMs: Infinity,
      isStopped: false,
      isFrozen: false,
      bytes: 0,
      exchange: new exchanges.RateExchange({
        name,
        clock: this.clock,
        owners: processOwners,
        random: this.random,
        send: (bytes, { host }) => {
          const target = this.#byName.get(host);
          process.bytes += bytes.byteLength + HEADER_BYTES;
          const isLost = this.random() < (this.#fleet.lostShare ?? 0);
          if (target === undefined || this.#isDown(target) || isLost) return;
          target.bytes += bytes.byteLength + HEADER_BYTES;
          target.exchange.handleDatagram(bytes, name);
        },
      }),
    };
    return process;
  }
}

const FLEET_SIZES = [1, 4, 30, 68, 161, 400];
const RATES = [0, 0.4, 1.3, 2, 12.5];

for (const processes of FLEET_SIZES) {
  for (const rate of RATES) {
    test(`${processes} processes share a rate of ${rate} requests a second`, async (t) => {
      const simulation = new Simulation({ processes, rateAt: () => rate });
      await simulation.run();
      const busiest = simulation.findBusiestWindow();
      t.true(busiest <= countAllowed(rate), `${busiest} in 4 s`);
      t.true(
        simulation.maxBytesPerS <= MAX_BYTES_PER_S,
        `${Math.round(simulation.maxBytesPerS)} bytes/s`,
      );
      // Unused capacity would be lost to callers.
      const used = simulation.countBetween(6_000, 16_000);
      t.true(used >= 0.6 * rate * 10 - 2, `${used} in 10 s`);
    });
  }
}

const DISTURBANCES: Readonly<
  Record<string, NonNullable<Fleet["disturb"]>>
> = {
  "the owner dies": (simulation, atMs) => {
    if (atMs === 6_000) simulation.owner.isStopped = true;
  },
  "the owner is frozen for 3 s": (simulation, atMs) => {
    if (atMs === 5_000) simulation.owner.isFrozen = true;
    if (atMs !== 8_000) return;
    for (const process of simulation.processes) process.isFrozen = false;
  },
  "the owner leaves, which the others learn one after the other": (
    simulation,
    atMs,
  ) => {
    const { processes, owner } = simulation;
    if (atMs === 6_000) owner.isStopped = true;
    const stopped = processes.find(({ isStopped }) => isStopped);
    const learnt = (atMs - 6_000) / 1_000 * processes.length;
    if (stopped === undefined || learnt < 0) return;
    for (const process of processes.slice(0, Math.ceil(learnt))) {
      process.owners.remove(stopped.name);
    }
  },
};

for (const processes of [4, 30, 68, 161]) {
  for (const rate of [0, 1.3, 12.5]) {
    for (const [what, disturb] of Object.entries(DISTURBANCES)) {
      test(`${processes} processes keep to a rate of ${rate} while ${what}`, async (t) => {
        const simulation = new Simulation({
          processes,
          rateAt: () => rate,
          disturb,
        });
        await simulation.run();
        const busiest = simulation.findBusiestWindow();
        t.true(busiest <= countAllowed(rate), `${busiest} in 4 s`);
      });
    }
    test(`${processes} processes keep to a rate of ${rate} while a fifth of the datagrams is lost`, async (t) => {
      const simulation = new Simulation({
        processes,
        rateAt: () => rate,
        lostShare: 0.2,
      });
      await simulation.run();
      const busiest = simulation.findBusiestWindow();
      t.true(busiest <= countAllowed(rate), `${busiest} in 4 s`);
    });
  }
  test(`${processes} processes use a replica freely soon after it names no rate any more`, async (t) => {
    const simulation = new Simulation({
      processes,
      rateAt: (atMs) => atMs < 6_000 ? 1.3 : undefined,
    });
    await simulation.run();
    const later = simulation.countBetween(12_000, 16_000);
    t.true(later > 0.9 * MIN_DEMAND_PER_S * 4, `${later} in 4 s`);
  });
}

test("a restarted replica has no rate, also if a peer passes the old one on later", (t) => {
  const simulation = new Simulation({ processes: 2, rateAt: () => 1 });
  const [a, b] = simulation.processes as [SimulatedProcess, SimulatedProcess];
  a.exchange.recordAnswer(REPLICA_KEY, { rate: 1, sentAtMs: 0 });
  b.exchange.recordAnswer(REPLICA_KEY, { rate: 1, sentAtMs: 0 });
  simulation.clock.advance(1_000);
  a.exchange.reset(REPLICA_KEY);
  b.exchange.notify({ name: a.name, host: a.name, port: 1 }, [REPLICA_KEY]);
  t.is(a.exchange.readRate(REPLICA_KEY), undefined);
});

test("an answer to a request that was sent before the rate was heard does not end it", (t) => {
  const simulation = new Simulation({ processes: 1, rateAt: () => 1 });
  const { exchange } = simulation.processes[0] as SimulatedProcess;
  const startedAtMs = simulation.clock.monotonicMs();
  exchange.recordAnswer(REPLICA_KEY, { rate: 2, sentAtMs: startedAtMs });
  simulation.clock.advance(500);
  const early = { rate: undefined, sentAtMs: startedAtMs - 10 };
  t.false(exchange.recordAnswer(REPLICA_KEY, early));
  t.is(exchange.readRate(REPLICA_KEY), 2);
  const late = { rate: undefined, sentAtMs: startedAtMs + 10 };
  t.true(exchange.recordAnswer(REPLICA_KEY, late));
  t.is(exchange.readRate(REPLICA_KEY), undefined);
});

test("the last request at a rate is left for a more urgent one", async (t) => {
  const simulation = new Simulation({ processes: 1, rateAt: () => 1 });
  const { exchange } = simulation.processes[0] as SimulatedProcess;
  exchange.recordAnswer(REPLICA_KEY, { rate: 1, sentAtMs: 0 });
  t.false(await exchange.take(REPLICA_KEY, 1));
  t.true(exchange.findWaitMs(REPLICA_KEY, 1) > 0);
  t.true(await exchange.take(REPLICA_KEY, 0));
  t.false(await exchange.take(REPLICA_KEY, 0));
});

test("messages are decoded as they were encoded, and bytes that are none are dropped", (t) => {
  const message: messages.RateMessage = {
    type: "ask",
    name: "p1",
    askId: 3,
    replicaKey: 4_294_967_295,
    stated: { rate: 1.3, ageMs: 20 },
    coldMs: 2_900,
    reserved: 1,
    isPreferred: true,
  };
  t.deepEqual(
    messages.decodeRateMessage(messages.encodeRateMessage(message)),
    message,
  );
  const answer: messages.RateMessage = {
    type: "answer",
    name: "p1",
    askId: 0,
    replicaKey: 1,
    stated: { rate: undefined, ageMs: Infinity },
    coldMs: 0,
    waitMs: 12,
  };
  t.deepEqual(
    messages.decodeRateMessage(messages.encodeRateMessage(answer)),
    answer,
  );
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      messages.decodeRateMessage(bytes);
    }),
  );
  t.is(messages.decodeRateMessage(new Uint8Array(300)), undefined);
});
