/** Roll-outs on the platform: verdicts, completion, and the versions that sessions keep. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const { ROUTES } = harnesses;
const { withHarness } = harnesses;
// One at a time: the checks of delays must not measure each other.
const test = ava.default.serial;

test("a bad version is rolled back, on record and for the operator, and gets nothing more", (t) =>
  withHarness(async (harness) => {
    const old = await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start({ exposureShare: 0.5 });
    for (let call = 0; call < 20; call += 1) {
      await harness.call(ROUTES.order, { method: "POST", body: "1" });
    }
    const bad = await harness.addReplica(
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
    await harness.waitFor(() => harness.listLog("rollout.known").length > 0);
    // The trial begins once all entries can know of the order.
    for (
      let call = 0;
      call < 900 && harness.listLog("rollout.known").length < 2;
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
      bad.received.length >= 1 && bad.received.length < 30,
      `${bad.received.length} requests`,
    );
    const before = bad.received.length;
    for (let call = 0; call < 20; call += 1) {
      await harness.call(ROUTES.order, { method: "POST", body: "1" });
    }
    t.is(bad.received.length, before);
    t.true(old.received.length > 40);
  }));

test("a good version is completed in time, also when answers of writes are lost", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    const good = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
      { version: "v2" },
    );
    await harness.waitFor(() => harness.listLog("replica.known").length === 2);
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
    const before = good.received.length;
    for (let call = 0; call < 10; call += 1) await harness.call(ROUTES.check);
    t.is(good.received.length, before + 10);
  }));

test("a router that starts again takes up the roll-out where the record stands", (t) =>
  withHarness(async (harness) => {
    const bad = await harness.addReplica(
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
    t.is(bad.received.length, 0);
    t.is(harness.store.read("status/rollout/desk"), undefined);
  }));

/** Two entries of one installation, an old replica, and sessions known to the first. */
async function bearSessions(harness: harnesses.PlatformHarness) {
  await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
  await harness.start({ exposureShare: 1 });
  const other = new harnesses.PlatformHarness(harness.store, "edge-2");
  await other.startRouter({ exposureShare: 1 });
  await other.waitFor(() => other.router.isReady);
  const sessions = Array.from({ length: 60 }, (_, at) => `session-${at}`);
  const callAt = (at: harnesses.PlatformHarness, session: string) =>
    at.call(ROUTES.check, { headers: { session } });
  for (const session of sessions) await callAt(harness, session);
  const fresh = await harness.addReplica(
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
  for (const entry of [harness, other]) {
    await entry.waitFor(() => entry.listLog("rollout.known").length > 0);
  }
  return { other, sessions, callAt, fresh };
}

test("a session that goes on at another entry keeps its version in the first half", (t) =>
  withHarness(async (harness) => {
    const { other, sessions, callAt, fresh } = await bearSessions(harness);
    for (const session of sessions) await callAt(other, session);
    await other.router.close();
    t.true(
      fresh.received.length <= 3,
      `${fresh.received.length} sessions changed sides`,
    );
  }));

test("a session that another entry takes up while the trial runs keeps its version", (t) =>
  withHarness(async (harness) => {
    const { other, sessions, callAt, fresh } = await bearSessions(harness);
    // Sessions without a past try the version once the trial has begun.
    for (let at = 0; at < 200 && fresh.received.length === 0; at += 1) {
      await callAt(other, `later-${at}`);
      await kernel.sleep(50);
    }
    const before = fresh.received.length;
    t.true(before > 0, "the trial has not begun");
    for (const session of sessions) await callAt(other, session);
    await other.router.close();
    t.true(
      fresh.received.length - before <= 3,
      `${fresh.received.length - before} sessions changed sides`,
    );
  }));
