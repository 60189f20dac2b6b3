/** Tests that a part of prompts which crashes replicas is kept away from them, by all entries. */
import * as ava from "ava";
import type * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const test = ava.default.serial;
const { ROUTES, withHarness } = harnesses;

const PARTS_HEADER = "x-jackdawbank-prefix-hash";
/** Sends that all entries together may make after the fifth crash. */
const MAX_LATER_SENDS = 3;
const SHORTEST_LEASE_MS = 1_000;
/** Time after which a replica that has crashed can crash again. */
const RESTART_MS = 1_600;

function buildPrompt(sharedParts: string, own: number) {
  const parts = `${sharedParts},${(0xc000 + own).toString(16)}:100`;
  return {
    ...harnesses.DRAFT,
    body: `prompt ${own}`,
    headers: { ...harnesses.DRAFT.headers, [PARTS_HEADER]: parts },
  };
}

/** Breaks off at the first event if the prompt has the part, as a replica that crashes does. */
function answer(request: fakes.ReceivedRequest): fakes.ReplicaBehaviour {
  const isDeadly = String(request.headers[PARTS_HEADER]).includes("dead:");
  return {
    type: "stream",
    events: 2,
    confidence: 90,
    ...(isDeadly ? { disconnectAfterEvents: 0 } : {}),
  };
}

// Guards against BUDGET: each request with a part that crashes replicas, and each repeat of
// it, went on to up to three replicas, at every entry and after every restart.
test("after few crashes no entry sends the part to a replica, also one that starts later", (t) =>
  withHarness(async (harness) => {
    const replicas: fakes.FakeReplica[] = [];
    for (let at = 1; at <= 8; at += 1) {
      replicas.push(await harness.addReplica(`i-${at}`, "llm", answer));
    }
    await harness.start();
    const otherEntry = new harnesses.PlatformHarness(harness.store, "edge-2");
    t.teardown(() => otherEntry.router.close());
    await otherEntry.startRouter();
    for (const entry of [harness, otherEntry]) {
      await entry.waitFor(() => entry.findLogLines("peer.known").length >= 2);
    }
    const countDeadly = () =>
      replicas.flatMap(({ received }) => received).filter(({ headers }) =>
        String(headers[PARTS_HEADER]).includes("dead:")
      ).length;
    for (let own = 0; own < 6; own += 1) {
      const sound = buildPrompt("a1:100,b2:300", own);
      t.is((await harness.call(ROUTES.draft, sound)).status, 200);
    }
    const deadly = "a1:100,dead:300";
    for (let own = 0; own < 3; own += 1) {
      const entry = own % 2 === 0 ? harness : otherEntry;
      await entry.call(ROUTES.draft, buildPrompt(deadly, own));
      await kernel.sleep(RESTART_MS);
    }
    for (const entry of [harness, otherEntry]) {
      await entry.waitFor(() =>
        entry.findLogLines("prompt.quarantined").length > 0
      );
    }
    const crashes = countDeadly();
    t.true(crashes <= 5 + MAX_LATER_SENDS, `${crashes} crashes`);
    await harness.waitFor(() =>
      harness.store.list("jackdawbank/quarantine/").length === 1
    );
    const lateEntry = new harnesses.PlatformHarness(harness.store, "edge-3");
    t.teardown(() => lateEntry.router.close());
    await lateEntry.startRouter();
    await lateEntry.waitFor(() => lateEntry.router.isReady);
    for (const [at, entry] of [harness, otherEntry, lateEntry].entries()) {
      const own = 100 + at;
      const refused = await entry.call(
        ROUTES.draft,
        buildPrompt(deadly, own),
      );
      t.is(refused.status, 503);
      t.truthy(refused.headers["retry-after"]);
      t.true(refused.body.includes("prompt-quarantined"));
      const sound = buildPrompt("a1:100,b2:300", own);
      t.is((await entry.call(ROUTES.draft, sound)).status, 200);
    }
    t.is(countDeadly(), crashes);
  }));

// Guards against BUDGET: the lease of a verdict was asked for with a fraction of a millisecond, which
// the store takes for the shortest one, and its end lifted the quarantine everywhere.
test("a verdict that is stored is in force for longer than the shortest lease", (t) =>
  withHarness(async (harness) => {
    for (const id of ["i-1", "i-2", "i-3", "i-4", "i-5"]) {
      await harness.addReplica(id, "llm", answer);
    }
    await harness.start();
    const isStored = () =>
      harness.store.list("jackdawbank/quarantine/").length === 1;
    for (let own = 0; !isStored() && own < 4; own += 1) {
      await harness.call(ROUTES.draft, buildPrompt("a1:100,dead:300", own));
      await kernel.sleep(RESTART_MS);
    }
    await harness.waitFor(isStored);
    await kernel.sleep(SHORTEST_LEASE_MS + 500);
    t.true(isStored());
    t.deepEqual(harness.findLogLines("prompt.released"), []);
  }));
