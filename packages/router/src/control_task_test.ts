/** Freshness that processes share: what a peer's word confirms, and what it never does. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as controls from "./control_task.ts";
import * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as telemetry from "./telemetry.ts";

const test = ava.default;

/** Answers the first read; its watches hang until they are interrupted. */
class HangingPlane implements Partial<ports.ControlPlane> {
  watches = 0;
  #end: (() => void) | undefined;

  readAll(): Promise<kernel.Outcome<ports.ControlUpdate>> {
    return Promise.resolve(neverthrow.ok({ items: [], revision: 20 }));
  }

  waitForChanges(
    _afterRevision: number,
    _waitMs: number,
    signal: AbortSignal,
  ): Promise<kernel.Outcome<ports.ControlUpdate>> {
    this.watches += 1;
    return new Promise((resolve) => {
      const end = () => resolve(kernel.fail("store-unavailable", "ended"));
      this.#end = end;
      signal.addEventListener("abort", end, { once: true });
    });
  }

  close(): Promise<void> {
    this.#end?.();
    return Promise.resolve();
  }
}

async function start(t: ava.ExecutionContext) {
  const clock = new kernel.ManualClock(50_000);
  const plane = new HangingPlane();
  const log = new logs.DecisionLog(clock, {}, {
    write: (_text, onDone) => onDone(null),
  });
  const task = new controls.ControlTask({
    clock,
    plane: plane as unknown as ports.ControlPlane,
    log,
    telemetry: new telemetry.Telemetry(),
    random: () => 0.5,
    countConfirming: () => 3,
    listener: {
      onReplica: () => {},
      onReplicaGone: () => {},
      onTable: () => {},
      onPeer: () => {},
      onPeerGone: () => {},
    },
  });
  task.start();
  t.teardown(async () => {
    await task.close();
    log.close();
  });
  const endAtMs = Date.now() + 3_000;
  while (plane.watches === 0 && Date.now() < endAtMs) await kernel.sleep(5);
  return { clock, plane, task };
}

test("a peer that has taken no more confirms the view, with the age that it says", async (t) => {
  const { clock, task } = await start(t);
  clock.advance(2_000);
  t.true(task.ageMs >= 2_000);
  task.takePeerView({ revision: 20, confirmedAgeMs: 400 });
  t.true(task.ageMs >= 400 && task.ageMs < 1_000, `${task.ageMs} ms`);
  clock.advance(1_000);
  t.true(task.ageMs >= 1_400);
  // An older word does not make the view older.
  const before = task.ageMs;
  task.takePeerView({ revision: 12, confirmedAgeMs: 9_000 });
  t.is(task.ageMs, before);
});

test("a peer that knows more confirms nothing, and ends a watch that has gone dead", async (t) => {
  const { clock, plane, task } = await start(t);
  for (let passedMs = 0; passedMs <= 1_400; passedMs += 200) {
    clock.advance(200);
    task.takePeerView({ revision: 21, confirmedAgeMs: 10 });
  }
  t.true(task.ageMs >= 1_400);
  t.is(plane.watches, 1);
  clock.advance(400);
  task.takePeerView({ revision: 21, confirmedAgeMs: 10 });
  await kernel.sleep(20);
  t.is(plane.watches, 2);
});

test("a long watch ends when nobody confirms the view", async (t) => {
  const { clock, plane } = await start(t);
  clock.advance(1_900);
  await kernel.sleep(250);
  t.is(plane.watches, 1);
  clock.advance(200);
  await kernel.sleep(250);
  t.is(plane.watches, 2);
});
