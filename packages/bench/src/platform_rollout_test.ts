/** Tests roll-outs on the platform: verdicts, completion, and the versions that sessions keep. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const { ROUTES } = harnesses;
const { withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;

test("a bad version is rolled back, its status says so, and it gets no more requests", (t) =>
  withHarness(async (harness) => {
    const oldReplica = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    await harness.start({ exposureShare: 0.5 });
    for (let call = 0; call < 20; call += 1) {
      await harness.call(ROUTES.order, { method: "POST", body: "1" });
    }
    const badReplica = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "failure", status: 500 }),
      { version: "v2" },
    );
    harness.store.put("op/rollout/desk", {
      service: "desk",
      target: "v2",
      durationS: 30,
    });
    await harness.waitFor(() =>
      harness.store.read("status/rollout/desk") !== undefined
    );
    t.like(harness.store.read("status/rollout/desk") as object, {
      state: "in_progress",
      target: "v2",
    });
    await harness.waitFor(() =>
      harness.findLogLines("rollout.known").length > 0
    );
    // The trial begins after all entries had time to read the roll-out order.
    for (
      let call = 0;
      call < 900 && harness.findLogLines("rollout.known").length < 2;
      call += 1
    ) {
      await harness.call(ROUTES.order, { method: "POST", body: "1" });
      await kernel.sleep(5);
    }
    t.like(harness.store.read("status/rollout/desk") as object, {
      state: "rolled_back",
      target: "v2",
    });
    t.true(
      badReplica.received.length >= 1 && badReplica.received.length < 30,
      `${badReplica.received.length} requests`,
    );
    const before = badReplica.received.length;
    for (let call = 0; call < 20; call += 1) {
      await harness.call(ROUTES.order, { method: "POST", body: "1" });
    }
    t.is(badReplica.received.length, before);
    t.true(oldReplica.received.length > 40);
  }));

test("the roll-out of a good version completes in time although replies to writes are lost", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    const goodReplica = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
      { version: "v2" },
    );
    await harness.waitFor(() =>
      harness.findLogLines("replica.known").length === 2
    );
    harness.store.mode = "lost-writes";
    harness.store.put("op/rollout/desk", {
      service: "desk",
      target: "v2",
      durationS: 8,
    });
    const endAtMs = Date.now() + 8_000;
    await harness.waitFor(() =>
      (harness.store.read("status/rollout/desk") as
        | { state?: string }
        | undefined)?.state === "completed", 9_000);
    t.true(Date.now() < endAtMs);
    const before = goodReplica.received.length;
    for (let call = 0; call < 10; call += 1) await harness.call(ROUTES.check);
    t.is(goodReplica.received.length, before + 10);
  }));

test("a restarted router sends nothing to a version that the roll-out's record says was rolled back", (t) =>
  withHarness(async (harness) => {
    const targetReplica = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
      { version: "v2" },
    );
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    const revision = harness.store.put("op/rollout/desk", {
      service: "desk",
      target: "v2",
      durationS: 30,
    });
    harness.store.put("jackdawbank/rollout/desk", {
      orderRevision: revision,
      targetVersion: "v2",
      state: "rolled-back",
      startedAtMs: Date.now(),
      durationMs: 30_000,
      reason: "earlier",
      bannedVersions: ["v2"],
    });
    await harness.start();
    for (let call = 0; call < 20; call += 1) {
      t.is((await harness.call(ROUTES.check)).status, 200);
    }
    t.is(targetReplica.received.length, 0);
    t.is(harness.store.read("status/rollout/desk"), undefined);
  }));

/** Starts two entries, runs sessions through the first, and orders a roll-out to a new replica. */
async function startWithSessions(harness: harnesses.PlatformHarness) {
  await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
  await harness.start({ exposureShare: 1 });
  const otherEntry = new harnesses.PlatformHarness(harness.store, "edge-2");
  await otherEntry.startRouter({ exposureShare: 1 });
  await otherEntry.waitFor(() => otherEntry.router.isReady);
  const sessions = Array.from({ length: 60 }, (_, index) => `session-${index}`);
  const callThrough = (entry: harnesses.PlatformHarness, session: string) =>
    entry.call(ROUTES.check, { headers: { session } });
  for (const session of sessions) await callThrough(harness, session);
  const newReplica = await harness.addReplica(
    "i-2",
    "desk",
    () => ({ type: "ok" }),
    { version: "v2" },
  );
  harness.store.put("op/rollout/desk", {
    service: "desk",
    target: "v2",
    durationS: 20,
  });
  for (const entry of [harness, otherEntry]) {
    await entry.waitFor(() => entry.findLogLines("rollout.known").length > 0);
  }
  return { otherEntry, sessions, callThrough, newReplica };
}

test("a session that continues at another entry keeps its version in the first half of a roll-out", (t) =>
  withHarness(async (harness) => {
    const { otherEntry, sessions, callThrough, newReplica } =
      await startWithSessions(harness);
    for (const session of sessions) await callThrough(otherEntry, session);
    await otherEntry.router.close();
    t.true(
      newReplica.received.length <= 3,
      `${newReplica.received.length} sessions changed their version`,
    );
  }));

test("a session that continues at another entry during the trial keeps its version", (t) =>
  withHarness(async (harness) => {
    const { otherEntry, sessions, callThrough, newReplica } =
      await startWithSessions(harness);
    // New sessions use the new version once the trial has begun.
    for (
      let index = 0;
      index < 200 && newReplica.received.length === 0;
      index += 1
    ) {
      await callThrough(otherEntry, `later-${index}`);
      await kernel.sleep(50);
    }
    const before = newReplica.received.length;
    t.true(before > 0, "the trial has not begun");
    for (const session of sessions) await callThrough(otherEntry, session);
    await otherEntry.router.close();
    t.true(
      newReplica.received.length - before <= 3,
      `${newReplica.received.length - before} sessions changed their version`,
    );
  }));
