/**
 * Guards against uneven load: many processes send long prompts to the same
 * replicas, and a replica processes one prompt at a time. If each process knows
 * only its own prompts, several send to one replica while others are idle.
 */
import * as ava from "ava";
import * as d3Random from "d3-random";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as peers from "@jackdawbank/peers";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

const test = ava.default;

const PROCESSES = 24;
const REPLICAS = 30;
const PROMPTS_PER_S = 100;
const MEAN_PREFILL_MS = 150;
const DURATION_MS = 20_000;
/** Half of the target for the first token; the rest is kept for prefill and decoding. */
const LATE_START_MS = 1_000;
const LINK_DELAY_MS = 2;
const CHECK_INTERVAL_MS = 100;

interface Datagram {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** Simulated processes, replicas and datagrams on one manual clock. */
class World {
  readonly clock = new kernel.ManualClock();
  readonly #generator = xoroshiro.xoroshiro128plus(7);
  readonly random = () => float64.uniformFloat64(this.#generator);
  readonly backlogMs = Array.from({ length: REPLICAS }, () => 0);
  readonly datagrams: Datagram[] = [];
  readonly processes = Array.from({ length: PROCESSES }, () => ({
    ownMs: new Map<number, number>(),
    isUrgent: false,
  }));
  readonly reporters: readonly peers.PeerReporter[];
  late = 0;
  sent = 0;

  constructor(isSharing: boolean) {
    this.reporters = this.processes.map(({ ownMs }, at) => {
      const name = `p${at}`;
      const reporter = new peers.PeerReporter({
        name,
        clock: this.clock,
        channel: {
          onDatagram: undefined,
          send: (bytes, _host, port) =>
            this.datagrams.push({
              atMs: this.clock.monotonicMs() + LINK_DELAY_MS,
              deliver: () => this.deliver(bytes, name, port),
            }),
          close: () => {},
        },
        source: {
          listLoads: () =>
            [...ownMs].map(([replicaKey, pendingMs]) => ({
              replicaKey,
              pendingMs,
            })),
          listRunning: () => [],
          readView: () => undefined,
          listVersionOutcomes: () => [],
        },
        listener: {
          onSession: () => {},
          onView: () => {},
          onVersionOutcomes: () => {},
        },
        onReport: () => {},
      });
      for (let other = 0; other < PROCESSES && isSharing; other += 1) {
        reporter.table.put({
          name: `p${other}`,
          host: `p${other}`,
          port: other,
        });
      }
      return reporter;
    });
  }

  deliver(bytes: Uint8Array, from: string, to: number): void {
    const report = peers.decodeReport(bytes);
    if (report === undefined) throw new Error("invalid report");
    this.reporters[to]?.table.acceptReport(
      report,
      from,
      this.clock.monotonicMs(),
    );
  }

  /** Sends one prompt from a random process. */
  place(prefillMs: number): void {
    const at = Math.floor(this.random() * PROCESSES);
    const process = this.processes[at] as World["processes"][number];
    const candidates = this.backlogMs.map((
      _,
      index,
    ): decisions.ReplicaCandidate => ({
      id: String(index),
      isLocal: true,
      inFlight: 0,
      pendingMs: (process.ownMs.get(index) ?? 0) +
        (this.reporters[at]?.readLoad(index).pendingMs ?? 0),
      slots: 48,
      cachedTokens: 0,
      failureRate: 0,
      meanFirstByteMs: undefined,
    }));
    const chosen = decisions.chooseReplica(candidates, {
      promptTokens: 6_000,
      prefillMsPerToken: prefillMs / 6_000,
      affinityKey: undefined,
      sharedTokens: 0,
    }, this.random);
    const index = Number(chosen?.id);
    const waitMs = this.backlogMs[index] as number;
    this.sent += 1;
    if (waitMs + prefillMs > LATE_START_MS) this.late += 1;
    this.backlogMs[index] = waitMs + prefillMs;
    process.ownMs.set(index, (process.ownMs.get(index) ?? 0) + prefillMs);
    process.isUrgent = true;
    // The first event shows that the prompt has been processed.
    this.datagrams.push({
      atMs: this.clock.monotonicMs() + waitMs + prefillMs,
      deliver: () => {
        const left = (process.ownMs.get(index) ?? 0) - prefillMs;
        if (left > 1) process.ownMs.set(index, left);
        else process.ownMs.delete(index);
      },
    });
  }

  step(): void {
    this.clock.advance(1);
    const nowMs = this.clock.monotonicMs();
    const due = this.datagrams.filter(({ atMs }) => atMs <= nowMs);
    const left = this.datagrams.filter(({ atMs }) => atMs > nowMs);
    this.datagrams.splice(0, Infinity, ...left);
    for (const { deliver } of due) deliver();
    for (let at = 0; at < REPLICAS; at += 1) {
      this.backlogMs[at] = Math.max(0, (this.backlogMs[at] as number) - 1);
    }
    this.processes.forEach((process, at) => {
      const isDue = (nowMs + 4 * at) % CHECK_INTERVAL_MS === 0;
      if (isDue || process.isUrgent) this.reporters[at]?.sendIfDue();
      process.isUrgent = false;
    });
  }
}

function measureLate(isSharing: boolean): number {
  const simulation = new World(isSharing);
  const drawMs = d3Random.randomExponential.source(simulation.random)(
    1 / MEAN_PREFILL_MS,
  );
  while (simulation.clock.monotonicMs() < DURATION_MS) {
    simulation.step();
    if (simulation.random() < PROMPTS_PER_S / 1_000) simulation.place(drawMs());
  }
  for (const reporter of simulation.reporters) reporter.close();
  return simulation.late / simulation.sent;
}

test("shared load reports reduce late starts of long prompts from many processes", (t) => {
  const alone = measureLate(false);
  const sharing = measureLate(true);
  t.log(`late: ${alone.toFixed(4)} alone, ${sharing.toFixed(4)} sharing`);
  t.true(sharing <= alone / 4, `late: ${alone} alone, ${sharing} sharing`);
});
