/** What the platform's store tells a router, in good and bad times; and the router's own end. */
import * as ava from "ava";
import * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, ACCOUNT } = harnesses;
const { withHarness } = harnesses;
// One at a time: the checks of delays must not measure each other.
const test = ava.default.serial;

function readReadiness(harness: harnesses.PlatformHarness): Promise<number> {
  return fetch(`http://127.0.0.1:${harness.ports.readiness}/-/readyz`)
    .then((response) => response.status);
}

test("a key taken away is refused soon, and an older configuration changes nothing", (t) =>
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
      harness.listLog("config.taken").some((line) =>
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
  test(`requests with a key are refused in time while the store is ${mode}`, (t) =>
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
      t.is(await readReadiness(harness), 503);
      const before = desk.received.length;
      harness.store.mode = "up";
      await harness.waitFor(() => harness.router.isReady);
      t.is((await harness.call(ROUTES.check)).status, 200);
      t.is(desk.received.length, before + 1);
      t.is(harness.listLog("control.lost").length, 1);
      t.is(harness.listLog("control.regained").length, 1);
    }));
}

test("a dropped history is made up for by a full read", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    harness.store.put(
      "op/config",
      harnesses.buildConfiguration({ version: 3 }),
    );
    harness.store.remove("servers/i-1");
    const other = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
    );
    harness.store.compact();
    await harness.waitFor(() =>
      harness.listLog("control.history-lost").length > 0
    );
    await harness.waitFor(() => harness.listLog("replica.gone").length > 0);
    t.is((await harness.call(ROUTES.check)).body, `run by ${other.id}`);
  }));

test("draining, vanished and unreadable replicas get nothing more", (t) =>
  withHarness(async (harness) => {
    const left = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    const gone = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
    );
    const spoilt = await harness.addReplica(
      "i-3",
      "desk",
      () => ({ type: "ok" }),
    );
    const stays = await harness.addReplica(
      "i-4",
      "desk",
      () => ({ type: "ok" }),
    );
    await harness.start();
    harness.store.put(
      "servers/i-1",
      left.buildEntry("desk", { state: "draining" }),
    );
    harness.store.remove("servers/i-2");
    harness.store.putBytes("servers/i-3", Buffer.from([0xff, 0x00, 0x7b]));
    harness.store.put("servers/other", { slots: "many" });
    await harness.waitFor(() =>
      harness.listLog("replica.unreadable").length >= 2 &&
      harness.listLog("replica.gone").length >= 2
    );
    const before = [left, gone, spoilt].map((replica) =>
      replica.received.length
    );
    for (let call = 0; call < 12; call += 1) {
      t.is((await harness.call(ROUTES.check)).status, 200);
    }
    t.deepEqual(
      [left, gone, spoilt].map((replica) => replica.received.length),
      before,
    );
    t.true(stays.received.length >= 12);
  }));

test("an unreadable configuration leaves the last one in force", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start();
    harness.store.put("op/config", { version: 9, routes: "none" });
    await harness.waitFor(() =>
      harness.listLog("control.unreadable").length > 0
    );
    t.is((await harness.call(ROUTES.check)).status, 200);
  }));

test("entries that lapsed in an outage keep their replicas until they had time to return", (t) =>
  withHarness(async (harness) => {
    const desk = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    await harness.start();
    harness.store.mode = "silent";
    await harness.waitFor(() => harness.listLog("control.lost").length > 0);
    await new Promise((resolve) => setTimeout(resolve, 800));
    harness.store.remove("servers/i-1");
    harness.store.mode = "up";
    await harness.waitFor(() => harness.listLog("control.regained").length > 0);
    t.is((await harness.call(ROUTES.check)).status, 200);
    t.is(harness.listLog("replica.gone").length, 0);
    await harness.waitFor(() => harness.listLog("replica.gone").length === 1);
    t.is((await harness.call(ROUTES.check)).status, 503);
    harness.store.put("servers/i-1", desk.buildEntry("desk"));
    await harness.waitFor(() => harness.router.isReady);
    t.is((await harness.call(ROUTES.check)).status, 200);
  }));

test("SIGTERM: what runs finishes, what comes late is refused, callers are sent elsewhere", (t) =>
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
    t.is(await readReadiness(harness), 503);
    const during = await harness.call(ROUTES.check, { agent });
    t.is(during.status, 200);
    t.is(during.headers.connection, "close");
    t.is((await running).status, 200);
    await stopped;
    agent.destroy();
    await t.throwsAsync(harness.call(ROUTES.check));
  }));

test("a request that comes nearly 3 s after SIGTERM is refused, not begun and cut at the end", (t) =>
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
    // A process with nothing left to do has ended; one with a stream says no.
    const late = await harness.call(ROUTES.check).then(
      ({ status }) => status,
      () => 503,
    );
    t.is(late, 503);
    t.is(desk.received.length, 1);
    await stopped;
  }));

test("a request that comes before the first view waits for it, not for a store that fails", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    harness.store.put("op/config", harnesses.buildConfiguration());
    harness.store.delayMs = 100;
    await harness.startRouter();
    t.is((await harness.call(ROUTES.check)).status, 200);
    const other = new harnesses.PlatformHarness(harness.store, "edge-2");
    harness.store.mode = "busy";
    await other.startRouter();
    await other.waitFor(() => other.listLog("control.lost").length > 0);
    const startedAtMs = performance.now();
    t.is((await other.call(ROUTES.check)).status, 503);
    t.true(performance.now() - startedAtMs < 200);
    await other.router.close();
  }));

test("entries announce themselves, and again when the announcement lapses", (t) =>
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

test("a long prompt goes where no other entry has one to read", (t) =>
  withHarness(async (harness) => {
    const hang = () => ({ type: "hang" as const });
    const first = await harness.addReplica("i-1", "llm", hang);
    const second = await harness.addReplica("i-2", "llm", hang);
    await harness.start();
    const other = new harnesses.PlatformHarness(harness.store, "edge-2");
    await other.startRouter();
    for (const entry of [harness, other]) {
      await entry.waitFor(() => entry.listLog("peer.known").length >= 2);
    }
    // The same subject: alone, both entries would send it to its home.
    const prompt = {
      ...harnesses.DRAFT,
      headers: {
        ...harnesses.DRAFT.headers,
        "x-jackdawbank-token-usage": "40000,80",
      },
    };
    const countSeen = () => [first.received.length, second.received.length];
    const calls = [harness.call(ROUTES.draft, prompt)];
    await harness.waitFor(() => countSeen().includes(1));
    await kernel.sleep(60);
    calls.push(other.call(ROUTES.draft, prompt));
    await harness.waitFor(() => countSeen().every((count) => count > 0), 400);
    t.deepEqual(countSeen(), [1, 1]);
    await other.router.close();
    await harness.router.close();
    await Promise.allSettled(calls);
  }));
