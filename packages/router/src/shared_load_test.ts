/**
 * Pattern: many processes send long prompts to the same replicas, and a replica
 * reads one prompt after the other. Where each process knows only its own
 * prompts, they meet at one replica while others have nothing to read.
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
const READ_MS = 150;
const DURATION_MS = 20_000;
/** Half of the first token's target: the rest is for reading and decoding. */
const LATE_MS = 1_000;
const LINK_MS = 2;
const CHECK_MS = 100;

interface Datagram {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** Processes, replicas and datagrams on one clock. */
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
  readonly tasks: readonly peers.PeerReporter[];
  late = 0;
  sent = 0;

  constructor(isSharing: boolean) {
    this.tasks = this.processes.map(({ ownMs }, at) => {
      const name = `p${at}`;
      const task = new peers.PeerReporter({
        name,
        clock: this.clock,
        channel: {
          onDatagram: undefined,
          send: (bytes, _host, port) =>
            this.datagrams.push({
              atMs: this.clock.monotonicMs() + LINK_MS,
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
        task.table.put({ name: `p${other}`, host: `p${other}`, port: other });
      }
      return task;
    });
  }

  deliver(bytes: Uint8Array, from: string, to: number): void {
    const report = peers.decodeReport(bytes);
    if (report === undefined) throw new Error("no report");
    this.tasks[to]?.table.acceptReport(report, from, this.clock.monotonicMs());
  }

  /** One prompt arrives at a process. */
  place(readMs: number): void {
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
        (this.tasks[at]?.readLoad(index).pendingMs ?? 0),
      slots: 48,
      cachedTokens: 0,
      failureRate: 0,
      meanFirstByteMs: undefined,
    }));
    const chosen = decisions.chooseReplica(candidates, {
      promptTokens: 6_000,
      prefillMsPerToken: readMs / 6_000,
      affinityKey: undefined,
      sharedTokens: 0,
    }, this.random);
    const index = Number(chosen?.id);
    const waitMs = this.backlogMs[index] as number;
    this.sent += 1;
    if (waitMs + readMs > LATE_MS) this.late += 1;
    this.backlogMs[index] = waitMs + readMs;
    process.ownMs.set(index, (process.ownMs.get(index) ?? 0) + readMs);
    process.isUrgent = true;
    // The first event tells that the prompt is read.
    this.datagrams.push({
      atMs: this.clock.monotonicMs() + waitMs + readMs,
      deliver: () => {
        const left = (process.ownMs.get(index) ?? 0) - readMs;
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
      const isDue = (nowMs + 4 * at) % CHECK_MS === 0;
      if (isDue || process.isUrgent) this.tasks[at]?.sendIfDue();
      process.isUrgent = false;
    });
  }
}

function measureLate(isSharing: boolean): number {
  const world = new World(isSharing);
  const read = d3Random.randomExponential.source(world.random)(1 / READ_MS);
  while (world.clock.monotonicMs() < DURATION_MS) {
    world.step();
    if (world.random() < PROMPTS_PER_S / 1_000) world.place(read());
  }
  for (const task of world.tasks) task.close();
  return world.late / world.sent;
}

test("long prompts of many processes spread once each knows the others' loads", (t) => {
  const alone = measureLate(false);
  const sharing = measureLate(true);
  t.log(`late: ${alone.toFixed(4)} alone, ${sharing.toFixed(4)} sharing`);
  t.true(sharing <= alone / 4, `late: ${alone} alone, ${sharing} sharing`);
});
