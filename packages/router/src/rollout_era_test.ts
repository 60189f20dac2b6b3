/** Tests the evidence and steps of roll-outs over a control plane that is restored from an older copy. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as control from "./control_task.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as rollouts from "./rollout_task.ts";

const test = ava.default;
const at = kernel.makePosition;
const SERVICE = "desk";
const DURATION_MS = 30_000;
const STEP_MS = 100;
const REPLICA_KEYS = [1, 2, 3, 4, 5, 6, 7, 8];

const V3_ORDER: ports.RolloutOrder = {
  service: SERVICE,
  targetVersion: "v3",
  durationMs: DURATION_MS,
  revision: at(2, 40),
};
const V3_RECORD: ports.RolloutRecord = {
  service: SERVICE,
  revision: at(2, 41),
  orderRevision: at(2, 40),
  targetVersion: "v3",
  state: "in-progress",
  startedAtMs: 0,
  durationMs: DURATION_MS,
  reason: "ordered",
  bannedVersions: [],
};

/** One roll-out, with a control plane that answers no write. */
class Rollout {
  readonly writes: ports.RolloutRecord[] = [];
  readonly #clock = new kernel.ManualClock();
  readonly #task: rollouts.RolloutTask;

  constructor(
    t: ava.ExecutionContext,
    { order = V3_ORDER, record = V3_RECORD, replicas = REPLICA_KEYS.length },
  ) {
    this.#task = new rollouts.RolloutTask({
      clock: this.#clock,
      controlPlane: {
        writeRollout: (written: ports.RolloutRecord) => {
          this.writes.push(written);
          return new Promise(() => {});
        },
      } as unknown as ports.ControlPlane,
      control: {
        orders: new Map([[SERVICE, order]]),
        records: new Map([[SERVICE, record]]),
        unwrittenRecords: [],
        hasView: true,
      } as unknown as control.ControlTask,
      log: { addNotable: () => {} } as unknown as logs.DecisionLog,
      random: () => 0.5,
      exposureShare: 0.15,
      countReplicas: () => replicas,
      countProcesses: () => 1,
      onOrder: () => {},
    });
    this.#task.check();
    t.teardown(() => this.#task.close());
  }

  advance(durationMs: number): void {
    for (let stepMs = 0; stepMs < durationMs; stepMs += STEP_MS) {
      this.#clock.advance(STEP_MS);
      this.#task.check();
    }
  }

  /** Records whole answers of a version, sent `tookMs` ago. */
  answer(version: string, answers: number, tookMs = 1): void {
    const endedAtMs = this.#clock.monotonicMs();
    for (let index = 0; index < answers; index += 1) {
      this.#task.record({
        service: SERVICE,
        version,
        route: "order",
        replicaKey: REPLICA_KEYS[index % 4] as number,
        model: undefined,
        result: "whole",
        paceMs: undefined,
        sentAtMs: endedAtMs - tookMs,
        endedAtMs,
      });
    }
  }

  /** Lets a peer report failures of each replica. */
  reportFailures(orderRevision: number): void {
    this.#task.recordPeerOutcomes({
      service: SERVICE,
      orderRevision,
      route: "order",
      answers: 20,
      failures: REPLICA_KEYS.map((replicaKey) => ({ replicaKey, count: 2 })),
    });
  }
}

// Guards against a good version that is rolled back: a peer that was still in the store's former era
// reported failures of the version ordered before, and they were counted against the new one.
test("failures that a peer reports for an order of another era count only for an order that was known by it", (t) => {
  const unknown = new Rollout(t, {});
  unknown.answer("v1", 60);
  unknown.reportFailures(at(1, 10));
  t.deepEqual(unknown.writes, []);
  const order = { ...V3_ORDER, formerRevisions: [at(1, 10)] };
  const known = new Rollout(t, { order });
  known.answer("v1", 60);
  known.reportFailures(at(1, 10));
  t.is(known.writes[0]?.state, "rolled-back");
});

test("a record of an earlier era that may be that of the order is not replaced at once", (t) => {
  const record = { ...V3_RECORD, orderRevision: at(1, 10) };
  const rollout = new Rollout(t, { record });
  rollout.advance(2_500);
  t.deepEqual(rollout.writes, []);
  rollout.advance(2_000);
  t.is(rollout.writes[0]?.orderRevision, V3_ORDER.revision);
});

/** Parts of the duration just after all requests have moved, and when the roll-out is over. */
const SHIFTED = 0.62;
const OVER = 0.98;

for (
  const { name, replicas = 8, before = 0, running = 0, after = 0, state } of [
    { name: "no requests", state: "completed" },
    { name: "requests before the shift only", before: 1, state: "completed" },
    {
      name: "a request that was sent before the shift and ended after it",
      running: 1,
      state: "completed",
    },
    {
      name: "requests elsewhere though it was preferred",
      after: 1,
      state: "rolled-back",
    },
    { name: "no replicas", replicas: 0, state: "rolled-back" },
  ]
) {
  // Guards against a good version that is rolled back since its service became quiet, and against a
  // stopped one that is completed though requests ran elsewhere.
  test(`a version that has answered nothing is ${state} with ${name}`, (t) => {
    const rollout = new Rollout(t, { replicas });
    rollout.advance(500);
    rollout.answer("v1", before);
    rollout.advance(SHIFTED * DURATION_MS - 500);
    rollout.answer("v1", after);
    rollout.answer("v1", running, DURATION_MS / 2);
    rollout.advance((OVER - SHIFTED) * DURATION_MS);
    t.is<string | undefined, string>(rollout.writes[0]?.state, state);
  });
}
