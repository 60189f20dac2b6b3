/** Tests the store's client and a router on a store that is restored from an older copy. */
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as platform from "@jackdawbank/platform";
import type * as router from "@jackdawbank/router";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, withHarness } = harnesses;
const test = ava.default.serial;
const STATUS_KEY = "status/rollout/desk";
/** By then a process has read all items after it has lost the history. */
const FULL_READ_MS = 500;
/** Longer than lost entries are kept without being written again. */
const KEPT_MS = 3_500;
const RECORD_KEY = "jackdawbank/rollout/desk";
const WAIT_MS = 20;

const RECORD: router.RolloutRecord = {
  service: "desk",
  revision: 0,
  orderRevision: 5,
  targetVersion: "v2",
  state: "in-progress",
  startedAtMs: 0,
  durationMs: 20_000,
  reason: "ordered",
  bannedVersions: [],
};

async function openStore(t: ava.ExecutionContext) {
  const fake = new fakes.FakePlatformStore();
  fake.era = 1;
  const port = await fake.listen();
  const store = new platform.PlatformStore({ host: "127.0.0.1", port });
  t.teardown(async () => {
    await store.close();
    await fake.close();
  });
  return { fake, store };
}

/** The store's answer; the first call after its return may meet a closed connection. */
async function watchUntilAnswered(
  store: platform.PlatformStore,
  afterRevision: number,
) {
  const watch = () =>
    store.waitForChanges(
      afterRevision,
      WAIT_MS,
      new AbortController().signal,
    );
  const first = await watch();
  return first.isErr() && first.error.kind === "store-unavailable"
    ? await watch()
    : first;
}

// Guards against a restored store that gives out a revision again: a write on condition of that
// revision replaced a record that its writer had never read.
test("a write on condition of an earlier era's revision changes nothing", async (t) => {
  const { fake, store } = await openStore(t);
  fake.copy();
  const written = (await store.writeRollout(RECORD))._unsafeUnwrap();
  const revision = written.type === "written" ? written.revision : 0;
  fake.restore();
  fake.put(RECORD_KEY, { ...RECORD, state: "rolled-back" });
  t.is((await store.readAll())._unsafeUnwrap().items.length, 1);
  const late = await store.writeRollout({
    ...RECORD,
    revision,
    state: "completed",
  });
  t.deepEqual(late._unsafeUnwrap(), { type: "changed" });
  t.like(fake.read(RECORD_KEY) as object, { state: "rolled-back" });
});

// Guards against a completed status over a roll-back: a write that was the first call after the
// store's return met its condition, since the revision had been given out again.
test("the first write after the store's return does not replace a record that its writer has not read", async (t) => {
  const { fake, store } = await openStore(t);
  fake.copy();
  const written = (await store.writeRollout(RECORD))._unsafeUnwrap();
  fake.restore();
  fake.put(RECORD_KEY, { ...RECORD, state: "rolled-back" });
  const late = await store.writeRollout({
    ...RECORD,
    ...written,
    state: "completed",
  } as router.RolloutRecord);
  t.deepEqual(late._unsafeUnwrap(), { type: "changed" });
  t.like(fake.read(RECORD_KEY) as object, { state: "rolled-back" });
  const { items } = (await store.readAll())._unsafeUnwrap();
  const record = items.find((item) => item.type === "rollout-record")?.record;
  const next = { ...record, state: "completed" } as router.RolloutRecord;
  t.is((await store.writeRollout(next))._unsafeUnwrap().type, "written");
});

// Guards against EXPOSURE while a build is replaced: a build without eras compares a record's order
// with the revisions of orders, and took each record for one of a newer order.
test("a record names its order by the revision that builds without eras read, and by its era", async (t) => {
  const { fake, store } = await openStore(t);
  const orderRevision = kernel.makePosition(1, 5);
  await store.writeRollout({ ...RECORD, orderRevision });
  t.like(fake.read(RECORD_KEY) as object, { orderRevision: 5, orderEra: 1 });
  const findRecord = async () =>
    (await store.readAll())._unsafeUnwrap().items
      .find((item) => item.type === "rollout-record")?.record;
  t.like(await findRecord(), { orderRevision });
  fake.put(RECORD_KEY, { ...RECORD, orderRevision: 7 });
  t.is((await findRecord())?.orderRevision, kernel.makePosition(1, 7));
});

// Guards against CONFIG: the restored store's counter had passed the process's revision when it
// watched again, so that it got no 410 and missed all changes below that revision.
test("a watch from a revision that the restored store has passed reports that the history is lost", async (t) => {
  const { fake, store } = await openStore(t);
  fake.copy();
  fake.put("op/config", {});
  const { revision } = (await store.readAll())._unsafeUnwrap();
  fake.restore();
  for (let change = 0; change < 5; change += 1) fake.put("op/other", change);
  const watched = await watchUntilAnswered(store, revision);
  t.is(watched._unsafeUnwrapErr().kind, "history-lost");
  const { revision: next } = (await store.readAll())._unsafeUnwrap();
  t.true(next > revision);
  t.true((await watchUntilAnswered(store, next)).isOk());
});

// Guards against processes that renew or end another process's lease: the restored store grants
// the numbers of lost leases again.
test("a lease of an earlier era is neither renewed nor ended", async (t) => {
  const { fake, store } = await openStore(t);
  const announce = (name: string) =>
    store.announcePeer({ name, host: "10.0.0.1", port: 1 });
  fake.copy();
  const old = (await announce("edge-1"))._unsafeUnwrap();
  fake.restore();
  await announce("edge-2");
  t.deepEqual(fake.list("jackdawbank/peers/"), ["jackdawbank/peers/edge-2"]);
  t.false((await store.renewPeer(old.id))._unsafeUnwrap());
  await store.withdrawPeer(old.id);
  t.deepEqual(fake.list("jackdawbank/peers/"), ["jackdawbank/peers/edge-2"]);
});

const announceEdge = (store: platform.PlatformStore, name: string) =>
  store.announcePeer({ name, host: "10.0.0.1", port: 1 });

for (const action of ["renewPeer", "withdrawPeer"] as const) {
  // Guards against processes that are unknown to their peers, and replicas that lose their entries:
  // a stop at the moment of the store's return ended a lease of another owner, and a renewal
  // prolonged one.
  test(`the first call after the store's return, ${action}, leaves another owner's lease alone`, async (t) => {
    const { fake, store } = await openStore(t);
    const other = new platform.PlatformStore({
      host: "127.0.0.1",
      port: fake.port,
    });
    t.teardown(() => other.close());
    fake.copy();
    const old = (await announceEdge(store, "edge-1"))._unsafeUnwrap();
    fake.restore();
    await announceEdge(other, "edge-2");
    await store[action](old.id);
    t.deepEqual(fake.list("jackdawbank/peers/"), ["jackdawbank/peers/edge-2"]);
    const paths = [...fake.callCounts.keys()];
    t.deepEqual(paths.filter((path) => /kv-(keep|lease-end)/.test(path)), []);
  });
}

// Guards against peers that report to a process that is gone: the copy had its announcement, which it
// left there when it stopped, since the lease was of the former era.
test("an announcement that the copy has kept is withdrawn", async (t) => {
  const { fake, store } = await openStore(t);
  const { id } = (await announceEdge(store, "edge-1"))._unsafeUnwrap();
  fake.copy();
  fake.restore();
  await store.readAll();
  await store.withdrawPeer(id);
  t.deepEqual(fake.list("jackdawbank/peers/"), []);
});

// Guards against parts of prompts that stay under quarantine, or leave it early: the store returned
// between the grant of the lease and the write, and the item hung on a lease of another owner.
test("an item that was written under a lease of the former era is put under a new one", async (t) => {
  const { fake, store } = await openStore(t);
  fake.copy();
  let foreignLease = 0;
  fake.beforeTransaction = () => {
    if (foreignLease > 0) return;
    fake.restore(false);
    foreignLease = fake.grantLease();
  };
  await store.writeQuarantine("part-1", 60_000);
  t.is(fake.list("jackdawbank/quarantine/").length, 1);
  fake.endLease(foreignLease);
  t.is(fake.list("jackdawbank/quarantine/").length, 1);
});

async function countCalls(
  harness: harnesses.PlatformHarness,
  id: string,
  calls: number,
): Promise<number> {
  const replica = harness.replicas.get(id);
  const before = replica?.received.length ?? 0;
  for (let call = 0; call < calls; call += 1) {
    await harness.call(ROUTES.check);
  }
  return (replica?.received.length ?? 0) - before;
}

for (const copied of ["nothing of it", "its order", "its first record"]) {
  // Guards against EXPOSURE: after the store's return all processes began the trial of a version
  // anew that had been rolled back, and completed it without one answer of it.
  test(`a roll-back is written again and stays in force if the copy holds ${copied}`, (t) =>
    withHarness(async (harness) => {
      const { store } = harness;
      const copyAt = (point: string) => point === copied && store.copy();
      const order = { service: "desk", target: "v2", durationS: 20 };
      const options = { version: "v2" };
      await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
      await harness.addReplica("i-2", "desk", () => ({ type: "ok" }), options);
      store.era = 1;
      store.putConfiguration(harnesses.buildConfiguration());
      copyAt("nothing of it");
      await harness.start();
      const orderRevision = store.put("op/rollout/desk", order);
      copyAt("its order");
      await harness.waitFor(() => store.read(RECORD_KEY) !== undefined);
      copyAt("its first record");
      store.put(RECORD_KEY, {
        ...RECORD,
        orderRevision,
        orderEra: 1,
        state: "rolled-back",
        bannedVersions: ["v2"],
      });
      await harness.waitFor(() =>
        harness.findLogLines("rollout.known").length === 2
      );
      store.restore();
      const isWrittenAgain = () => {
        const record = store.read(RECORD_KEY) as { state?: string } | undefined;
        return record?.state === "rolled-back";
      };
      await harness.waitFor(isWrittenAgain);
      store.put("op/other", 1);
      if (copied === "nothing of it") store.put("op/rollout/desk", order);
      await kernel.sleep(1_000);
      t.true(isWrittenAgain());
      t.like(store.read(STATUS_KEY) as object, { state: "rolled_back" });
      t.is(await countCalls(harness, "i-2", 20), 0);
    }));
}

// Guards against DRAIN and requests without a replica: the copy held replicas that had left, as
// ready ones, and lacked one that had registered since.
test("a restored store neither brings replicas back that had left nor takes away new ones", (t) =>
  withHarness(async (harness) => {
    const { store } = harness;
    store.era = 1;
    const leaving = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    await harness.addReplica("i-2", "desk", () => ({ type: "ok" }));
    await harness.start();
    store.copy();
    await harness.addReplica("i-3", "desk", () => ({ type: "ok" }));
    store.put("servers/i-1", leaving.buildEntry("desk", { state: "draining" }));
    store.remove("servers/i-2");
    await harness.waitFor(() =>
      harness.findLogLinesOfAny(["replica.gone", "replica.known"]).length === 5
    );
    store.restore();
    await harness.waitFor(() =>
      harness.findLogLines("control.history-lost").length === 1
    );
    await kernel.sleep(FULL_READ_MS);
    t.is(await countCalls(harness, "i-3", 10), 10);
  }));

// Guards against processes that are unknown to their peers, prompts that crash replicas again, and
// EVAC: the copy lacked announcements, verdicts and orders that had been in force.
test("announcements, quarantined parts and evacuations outlive a restored store", (t) =>
  withHarness(async (harness) => {
    const { store } = harness;
    store.era = 1;
    const kept = ["jackdawbank/peers/edge-1", "jackdawbank/quarantine/part-1"];
    const hasKept = () => kept.every((key) => store.list(key).length === 1);
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    store.putConfiguration(harnesses.buildConfiguration());
    store.copy();
    await harness.start();
    for (const key of [kept[1] as string, "op/evacuate/b"]) store.put(key, {});
    await harness.waitFor(() =>
      hasKept() && harness.findLogLines("evacuation.begun").length === 1
    );
    store.restore();
    t.false(hasKept());
    await harness.waitFor(() =>
      harness.findLogLines("evacuation.kept").length === 1
    );
    store.put("op/evacuate/b", {});
    await harness.waitFor(hasKept, 2 * KEPT_MS);
    await kernel.sleep(KEPT_MS);
    t.is(harness.findLogLines("evacuation.ended").length, 0);
  }));
