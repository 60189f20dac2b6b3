/** Tests of evacuated data centres and of home regions, with one entry and fake replicas. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;
const { ROUTES, DRAFT, buildConfiguration, withHarness } = harnesses;

const REGIONS = {
  regionByDataCentre: new Map([["a", "north"], ["b", "north"], ["c", "south"]]),
};
/** Longest time after which a change of the store must be in force here. */
const APPLY_MS = 2_000;

/** Starts one replica of a service in each data centre; returns the counts of their requests. */
async function addReplicas(
  harness: harnesses.PlatformHarness,
  service: string,
): Promise<() => Readonly<Record<string, number>>> {
  const zones = ["a", "b", "c"];
  for (const zone of zones) {
    await harness.addReplica(
      `${service}-${zone}`,
      service,
      () =>
        service === "llm"
          ? { type: "stream", events: 3, confidence: 95 }
          : { type: "ok" },
      { zone },
    );
  }
  return () =>
    Object.fromEntries(zones.map((zone) => [
      zone,
      harness.replicas.get(`${service}-${zone}`)?.received.length ?? 0,
    ]));
}

function findTexts(
  harness: harnesses.PlatformHarness,
  event: string,
  field: string,
): readonly unknown[] {
  return harness.findLogLines(event).map((line) => line[field]);
}

async function callMany(
  harness: harnesses.PlatformHarness,
  path: string,
  calls = 12,
) {
  const answers = [];
  for (let call = 0; call < calls; call += 1) {
    answers.push(await harness.call(path));
  }
  return answers;
}

// Guards against EVAC: an order in the first view, one that overlaps it, and one for the last data centre.
test("evacuated data centres get nothing, and what is left nowhere is refused as not run", (t) =>
  withHarness(async (harness) => {
    const count = await addReplicas(harness, "desk");
    harness.store.put("op/evacuate/a", {});
    harness.store.put("op/evacuate/", {});
    harness.store.put("op/evacuate/nowhere", "not an object");
    await harness.start(REGIONS);
    t.is(findTexts(harness, "evacuation.ignored", "reason").length, 1);
    t.like(harness.findLogLines("evacuation.begun").at(-1), {
      dataCentre: "nowhere",
      isKnown: false,
    });
    const first = await callMany(harness, ROUTES.check);
    t.true(first.every(({ status }) => status === 200));
    t.is(count()["a"], 0);
    for (const zone of ["b", "c"]) {
      harness.store.put(`op/evacuate/${zone}`, {});
    }
    await harness.waitFor(
      () => findTexts(harness, "evacuation.begun", "dataCentre").includes("c"),
      APPLY_MS,
    );
    const before = count();
    for (const path of [ROUTES.check, ROUTES.order]) {
      const startedAtMs = performance.now();
      const refused = await harness.call(path);
      t.is(refused.status, 503);
      t.true(performance.now() - startedAtMs < 200);
      t.truthy(refused.headers["retry-after"]);
      t.like(JSON.parse(refused.body), { error: { not_run: true } });
    }
    t.deepEqual(count(), before);
    harness.store.remove("op/evacuate/b");
    await harness.waitFor(
      () => findTexts(harness, "evacuation.ended", "dataCentre").includes("b"),
      APPLY_MS,
    );
    const last = await callMany(harness, ROUTES.order, 4);
    t.true(last.every(({ status }) => status === 200));
    t.is(count()["b"], (before["b"] ?? 0) + 4);
  }));

// Guards against EVAC: an outage of the store, and then the loss of its history, ended an order.
test("an evacuation outlasts an outage of the store and ends with a full read without it", (t) =>
  withHarness(async (harness) => {
    const count = await addReplicas(harness, "llm");
    await harness.start(REGIONS);
    harness.store.put("op/evacuate/a", {});
    await harness.waitFor(
      () => harness.findLogLines("evacuation.begun").length > 0,
      APPLY_MS,
    );
    const before = count()["a"];
    harness.store.mode = "silent";
    await harness.waitFor(() =>
      harness.findLogLines("control.lost").length > 0
    );
    for (let call = 0; call < 8; call += 1) {
      t.is((await harness.call(ROUTES.draft, DRAFT)).status, 200);
    }
    harness.store.compact();
    harness.store.mode = "up";
    await harness.waitFor(() =>
      harness.findLogLines("control.history-lost").length > 0
    );
    await kernel.sleep(300);
    t.is((await harness.call(ROUTES.draft, DRAFT)).status, 200);
    t.is(count()["a"], before);
    t.deepEqual(harness.findLogLines("evacuation.ended"), []);
    harness.store.remove("op/evacuate/a");
    harness.store.compact();
    await harness.waitFor(() =>
      harness.findLogLines("evacuation.ended").length > 0
    );
  }));

// Guards against EVAC: a stream whose replica breaks off, or whose answer is poor, after its data
// centre was evacuated went on there or was ended, though it could go on elsewhere.
test("a stream that runs in an evacuated data centre finishes, or is resumed elsewhere", (t) =>
  withHarness(async (harness) => {
    for (const zone of ["a", "b"]) {
      await harness.addReplica(`llm-${zone}`, "llm", (_, received) => ({
        type: "stream",
        events: 40,
        confidence: 95,
        eventIntervalMs: 60,
        ...(zone === "a" && received === 2
          ? { disconnectAfterEvents: 30 }
          : {}),
      }), { zone });
    }
    harness.store.put("op/evacuate/b", {});
    await harness.start(REGIONS);
    const running = [1, 2].map(() => harness.call(ROUTES.draft, DRAFT));
    const [a, b] = ["llm-a", "llm-b"].map((id) => harness.replicas.get(id));
    await harness.waitFor(() => a?.received.length === 2);
    harness.store.put("op/evacuate/a", {});
    harness.store.remove("op/evacuate/b");
    await harness.waitFor(
      () => findTexts(harness, "evacuation.begun", "dataCentre").includes("a"),
      APPLY_MS,
    );
    const answers = await Promise.all(running);
    t.true(answers.every((answer) => !answer.isTruncated));
    t.is(a?.received.length, 2);
    t.is(b?.received.length, 1);
    t.is(b?.received[0]?.headers["last-event-id"], "30");
  }));

// Guards against HOME: routes and accounts that both name homes, a home that does not exist, and
// homes that change.
test("requests stay in the homes of their route and account, or are refused", (t) =>
  withHarness(async (harness) => {
    const count = await addReplicas(harness, "desk");
    const base = buildConfiguration() as {
      routes: readonly { readonly name: string }[];
      tenants: readonly object[];
    };
    const build = (
      version: number,
      homes: Readonly<Record<string, readonly string[]>>,
      accountHomes: readonly string[],
    ) =>
      buildConfiguration({
        version,
        routes: base.routes.map((route) => ({
          ...route,
          allowedRegions: homes[route.name] ?? [],
        })),
        tenants: base.tenants.map((tenant) => ({
          ...tenant,
          allowedRegions: accountHomes,
        })),
      });
    const homes = { check: ["north", "south"], order: ["north"], open: ["x"] };
    harness.store.putConfiguration(build(1, homes, ["south"]));
    await harness.start(REGIONS);
    const served = await callMany(harness, ROUTES.check, 8);
    t.true(served.every(({ status }) => status === 200));
    t.deepEqual(count(), { a: 0, b: 0, c: 8 });
    for (const path of [ROUTES.order, ROUTES.open]) {
      const refused = await harness.call(path);
      t.is(refused.status, 503, path);
      t.truthy(refused.headers["retry-after"]);
      t.like(JSON.parse(refused.body), { error: { not_run: true } });
    }
    t.like(harness.findLogLines("homes.unknown-region").at(0), {
      route: "open",
      regions: ["x"],
    });
    harness.store.putConfiguration(build(2, { check: ["north"] }, []));
    await harness.waitFor(
      () => findTexts(harness, "config.taken", "tableRevision").includes(2),
      APPLY_MS,
    );
    await callMany(harness, ROUTES.check, 8);
    t.is(count()["c"], 8);
    t.is((await harness.call(ROUTES.open)).status, 200);
  }));
