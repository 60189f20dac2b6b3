/** Tests how a router follows the platform's store, with outages and bad data, and how it shuts down. */
import * as ava from "ava";
import * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, ACCOUNT } = harnesses;
const { withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;

function readReadinessStatus(
  harness: harnesses.PlatformHarness,
): Promise<number> {
  return fetch(`http://127.0.0.1:${harness.ports.readiness}/-/readyz`)
    .then((response) => response.status);
}

test("a revoked key is refused, and an older configuration does not replace a newer one", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    t.is((await harness.call(ROUTES.check)).status, 200);
    const tenants = [{ name: ACCOUNT, apiKeys: [] }];
    harness.store.put(
      "op/config",
      harnesses.buildConfiguration({ version: 7, tenants }),
    );
    await harness.waitFor(() =>
      harness.findLogLines("config.taken").some((line) =>
        line["tableRevision"] === 7
      )
    );
    t.is((await harness.call(ROUTES.check)).status, 401);
    harness.store.put(
      "op/config",
      harnesses.buildConfiguration({ version: 5 }),
    );
    await new Promise((resolve) => setTimeout(resolve, 700));
    t.is((await harness.call(ROUTES.check)).status, 401);
  }));

for (const mode of ["silent", "busy", "nonsense"] as const) {
  test(`requests with a key are refused after the revocation bound while the store is ${mode}`, (t) =>
    withHarness(async (harness) => {
      const desk = await harness.addReplica(
        "i-1",
        "desk",
        () => ({ type: "ok" }),
      );
      await harness.start({ revocationBoundMs: 1_600 });
      harness.store.mode = mode;
      const lostAtMs = Date.now();
      let served = 0;
      while (Date.now() - lostAtMs < 1_600) {
        if ((await harness.call(ROUTES.check)).status === 200) served += 1;
      }
      t.true(served > 0);
      const refused = await harness.call(ROUTES.check);
      t.is(refused.status, 503);
      t.truthy(refused.headers["retry-after"]);
      t.is((await harness.call(ROUTES.check, { key: "unknown" })).status, 503);
      t.is((await harness.call(ROUTES.open, { key: undefined })).status, 200);
      t.is(await readReadinessStatus(harness), 503);
      const before = desk.received.length;
      harness.store.mode = "up";
      await harness.waitFor(() => harness.router.isReady);
      t.is((await harness.call(ROUTES.check)).status, 200);
      t.is(desk.received.length, before + 1);
      t.is(harness.findLogLines("control.lost").length, 1);
      t.is(harness.findLogLines("control.regained").length, 1);
    }));
}

test("the router reads all items again after the store has dropped its history", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    harness.store.put(
      "op/config",
      harnesses.buildConfiguration({ version: 3 }),
    );
    harness.store.remove("servers/i-1");
    const newReplica = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
    );
    harness.store.compact();
    await harness.waitFor(() =>
      harness.findLogLines("control.history-lost").length > 0
    );
    await harness.waitFor(() =>
      harness.findLogLines("replica.gone").length > 0
    );
    t.is((await harness.call(ROUTES.check)).body, `run by ${newReplica.id}`);
  }));

test("draining, removed and unreadable replicas get no more requests", (t) =>
  withHarness(async (harness) => {
    const draining = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    const removed = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
    );
    const unreadable = await harness.addReplica(
      "i-3",
      "desk",
      () => ({ type: "ok" }),
    );
    const remaining = await harness.addReplica(
      "i-4",
      "desk",
      () => ({ type: "ok" }),
    );
    await harness.start();
    harness.store.put(
      "servers/i-1",
      draining.buildEntry("desk", { state: "draining" }),
    );
    harness.store.remove("servers/i-2");
    harness.store.putBytes("servers/i-3", Buffer.from([0xff, 0x00, 0x7b]));
    harness.store.put("servers/other", { slots: "many" });
    await harness.waitFor(() =>
      harness.findLogLines("replica.unreadable").length >= 2 &&
      harness.findLogLines("replica.gone").length >= 2
    );
    const before = [draining, removed, unreadable].map((replica) =>
      replica.received.length
    );
    for (let call = 0; call < 12; call += 1) {
      t.is((await harness.call(ROUTES.check)).status, 200);
    }
    t.deepEqual(
      [draining, removed, unreadable].map((replica) => replica.received.length),
      before,
    );
    t.true(remaining.received.length >= 12);
  }));

test("an unreadable configuration does not replace the one in force", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    harness.store.put("op/config", { version: 9, routes: "none" });
    await harness.waitFor(() =>
      harness.findLogLines("control.unreadable").length > 0
    );
    t.is((await harness.call(ROUTES.check)).status, 200);
  }));

test("replicas removed during a store outage are used until they had time to register again", (t) =>
  withHarness(async (harness) => {
    const desk = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    await harness.start();
    harness.store.mode = "silent";
    await harness.waitFor(() =>
      harness.findLogLines("control.lost").length > 0
    );
    await new Promise((resolve) => setTimeout(resolve, 800));
    harness.store.remove("servers/i-1");
    harness.store.mode = "up";
    await harness.waitFor(() =>
      harness.findLogLines("control.regained").length > 0
    );
    t.is((await harness.call(ROUTES.check)).status, 200);
    t.is(harness.findLogLines("replica.gone").length, 0);
    await harness.waitFor(() =>
      harness.findLogLines("replica.gone").length === 1
    );
    t.is((await harness.call(ROUTES.check)).status, 503);
    harness.store.put("servers/i-1", desk.buildEntry("desk"));
    await harness.waitFor(() => harness.router.isReady);
    t.is((await harness.call(ROUTES.check)).status, 200);
  }));

test("after SIGTERM the router is not ready, closes callers' connections and finishes running requests", (t) =>
  withHarness(async (harness) => {
    const desk = await harness.addReplica("i-1", "desk", () => ({
      type: "ok",
      delayMs: 150,
    }));
    await harness.start({ graceMs: 2_000 });
    const agent = new http.Agent({ keepAlive: true });
    const running = harness.call(ROUTES.order, { method: "POST", body: "1" });
    await harness.waitFor(() => desk.received.length === 1);
    const stopped = harness.router.stop("SIGTERM");
    t.is(await readReadinessStatus(harness), 503);
    const during = await harness.call(ROUTES.check, { agent });
    t.is(during.status, 200);
    t.is(during.headers.connection, "close");
    t.is((await running).status, 200);
    await stopped;
    agent.destroy();
    await t.throwsAsync(harness.call(ROUTES.check));
  }));

test("a request that arrives nearly 3 s after SIGTERM is refused, as it could not finish", (t) =>
  withHarness(async (harness) => {
    const desk = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    await harness.start({ graceMs: 8_000 });
    const stopped = harness.router.stop("SIGTERM");
    await kernel.sleep(500);
    t.is((await harness.call(ROUTES.check)).status, 200);
    await kernel.sleep(2_350);
    // A router without running requests has closed its port; one with a stream answers 503.
    const lateStatus = await harness.call(ROUTES.check).then(
      ({ status }) => status,
      () => 503,
    );
    t.is(lateStatus, 503);
    t.is(desk.received.length, 1);
    await stopped;
  }));

test("a request that arrives before the first full read of the store waits for it, unless the store fails", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    harness.store.put("op/config", harnesses.buildConfiguration());
    harness.store.delayMs = 100;
    await harness.startRouter();
    t.is((await harness.call(ROUTES.check)).status, 200);
    const otherEntry = new harnesses.PlatformHarness(harness.store, "edge-2");
    harness.store.mode = "busy";
    await otherEntry.startRouter();
    await otherEntry.waitFor(() =>
      otherEntry.findLogLines("control.lost").length > 0
    );
    const startedAtMs = performance.now();
    t.is((await otherEntry.call(ROUTES.check)).status, 503);
    t.true(performance.now() - startedAtMs < 200);
    await otherEntry.router.close();
  }));

test("an entry announces itself, and again after its announcement expired", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    const { store } = harness;
    await harness.waitFor(() => store.list("jackdawbank/peers/").length === 1);
    for (const lease of store.leases) store.endLease(lease);
    t.deepEqual(store.list("jackdawbank/peers/"), []);
    await harness.waitFor(() => store.list("jackdawbank/peers/").length === 1);
    await harness.router.close();
    t.deepEqual(store.list("jackdawbank/peers/"), []);
  }));

test("a long prompt goes to a replica where no other entry has a long prompt pending", (t) =>
  withHarness(async (harness) => {
    const hang = () => ({ type: "hang" as const });
    const first = await harness.addReplica("i-1", "llm", hang);
    const second = await harness.addReplica("i-2", "llm", hang);
    await harness.start();
    const otherEntry = new harnesses.PlatformHarness(harness.store, "edge-2");
    await otherEntry.startRouter();
    for (const entry of [harness, otherEntry]) {
      await entry.waitFor(() => entry.findLogLines("peer.known").length >= 2);
    }
    // The prefix is the same: without the announcements, both entries would use the same replica.
    const prompt = {
      ...harnesses.DRAFT,
      headers: {
        ...harnesses.DRAFT.headers,
        "x-jackdawbank-token-usage": "40000,80",
      },
    };
    const countReceived = () => [first.received.length, second.received.length];
    const calls = [harness.call(ROUTES.draft, prompt)];
    await harness.waitFor(() => countReceived().includes(1));
    await kernel.sleep(60);
    calls.push(otherEntry.call(ROUTES.draft, prompt));
    await harness.waitFor(
      () => countReceived().every((count) => count > 0),
      400,
    );
    t.deepEqual(countReceived(), [1, 1]);
    await otherEntry.router.close();
    await harness.router.close();
    await Promise.allSettled(calls);
  }));
