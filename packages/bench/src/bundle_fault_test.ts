/** The bundle in force: within 4 s everywhere, never back, one winner of a race. */
import * as ava from "ava";
import * as bundle from "@jackdawbank/bundle";
import type * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

/** Target of the brief's letter for a change to be in force everywhere. */
const IN_FORCE_MS = 4_000;
const LARGE = ["verse-large@v1", "verse-large@v2"];
/** As many as one slot of an account that is alone takes. */
const QUEUED_CALLS = 4;
const WITHDRAWAL = { model: "verse-large", version: "v2", successor: "v1" };

function buildLargePlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      { id: "model-b", dataCentre: "bkk-b", engine: { serves: LARGE } },
      { id: "model-c", dataCentre: "bkk-c", engine: { serves: LARGE } },
    ],
  });
}

/** One gate with one slot, and a bundle that puts every session on the rolling version. */
function buildFreezePlan(): deployments.DeploymentPlan {
  const standard = deployments.buildStandardBundle();
  return {
    ...buildLargePlan(),
    bundle: {
      ...standard,
      models: standard.models.map((model) =>
        model.name !== "verse-large" ? model : {
          ...model,
          rollout: [{ sinceRevision: 1, sharesPercent: { v2: 100 } }],
        }
      ),
    },
    entries: [{ id: "entry-a", dataCentre: "bkk-a" }],
    upstreams: [{
      id: "model-b",
      dataCentre: "bkk-b",
      engine: { serves: LARGE, capacity: 1, firstTokenMs: 1_500 },
    }],
  };
}

/** Sends calls; all but the one that runs wait at the gate. */
async function queueCalls(
  t: fixtures.TearDownContext,
  deployment: deployments.Deployment,
): Promise<readonly Promise<callers.CallResult>[]> {
  const caller = fixtures.callFor(t, deployment);
  const calls = Array.from(
    { length: QUEUED_CALLS },
    () => caller.chat({ model: "verse-large" }),
  );
  await waitQueued(deployment, calls.length - 1);
  return calls;
}

/** Waits until all work but the one that runs is queued at the gate. */
async function waitQueued(
  deployment: deployments.Deployment,
  count: number,
): Promise<void> {
  await processes.waitFor("work is queued", async () => {
    const status = await deployment.readStatus("model-b") as {
      readonly gate?: { readonly queued: number };
    };
    return status.gate?.queued === count;
  });
}

/** Sends chats until told to stop; resolves with how many were answered. */
function keepCalling(
  callers: readonly {
    chat: (options: { model: string }) => Promise<{ status: number }>;
  }[],
): { readonly stop: () => Promise<number> } {
  let isStopped = false;
  let answered = 0;
  const loops = callers.map(async (caller) => {
    while (!isStopped) {
      const result = await caller.chat({ model: "verse-large" });
      if (result.status === 200) answered += 1;
    }
  });
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(loops);
      return answered;
    },
  };
}

async function countLate(
  deployment: deployments.Deployment,
  acceptedAtMs: number,
): Promise<number> {
  const runs = await deployment.listEngineRuns();
  return runs.filter((run) =>
    run.model === "verse-large@v2" && run.atMs > acceptedAtMs + IN_FORCE_MS
  ).length;
}

test("a withdrawal is in force everywhere although the store fails right after it", async (t) => {
  const plan = buildLargePlan();
  const deployment = await fixtures.startFor(t, {
    ...plan,
    entries: plan.entries.map((entry) => ({
      ...entry,
      usesSecondStorePort: true,
    })),
  });
  const load = keepCalling([
    fixtures.callFor(t, deployment),
    fixtures.callFor(t, deployment, { entry: "entry-b" }),
  ]);
  // The daemons' port of the store fails first: only the client sees the acceptance.
  await deployment.setSecondStorePortFaults({ mode: "down" });
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, WITHDRAWAL)
  );
  (await deployment.roll(next, { isPushed: true }))._unsafeUnwrap();
  const acceptedAtMs = Date.now();
  await deployment.setStoreFaults({ mode: "down" });
  t.true(await deployment.waitForRevision(2) < IN_FORCE_MS);
  await new Promise((resolve) => setTimeout(resolve, IN_FORCE_MS + 500));
  t.true(await load.stop() > 0);
  t.is(await countLate(deployment, acceptedAtMs), 0);
});

test("processes cut off from the store learn of a withdrawal from the others", async (t) => {
  const plan = buildLargePlan();
  const deployment = await fixtures.startFor(t, {
    ...plan,
    entries: plan.entries.map((entry) => ({
      ...entry,
      usesSecondStorePort: entry.id === "entry-b",
    })),
  });
  await deployment.setSecondStorePortFaults({ mode: "down" });
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, WITHDRAWAL)
  );
  const startedAtMs = performance.now();
  (await deployment.roll(next))._unsafeUnwrap();
  await deployment.waitForRevision(2);
  t.true(performance.now() - startedAtMs < IN_FORCE_MS);
});

test("a gate that was frozen over a withdrawal hands over nothing withdrawn", async (t) => {
  const deployment = await fixtures.startFor(t, buildFreezePlan());
  const calls = await queueCalls(t, deployment);
  const gate = deployment.upstream("model-b").process;
  gate.suspend();
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, WITHDRAWAL)
  );
  (await deployment.roll(next))._unsafeUnwrap();
  const acceptedAtMs = Date.now();
  await deployment.waitForRevision(2, ["entry-a"]);
  await new Promise((resolve) => setTimeout(resolve, IN_FORCE_MS + 200));
  gate.resume();
  await Promise.all(calls);
  t.is(await countLate(deployment, acceptedAtMs), 0);
});

test("work of an entry that is frozen over a withdrawal is not handed over", async (t) => {
  const plan = buildFreezePlan();
  const deployment = await fixtures.startFor(t, {
    ...plan,
    upstreams: plan.upstreams.map((upstream) => ({
      ...upstream,
      engine: { ...upstream.engine, firstTokenMs: 1_800 },
    })),
  });
  const calls = await queueCalls(t, deployment);
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, WITHDRAWAL)
  );
  // The only entry cannot pass the withdrawal on, and cannot take answers either.
  deployment.entry("entry-a").suspend();
  (await deployment.roll(next))._unsafeUnwrap();
  const acceptedAtMs = Date.now();
  await new Promise((resolve) => setTimeout(resolve, IN_FORCE_MS + 2_000));
  deployment.entry("entry-a").resume();
  const results = await Promise.all(calls);
  t.is(await countLate(deployment, acceptedAtMs), 0);
  t.true(
    results.some((result) =>
      result.headers["x-jackdaw-version"] === "verse-large@v1"
    ),
  );
});

test("an allow-list narrowed while the gate is frozen lets nothing through", async (t) => {
  const deployment = await fixtures.startFor(t, buildFreezePlan());
  const calls = await queueCalls(t, deployment);
  const gate = deployment.upstream("model-b").process;
  gate.suspend();
  const next = await deployment.buildNextBundle((content) => ({
    ...content,
    accounts: content.accounts.map((account) =>
      account.name === "counter"
        ? { ...account, models: [{ model: "verse-small" }] }
        : account
    ),
  }));
  (await deployment.roll(next))._unsafeUnwrap();
  await deployment.waitForRevision(2, ["entry-a"]);
  await new Promise((resolve) => setTimeout(resolve, 1_700));
  const before = (await deployment.listEngineRuns()).length;
  gate.resume();
  const results = await Promise.all(calls);
  t.is((await deployment.listEngineRuns()).length, before);
  const refused = results.filter((result) => result.status !== 200);
  t.true(refused.length >= calls.length - 2);
  t.true(refused.every((result) => result.notRun === true));
});

test("a gate that was frozen hands nothing over before an entry has answered it", async (t) => {
  const deployment = await fixtures.startFor(t, buildFreezePlan());
  const calls = await queueCalls(t, deployment);
  const gate = deployment.upstream("model-b").process;
  const entry = deployment.entry("entry-a");
  gate.suspend();
  entry.suspend();
  await new Promise((resolve) => setTimeout(resolve, 1_700));
  const before = (await deployment.listEngineRuns()).length;
  gate.resume();
  // The engine's answer frees the slot at once; the entry cannot say what is in force.
  await new Promise((resolve) => setTimeout(resolve, 800));
  t.is((await deployment.listEngineRuns()).length, before);
  entry.resume();
  const results = await Promise.all(calls);
  t.true(results.every(({ status }) => status === 200));
});

test("of two operators who race, one wins and the other is told who", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const one = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "one",
  }));
  const two = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "two",
  }));
  const results = await Promise.all([
    deployment.roll(one),
    deployment.roll(two),
  ]);
  const losers = results.filter((result) => result.isErr());
  t.is(losers.length, 1);
  const error = losers[0]?._unsafeUnwrapErr();
  t.is(error?.kind, "bundle-conflict");
  t.regex(
    error?.message ?? "",
    /in force is revision 2, signed by [0-9a-f]{16}/,
  );
  await deployment.waitForRevision(2);
});

test("a roll whose reply is lost is reported accepted, once it is read back", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const next = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "lost",
  }));
  await deployment.setStoreFaults({ loseReplies: 1 });
  const rolled = await deployment.roll(next);
  t.is(rolled._unsafeUnwrap().revision, 2);
  t.true(await deployment.waitForRevision(2) < IN_FORCE_MS);
});

test("processes replaced during a store outage serve what the others hold", async (t) => {
  const deployment = await fixtures.startFor(t);
  (await deployment.roll(
    await deployment.buildNextBundle((content) => content),
  ))
    ._unsafeUnwrap();
  await deployment.waitForRevision(2);
  await deployment.setStoreFaults({ mode: "down" });
  await deployment.entry("entry-a").kill();
  await deployment.upstream("model-a").process.kill();
  const entryPlan = deployment.plan.entries[0] as deployments.EntryPlan;
  const upstreamPlan = deployment.plan.upstreams[0] as deployments.UpstreamPlan;
  await deployment.startUpstream(upstreamPlan);
  await deployment.startEntry(entryPlan);
  await deployment.publishVmList();
  await deployment.waitForRevision(2);
  const caller = fixtures.callFor(t, deployment);
  await processes.waitFor(
    "the replaced processes serve",
    async () => (await caller.chat({ model: "verse-small" })).status === 200,
  );
  t.is(await deployment.readRevision("entry-a"), 2);
});

test("without store and peers a new entry refuses truthfully", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  await deployment.setStoreFaults({ mode: "down" });
  await deployment.upstream("model-a").process.kill();
  await deployment.entry("entry-a").kill();
  await deployment.startEntry(
    deployment.plan.entries[0] as deployments.EntryPlan,
  );
  const result = await fixtures.callFor(t, deployment).chat({
    model: "verse-small",
  });
  t.is(result.status, 503);
  t.is(result.errorKind, "no-bundle");
  t.is(result.notRun, true);
});

test("a bundle that was never rolled gives way to the store's of the same revision", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const lost = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "never rolled",
  }));
  const won = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "rolled",
  }));
  await deployment.push(lost);
  await deployment.waitForRevision(2);
  (await deployment.roll(won))._unsafeUnwrap();
  const digest = bundle.computeDigest(deployment.sign(won).payload);
  await processes.waitFor("the rolled bundle is in force", async () => {
    const status = await deployment.readStatus("entry-a") as {
      bundle?: { digest: string };
    };
    return status.bundle?.digest === digest;
  }, IN_FORCE_MS);
  t.pass();
});

test("rolling versions get no new work behind a long partition; stable ones go on", async (t) => {
  const plan = buildLargePlan();
  const standard = deployments.buildStandardBundle();
  const deployment = await fixtures.startFor(t, {
    ...plan,
    bundle: {
      ...standard,
      limits: { ...standard.limits, freshnessBoundMs: 1_500 },
    },
  });
  const caller = fixtures.callFor(t, deployment);
  const sessions = await Promise.all(
    Array.from({ length: 8 }, () => caller.chat({ model: "verse-large" })),
  );
  const pinned = sessions.find((result) =>
    result.headers["x-jackdaw-version"] === "verse-large@v2"
  );
  const session = pinned?.headers["x-jackdaw-session"] ?? "";
  t.not(session, "");
  await deployment.setStoreFaults({ mode: "down" });
  await new Promise((resolve) => setTimeout(resolve, 3_500));
  const sinceMs = Date.now();
  const results = await Promise.all(
    Array.from({ length: 30 }, () => caller.chat({ model: "verse-large" })),
  );
  const runs = (await deployment.listEngineRuns()).filter((run) =>
    run.atMs >= sinceMs
  );
  t.is(runs.filter((run) => run.model === "verse-large@v2").length, 0);
  t.is(results.filter((result) => result.status === 200).length, 30);
  const held = await caller.chat({ model: "verse-large", session });
  t.is(held.errorKind, "stale-configuration");
  t.is(held.notRun, true);
});
