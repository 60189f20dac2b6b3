/** Tests that a request on which replicas crash is kept away from them, by all entries. */
import * as ava from "ava";
import type * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const test = ava.default.serial;
const { DRAFT, ROUTES, withHarness } = harnesses;

/** Crashes after which no more than three further sends are allowed. */
const CRASHES = 3;
const MAX_LATER_SENDS = 3;
const REPLICAS = 9;
/** Time in which peers hear of a crash. */
const SPREAD_MS = 300;

interface Setting {
  readonly harness: harnesses.PlatformHarness;
  readonly entries: readonly harnesses.PlatformHarness[];
  readonly listDeadly: () => readonly fakes.ReceivedRequest[];
}

function isDeadly({ path, body }: fakes.ReceivedRequest): boolean {
  return path.includes("deadly") || body.includes("deadly");
}

/** Starts two entries before replicas that end as soon as they run a deadly request. */
async function startEntries(
  t: ava.ExecutionContext,
  harness: harnesses.PlatformHarness,
): Promise<Setting> {
  for (let at = 1; at <= REPLICAS; at += 1) {
    for (const service of ["desk", "llm"]) {
      const id = `${service}-${at}`;
      await harness.addReplica(id, service, (request) => {
        if (isDeadly(request)) {
          void harness.replicas.get(id)?.close();
          return { type: "hang" };
        }
        return service === "llm"
          ? { type: "stream", events: 2, confidence: 90 }
          : { type: "ok" };
      });
    }
  }
  await harness.start();
  const other = new harnesses.PlatformHarness(harness.store, "edge-2");
  t.teardown(() => other.router.close());
  await other.startRouter();
  const entries = [harness, other];
  for (const entry of entries) {
    await entry.waitFor(() =>
      entry.router.isReady && entry.findLogLines("peer.known").length >= 2
    );
  }
  return {
    harness,
    entries,
    listDeadly: () =>
      [...harness.replicas.values()].flatMap(({ received }) => received)
        .filter(isDeadly),
  };
}

// Guards against BUDGET: a request that crashes the replicas that run it was sent on to further ones
// at every entry, as often as it came.
for (
  const [what, path, options] of [
    ["an idempotent one", `${ROUTES.check}deadly`, {}],
    ["one without a key", `${ROUTES.open}deadly`, { key: undefined }],
    ["an order", ROUTES.order, { method: "POST", body: "deadly" }],
    ["a stream", ROUTES.draft, { ...DRAFT, body: "deadly" }],
  ] as const
) {
  test(`after three crashes no entry sends the request again: ${what}`, (t) =>
    withHarness(async (harness) => {
      const { entries, listDeadly } = await startEntries(t, harness);
      for (let call = 0; call < 12; call += 1) {
        const entry = entries[call % entries.length] as typeof harness;
        await entry.call(path, options);
        await kernel.sleep(SPREAD_MS);
      }
      t.true(
        listDeadly().length <= CRASHES + MAX_LATER_SENDS,
        `${listDeadly().length} sends`,
      );
      for (const entry of entries) {
        const refused = await entry.call(path, options);
        t.is(refused.status, 503);
        t.true(Number(refused.headers["retry-after"]) > 0);
        t.regex(refused.body, /request-quarantined/);
      }
    }));
}

// Guards against BUDGET: an entry that starts after the crashes would learn of them by its own.
test("an entry that starts later does not send a request on which replicas crash", (t) =>
  withHarness(async (harness) => {
    const { listDeadly } = await startEntries(t, harness);
    for (let call = 0; call < 3; call += 1) {
      await harness.call(`${ROUTES.check}deadly`);
    }
    await harness.waitFor(() =>
      harness.store.list("jackdawbank/quarantine/").length === 1
    );
    const before = listDeadly().length;
    const late = new harnesses.PlatformHarness(harness.store, "edge-3");
    t.teardown(() => late.router.close());
    await late.startRouter();
    await late.waitFor(() => late.router.isReady);
    t.is((await late.call(`${ROUTES.check}deadly`)).status, 503);
    t.is(listDeadly().length, before);
  }));

// Guards against refusals of sound requests: what is under quarantine is one request, not its caller,
// its path or its route.
test("requests that differ from the one on which replicas crash are served", (t) =>
  withHarness(async (harness) => {
    const { entries } = await startEntries(t, harness);
    const deadly = { method: "POST", body: "deadly" };
    for (let call = 0; call < 4; call += 1) {
      await harness.call(ROUTES.check, deadly);
    }
    for (const entry of entries) {
      await entry.waitFor(() =>
        entry.findLogLines("request.quarantined").length > 0
      );
      t.is((await entry.call(ROUTES.check, deadly)).status, 503);
      for (const body of ["", "sound"]) {
        const got = await entry.call(ROUTES.check, { ...deadly, body });
        t.is(got.status, 200);
      }
      t.is((await entry.call(`${ROUTES.check}other`)).status, 200);
    }
  }));

// Guards against refusals of sound requests: replicas that crash for reasons of their own end many
// requests, among them one that is often asked for and was answered before.
test("a request that is answered now and then is not taken for one on which replicas crash", (t) =>
  withHarness(async (harness) => {
    let isCrashing = false;
    for (let at = 1; at <= REPLICAS; at += 1) {
      await harness.addReplica(
        `desk-${at}`,
        "desk",
        () => isCrashing ? { type: "reset" } : { type: "ok" },
      );
    }
    await harness.start();
    for (let round = 0; round < 4; round += 1) {
      isCrashing = false;
      t.is((await harness.call(ROUTES.check)).status, 200);
      isCrashing = true;
      await harness.call(ROUTES.check);
    }
    t.deepEqual(harness.findLogLines("request.quarantined"), []);
  }));
