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

interface ScheduledEvent {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** Simulated processes, replicas and datagrams on one manual clock. */
class Simulation {
  readonly clock = new kernel.ManualClock();
  readonly #generator = xoroshiro.xoroshiro128plus(7);
  readonly random = () => float64.uniformFloat64(this.#generator);
  readonly backlogMs = Array.from({ length: REPLICAS }, () => 0);
  readonly scheduledEvents: ScheduledEvent[] = [];
  readonly processes = Array.from({ length: PROCESSES }, () => ({
    ownPendingMs: new Map<number, number>(),
    isUrgent: false,
  }));
  readonly reporters: readonly peers.PeerReporter[];
  late = 0;
  sent = 0;

  constructor(isSharing: boolean) {
    this.reporters = this.processes.map(({ ownPendingMs }, processIndex) => {
      const name = `p${processIndex}`;
      const reporter = new peers.PeerReporter({
        name,
        clock: this.clock,
        channel: {
          onDatagram: undefined,
          send: (bytes, _host, port) =>
            this.scheduledEvents.push({
              atMs: this.clock.monotonicMs() + LINK_DELAY_MS,
              deliver: () => this.deliver(bytes, name, port),
            }),
          close: () => {},
        },
        source: {
          listLoads: () =>
            [...ownPendingMs].map(([replicaKey, pendingMs]) => ({
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
  send(prefillMs: number): void {
    const processIndex = Math.floor(this.random() * PROCESSES);
    const process = this
      .processes[processIndex] as Simulation["processes"][number];
    const candidates = this.backlogMs.map((
      _,
      index,
    ): decisions.ReplicaCandidate => ({
      id: String(index),
      isLocal: true,
      inFlight: 0,
      pendingMs: (process.ownPendingMs.get(index) ?? 0) +
        (this.reporters[processIndex]?.readLoad(index).pendingMs ?? 0),
      slots: 48,
      cachedTokens: 0,
      failureRate: 0,
      meanLatencyMs: undefined,
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
    process.ownPendingMs.set(
      index,
      (process.ownPendingMs.get(index) ?? 0) + prefillMs,
    );
    process.isUrgent = true;
    // The first event shows that the prompt has been processed.
    this.scheduledEvents.push({
      atMs: this.clock.monotonicMs() + waitMs + prefillMs,
      deliver: () => {
        const remaining = (process.ownPendingMs.get(index) ?? 0) - prefillMs;
        if (remaining > 1) process.ownPendingMs.set(index, remaining);
        else process.ownPendingMs.delete(index);
      },
    });
  }

  step(): void {
    this.clock.advance(1);
    const nowMs = this.clock.monotonicMs();
    const due = this.scheduledEvents.filter(({ atMs }) => atMs <= nowMs);
    const remaining = this.scheduledEvents.filter(({ atMs }) => atMs > nowMs);
    this.scheduledEvents.splice(0, Infinity, ...remaining);
    for (const { deliver } of due) deliver();
    for (let index = 0; index < REPLICAS; index += 1) {
      this.backlogMs[index] = Math.max(
        0,
        (this.backlogMs[index] as number) - 1,
      );
    }
    this.processes.forEach((process, processIndex) => {
      const isDue = (nowMs + 4 * processIndex) % CHECK_INTERVAL_MS === 0;
      if (isDue || process.isUrgent) this.reporters[processIndex]?.check();
      process.isUrgent = false;
    });
  }
}

function measureLateShare(isSharing: boolean): number {
  const simulation = new Simulation(isSharing);
  const drawMs = d3Random.randomExponential.source(simulation.random)(
    1 / MEAN_PREFILL_MS,
  );
  while (simulation.clock.monotonicMs() < DURATION_MS) {
    simulation.step();
    if (simulation.random() < PROMPTS_PER_S / 1_000) simulation.send(drawMs());
  }
  for (const reporter of simulation.reporters) reporter.close();
  return simulation.late / simulation.sent;
}

test("shared load reports reduce late starts of long prompts from many processes", (t) => {
  const alone = measureLateShare(false);
  const sharing = measureLateShare(true);
  t.log(`late: ${alone.toFixed(4)} alone, ${sharing.toFixed(4)} sharing`);
  t.true(sharing <= alone / 4, `late: ${alone} alone, ${sharing} sharing`);
});
