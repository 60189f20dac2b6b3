/** What a process does with a list of replicas that is older than the changes it must obey. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const test = ava.default;
const { ROUTES, withHarness } = harnesses;
const CALLS = 10;

// Guards against DRAIN and CONFIG: the pages of the first read may be seconds old.
test("a start on stale pages sends nothing before the changes since are known, and then by these", (t) =>
  withHarness(async (harness) => {
    const { store } = harness;
    const left = await harness.addReplica("i-1", "desk", () => ({
      type: "ok",
    }));
    store.putConfiguration(harnesses.buildConfiguration({ tenants: [] }));
    store.freezeStaleReads();
    store.remove("servers/i-1");
    const present = await harness.addReplica("i-2", "desk", () => ({
      type: "ok",
    }));
    store.putConfiguration(harnesses.buildConfiguration({ version: 2 }));
    store.refusesWatches = true;
    await harness.startRouter();
    await harness.waitFor(() =>
      harness.findLogLines("control.lost").length > 0
    );
    await kernel.sleep(300);
    t.false(harness.router.isReady);
    const early = await harness.call(ROUTES.check);
    t.is(early.status, 503);
    t.is(harness.findLogLines("replica.known").length, 0);
    store.refusesWatches = false;
    await harness.waitFor(() => harness.router.isReady);
    for (let call = 0; call < CALLS; call += 1) {
      t.is((await harness.call(ROUTES.check)).status, 200);
    }
    t.is(left.received.length, 0);
    t.is(present.received.length, CALLS);
  }));
