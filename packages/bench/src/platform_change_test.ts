/** Tests that changes of the control plane are in force within their bound. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as platform from "@jackdawbank/platform";
import type * as router from "@jackdawbank/router";
import * as harnesses from "./platform_harness.ts";

// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;
const { ROUTES, withHarness } = harnesses;

/** Bound for changes, as on the installations that have the shortest one. */
const CHANGE_BOUND_MS = 2_000;

/** Passes calls on, and on demand loses the answer of the watch that is waiting. */
class LossyWatches {
  isLosing = false;
  hasLost = false;

  wrap(plane: router.ControlPlane): router.ControlPlane {
    return new Proxy(plane, {
      get: (target, property) => {
        if (property === "waitForChanges") {
          return async (
            ...call: Parameters<router.ControlPlane["waitForChanges"]>
          ) => {
            const result = await target.waitForChanges(...call);
            const signal = call[2];
            if (!this.isLosing || result.isErr()) return result;
            this.isLosing = false;
            this.hasLost = true;
            await kernel.sleep(60_000, signal);
            return result;
          };
        }
        const value: unknown = Reflect.get(target, property);
        return typeof value === "function" ? value.bind(target) : value;
      },
    });
  }
}

// Guards against CONFIG and DRAIN: a machine whose watch got no answer kept the old routes
// and used leaving replicas for longer than the bound, though its peers knew better.
test("a machine whose watch was lost takes a configuration and a leaving mark within the bound", (t) =>
  withHarness(async (harness) => {
    const leaving = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    const staying = await harness.addReplica(
      "i-2",
      "desk",
      () => ({ type: "ok" }),
    );
    const settings = { changeBoundMs: CHANGE_BOUND_MS };
    const watches = new LossyWatches();
    await harness.start(settings, (plane) => watches.wrap(plane));
    const otherEntry = new harnesses.PlatformHarness(harness.store, "edge-2");
    t.teardown(() => otherEntry.router.close());
    await otherEntry.startRouter(settings);
    for (const entry of [harness, otherEntry]) {
      await entry.waitFor(() => entry.findLogLines("peer.known").length >= 2);
    }
    await kernel.sleep(1_500);
    watches.isLosing = true;
    harness.store.putConfiguration(
      harnesses.buildConfiguration({ version: 41, tenants: [] }),
    );
    harness.store.put(
      "servers/i-1",
      leaving.buildEntry("desk", { state: "draining" }),
    );
    const changedAtMs = performance.now();
    await harness.waitFor(() => watches.hasLost);
    await harness.waitFor(() =>
      harness.findLogLines("config.taken").some(({ tableRevision }) =>
        tableRevision === 41
      )
    );
    await harness.waitFor(() =>
      harness.findLogLines("replica.known").some(({ replica, isDraining }) =>
        replica === "i-1" && isDraining === true
      )
    );
    const tookMs = performance.now() - changedAtMs;
    t.true(tookMs < CHANGE_BOUND_MS, `${Math.round(tookMs)} ms`);
    t.is(harness.findLogLines("control.watch-interrupted").length, 1);
    t.is((await harness.call(ROUTES.check)).status, 200);
    t.is(staying.received.length, 1);
  }));

// Guards against LOST: each of many large versions in one answer was decoded, and the heap ran full.
test("of the versions of the configuration in one answer only the newest readable one is decoded", (t) =>
  withHarness(async ({ store }) => {
    const plane = new platform.PlatformStore({
      host: "127.0.0.1",
      port: store.port,
    });
    t.teardown(() => plane.close());
    const { revision } = (await plane.readAll())._unsafeUnwrap();
    const versions = [2, 3, 4].map((version) =>
      harnesses.buildConfiguration({ version })
    );
    for (const configuration of versions) {
      store.putConfiguration(configuration);
      store.put("op/evacuate/a", {});
    }
    store.putConfiguration({ version: 5, routes: "none" });
    const { signal } = new AbortController();
    const update = (await plane.waitForChanges(revision, 100, signal))
      ._unsafeUnwrap();
    t.deepEqual(update.items.map(({ type }) => type), [
      "evacuation",
      "evacuation",
      "route-table",
      "evacuation",
      "unreadable",
    ]);
    const tables = update.items.flatMap((item) =>
      item.type === "route-table" ? [item.table.revision] : []
    );
    t.deepEqual(tables, [4]);
  }));

// Guards against CONFIG: changes that were too long for one answer were asked for again and again,
// until the store had forgotten them; meanwhile no change was in force.
test("changes that are too long for one answer are in force within the bound", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.start({ changeBoundMs: CHANGE_BOUND_MS });
    const { store } = harness;
    const putVersion = (version: number, filler = "") =>
      store.putConfiguration(
        harnesses.buildConfiguration({ version, filler }),
      );
    const waitForVersion = (version: number) =>
      harness.waitFor(() =>
        harness.findLogLines("config.taken").some(({ tableRevision }) =>
          tableRevision === version
        )
      );
    for (let version = 2; version <= 20; version += 1) {
      putVersion(version, "x".repeat(900_000));
    }
    const changedAtMs = performance.now();
    await waitForVersion(20);
    const tookMs = performance.now() - changedAtMs;
    t.true(tookMs < CHANGE_BOUND_MS, `${Math.round(tookMs)} ms`);
    t.is((await harness.call(ROUTES.check)).status, 200);
    // Later changes come by a watch again.
    const reads = store.callCounts.get("/-/kv-range");
    putVersion(21);
    await waitForVersion(21);
    t.is(store.callCounts.get("/-/kv-range"), reads);
  }));

// Guards against DRAIN: a machine that had been cut off alone used a replica that had left in
// the meantime for 2 s more, as if the store's outage had ended the replica's lease.
test("a machine that was cut off alone sends nothing to a replica that left in the meantime", (t) =>
  withHarness(async (harness) => {
    const leaving = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    for (const id of ["i-2", "i-3"]) {
      await harness.addReplica(id, "desk", () => ({ type: "ok" }));
    }
    await harness.start();
    harness.store.mode = "silent";
    await harness.waitFor(() =>
      harness.findLogLines("control.lost").length > 0
    );
    await kernel.sleep(800);
    harness.store.remove("servers/i-1");
    harness.store.mode = "up";
    await harness.waitFor(() =>
      harness.findLogLines("control.regained").length > 0
    );
    await harness.waitFor(() =>
      harness.findLogLines("replica.doubtful").length > 0
    );
    const before = leaving.received.length;
    for (let call = 0; call < 12; call += 1) {
      t.is((await harness.call(ROUTES.check)).status, 200);
    }
    t.is(leaving.received.length, before);
    t.is(harness.findLogLines("replica.gone").length, 0);
  }));

// Guards against CONFIG and DRAIN: a large configuration takes long over a slow link; its answer
// was given up while it arrived, by the limit of the call and by peers that knew it, and sent again.
test("a configuration that takes long to arrive is taken, and a leaving mark after it, within the bound", (t) =>
  withHarness(async (harness) => {
    const leaving = await harness.addReplica(
      "i-1",
      "desk",
      () => ({ type: "ok" }),
    );
    const settings = { changeBoundMs: 3_000 };
    await harness.start(settings);
    const otherEntry = new harnesses.PlatformHarness(harness.store, "edge-2");
    t.teardown(() => otherEntry.router.close());
    await otherEntry.startRouter(settings);
    await kernel.sleep(1_200);
    harness.store.watchTransferMs = 1_300;
    const changedAtMs = performance.now();
    harness.store.putConfiguration(
      harnesses.buildConfiguration({ version: 41 }),
    );
    harness.store.put(
      "servers/i-1",
      leaving.buildEntry("desk", { state: "draining" }),
    );
    await harness.waitFor(
      () =>
        harness.findLogLines("config.taken").some(({ tableRevision }) =>
          tableRevision === 41
        ) &&
        harness.findLogLines("replica.known").some(({ replica, isDraining }) =>
          replica === "i-1" && isDraining === true
        ),
      8_000,
    );
    const tookMs = performance.now() - changedAtMs;
    t.true(tookMs < 3_000, `${Math.round(tookMs)} ms`);
    t.deepEqual(harness.findLogLines("control.lost"), []);
  }));
