/**
 * Guards against EXPOSURE: streams of a version that is many times slower were judged by
 * seven gaps, seconds after all requests had moved to it, and the longest gaps were left
 * out because this process had lagged for a moment in them.
 */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as control from "./control_task.ts";
import type * as logs from "./decision_log.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";
import * as rollouts from "./rollout_task.ts";
import type * as sends from "./send.ts";
import * as paces from "./stream_pace.ts";

const test = ava.default;

const SERVICE = "chat";
const REPLICAS = 8;
const STABLE_GAP_MS = 30;
/** This process lags once in this time. */
const LAG_INTERVAL_MS = 500;
const LAG_MS = 60;
const TICK_MS = 5;

const RECORD: ports.RolloutRecord = {
  service: SERVICE,
  revision: 1,
  orderRevision: 1,
  targetVersion: "v2",
  state: "in-progress",
  startedAtMs: 0,
  durationMs: 60_000,
  reason: "ordered",
  bannedVersions: [],
};

/** A roll-out in progress, and the streams that this process reads. */
class Trial {
  readonly #clock = new kernel.ManualClock();
  readonly #task: rollouts.RolloutTask;

  constructor() {
    const order = {
      service: SERVICE,
      targetVersion: "v2",
      durationMs: RECORD.durationMs,
      revision: 1,
    };
    this.#task = new rollouts.RolloutTask({
      clock: this.#clock,
      controlPlane: {
        writeRollout: () => new Promise(() => {}),
      } as unknown as ports.ControlPlane,
      control: {
        orders: new Map([[SERVICE, order]]),
        records: new Map([[SERVICE, RECORD]]),
        unwrittenRecords: [],
        hasView: true,
      } as unknown as control.ControlTask,
      log: { addNotable: () => {} } as unknown as logs.DecisionLog,
      random: () => 0.5,
      exposureShare: 0.15,
      countReplicas: () => REPLICAS,
      countProcesses: () => 1,
      onOrder: () => {},
    });
  }

  get isStopped(): boolean {
    const session = { version: undefined, fraction: 0.5 };
    return this.#task.chooseVersionPreference(SERVICE, session).banned
      .includes("v2");
  }

  /** Reads one stream of each replica; returns when the version was stopped, if it was. */
  readStreams(
    version: string,
    gapsMs: readonly number[],
  ): number | undefined {
    const startMs = this.#clock.monotonicMs();
    const streams = Array.from({ length: REPLICAS }, (_, key) => ({
      key,
      pace: new paces.StreamPaceTracker(),
      nextEvent: 0,
    }));
    const eventTimesMs = gapsMs.reduce<readonly number[]>(
      (times, gapMs) => [...times, (times.at(-1) ?? 0) + gapMs],
      [0],
    );
    while (this.#clock.monotonicMs() <= startMs + (eventTimesMs.at(-1) ?? 0)) {
      const nowMs = this.#clock.monotonicMs();
      const totalLagMs = LAG_MS * Math.floor(nowMs / LAG_INTERVAL_MS);
      for (const stream of streams) {
        const nextEventAtMs = eventTimesMs[stream.nextEvent] ?? Infinity;
        if (startMs + nextEventAtMs <= nowMs) {
          stream.pace.recordEvents(1, nowMs, totalLagMs);
          stream.nextEvent += 1;
        }
        this.#offer(stream, version, totalLagMs);
      }
      if (this.isStopped) return nowMs - startMs;
      this.#clock.advance(TICK_MS);
    }
    return undefined;
  }

  close(): void {
    this.#task.close();
  }

  #offer(
    stream: { readonly key: number; readonly pace: paces.StreamPaceTracker },
    version: string,
    totalLagMs: number,
  ): void {
    paces.offerPace(
      stream.pace,
      {
        nowMs: this.#clock.monotonicMs(),
        dependencies: {
          rollouts: this.#task,
          fleet: { readLoad: () => ({ running: 4 }) },
        },
      } as unknown as dispatchers.Dispatcher,
      {
        service: SERVICE,
        route: { name: "r" },
      } as unknown as requests.AdmittedRequest,
      {
        sent: {
          state: { entry: { version }, key: stream.key, inFlight: 2 },
        } as unknown as sends.SentAttempt,
        model: "small",
        hasEnded: false,
        totalLagMs,
      },
    );
  }
}

function createTrial(t: ava.ExecutionContext): Trial {
  const trial = new Trial();
  t.teardown(() => trial.close());
  const gapsMs = Array.from({ length: 20 }, () => STABLE_GAP_MS);
  for (let round = 0; round < 3; round += 1) trial.readStreams("v1", gapsMs);
  return trial;
}

test("a version with an event a second is stopped before its fourth gap ends, although this process lags", (t) => {
  const trial = createTrial(t);
  const stoppedAtMs = trial.readStreams("v2", [
    ...[1_000, 1_000, 1_000, 1_000],
    ...[1_000, 1_000, 1_000, 1_000],
  ]);
  t.true(stoppedAtMs !== undefined && stoppedAtMs < 4_000, `${stoppedAtMs}`);
});

test("three long gaps, as prompts at the replica cause them, do not stop a version", (t) => {
  const trial = createTrial(t);
  const gapsMs = [1_000, 1_000, 1_000, ...Array.from({ length: 12 }, () => 30)];
  for (let round = 0; round < 20; round += 1) {
    t.is(trial.readStreams("v2", gapsMs), undefined);
  }
});
