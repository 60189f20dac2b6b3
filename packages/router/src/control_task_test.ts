/** Confirmation of the control plane view by peer reports. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as controls from "./control_task.ts";
import * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as telemetry from "./telemetry.ts";

const test = ava.default;

/** Control plane that answers the first read; watches hang until interrupted. */
class HangingControlPlane implements Partial<ports.ControlPlane> {
  watches = 0;
  revision = 20;
  #end: (() => void) | undefined;
  #loseHistory: (() => void) | undefined;

  readAll(): Promise<kernel.Outcome<ports.ControlUpdate>> {
    const { revision } = this;
    return Promise.resolve(neverthrow.ok({ items: [], revision }));
  }

  /** Ends the watch as one whose history is lost; resolves when the next one has begun. */
  async loseHistory(): Promise<void> {
    const before = this.watches;
    this.#loseHistory?.();
    const endAtMs = Date.now() + 3_000;
    while (this.watches === before && Date.now() < endAtMs) {
      await kernel.sleep(5);
    }
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
      this.#loseHistory = () =>
        resolve(kernel.fail("history-lost", "restored"));
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
  const plane = new HangingControlPlane();
  const log = new logs.DecisionLog(clock, {}, {
    write: (_text, onDone) => onDone(null),
  });
  const task = new controls.ControlTask({
    clock,
    controlPlane: plane as unknown as ports.ControlPlane,
    log,
    telemetry: new telemetry.Telemetry(),
    random: () => 0.5,
    countConfirmingPeers: () => 3,
    changeBoundMs: 2_000,
    listener: {
      onReplica: () => {},
      onReplicaDoubtful: () => {},
      onReplicaRemoved: () => {},
      onRouteTable: () => {},
      onPeer: () => {},
      onPeerRemoved: () => {},
      onQuarantinedPart: () => {},
      onQuarantinedPartRemoved: () => {},
      onEvacuation: () => {},
      onEvacuationRemoved: () => {},
      onFullRead: () => {},
    },
  });
  task.start();
  t.teardown(async () => {
    await task.close();
    void log.close();
  });
  const endAtMs = Date.now() + 3_000;
  while (plane.watches === 0 && Date.now() < endAtMs) await kernel.sleep(5);
  return { clock, plane, task };
}

test("a peer at the same or an older revision confirms the view at the age that it reports", async (t) => {
  const { clock, task } = await start(t);
  clock.advance(2_000);
  t.true(task.viewAgeMs >= 2_000);
  task.applyPeerView({ revision: 20, confirmedAgeMs: 400 });
  t.true(
    task.viewAgeMs >= 400 && task.viewAgeMs < 1_000,
    `${task.viewAgeMs} ms`,
  );
  clock.advance(1_000);
  t.true(task.viewAgeMs >= 1_400);
  // An older confirmation does not increase the age.
  const before = task.viewAgeMs;
  task.applyPeerView({ revision: 12, confirmedAgeMs: 9_000 });
  t.is(task.viewAgeMs, before);
});

// Guards against CONFIG: peers that had not noticed the control plane's restoration confirmed views.
test("a peer at another era of the control plane does not confirm the view", async (t) => {
  const { clock, plane, task } = await start(t);
  plane.revision = kernel.makePosition(1, 3);
  await plane.loseHistory();
  clock.advance(2_000);
  task.applyPeerView({ revision: 2, confirmedAgeMs: 10 });
  t.true(task.viewAgeMs >= 2_000);
  task.applyPeerView({ revision: plane.revision, confirmedAgeMs: 10 });
  t.true(task.viewAgeMs < 1_000);
});

// Guards against CONFIG: a process that started after the restoration read a table from before a
// key was revoked, and accepted the key.
test("a view without a peer's route table is not current, although it holds all that the control plane has", async (t) => {
  const { clock, task } = await start(t);
  const view = { revision: 20, confirmedAgeMs: 10 };
  task.applyPeerView(view);
  t.true(task.viewAgeMs < 1_000);
  task.applyPeerView({ ...view, tableRevision: 7 });
  t.is(task.viewAgeMs, Infinity);
  clock.advance(3_000);
  t.true(Number.isFinite(task.viewAgeMs));
  // A peer that is ahead tells of a change that is still to come.
  task.applyPeerView({ ...view, revision: 21, tableRevision: 8 });
  t.true(Number.isFinite(task.viewAgeMs));
});

test("a peer at a newer revision does not confirm the view, and a dead watch is interrupted", async (t) => {
  const { clock, plane, task } = await start(t);
  for (let passedMs = 0; passedMs < 1_400; passedMs += 200) {
    clock.advance(200);
    task.applyPeerView({ revision: 20, confirmedAgeMs: 10 });
  }
  const ageMs = task.viewAgeMs;
  for (let passedMs = 0; passedMs < 200; passedMs += 50) {
    task.applyPeerView({ revision: 21, confirmedAgeMs: 10 });
    clock.advance(50);
  }
  await kernel.sleep(120);
  t.true(task.viewAgeMs >= ageMs + 200);
  t.is(plane.watches, 1);
  clock.advance(200);
  await kernel.sleep(120);
  t.is(plane.watches, 2);
});

test("a long watch is interrupted when no peer confirms the view", async (t) => {
  const { clock, plane } = await start(t);
  clock.advance(1_900);
  await kernel.sleep(250);
  t.is(plane.watches, 1);
  clock.advance(200);
  await kernel.sleep(250);
  t.is(plane.watches, 2);
});
