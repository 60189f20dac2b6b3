/**
 * Tests the distribution of bundles under failures: an accepted bundle is in force
 * everywhere within 4 s, revisions never go back, and of concurrent rolls only one
 * succeeds.
 */
import * as ava from "ava";
import * as bundle from "@jackdawbank/bundle";
import type * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

/** The users' requirement: an accepted bundle is in force everywhere within this time. */
const IN_FORCE_TARGET_MS = 4_000;
const LARGE_VERSIONS = ["verse-large@v1", "verse-large@v2"];
/** An entry sends at most this many calls for each slot if only one account is active. */
const CALLS_PER_SLOT = 4;
const WITHDRAWAL = { model: "verse-large", version: "v2", successor: "v1" };

function buildLargeModelPlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      {
        id: "model-b",
        dataCentre: "bkk-b",
        engine: { serves: LARGE_VERSIONS },
      },
      {
        id: "model-c",
        dataCentre: "bkk-c",
        engine: { serves: LARGE_VERSIONS },
      },
    ],
  });
}

/** Builds a plan with one entry, one gate with one slot, and all sessions on the rolling version. */
function buildOneSlotPlan(): deployments.DeploymentPlan {
  const standard = deployments.buildStandardBundle();
  return {
    ...buildLargeModelPlan(),
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
      engine: { serves: LARGE_VERSIONS, capacity: 1, firstTokenMs: 1_500 },
    }],
  };
}

/** Sends calls and waits until all but the running one are queued at the gate. */
async function queueCalls(
  t: fixtures.TearDownContext,
  deployment: deployments.Deployment,
): Promise<readonly Promise<callers.CallResult>[]> {
  const caller = fixtures.createCaller(t, deployment);
  const calls = Array.from(
    { length: CALLS_PER_SLOT },
    () => caller.chat({ model: "verse-large" }),
  );
  await waitForQueued(deployment, calls.length - 1);
  return calls;
}

async function waitForQueued(
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

/** Sends chats until `stop` is called, which resolves with the number answered. */
function startLoad(
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

/** Counts runs of the withdrawn version that began after the withdrawal had to be in force. */
async function countLateRuns(
  deployment: deployments.Deployment,
  acceptedAtMs: number,
): Promise<number> {
  const runs = await deployment.listEngineRuns();
  return runs.filter((run) =>
    run.model === "verse-large@v2" &&
    run.atMs > acceptedAtMs + IN_FORCE_TARGET_MS
  ).length;
}

test("a withdrawal is in force everywhere even if the store fails right after accepting it", async (t) => {
  const plan = buildLargeModelPlan();
  const deployment = await fixtures.deploy(t, {
    ...plan,
    entries: plan.entries.map((entry) => ({
      ...entry,
      usesSecondStorePort: true,
    })),
  });
  const load = startLoad([
    fixtures.createCaller(t, deployment),
    fixtures.createCaller(t, deployment, { entry: "entry-b" }),
  ]);
  // The store's port for the entries fails first, so that only the operator's client sees the acceptance.
  await deployment.setSecondStorePortFaults({ mode: "down" });
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, WITHDRAWAL)
  );
  (await deployment.roll(next, { isPushed: true }))._unsafeUnwrap();
  const acceptedAtMs = Date.now();
  await deployment.setStoreFaults({ mode: "down" });
  t.true(await deployment.waitForRevision(2) < IN_FORCE_TARGET_MS);
  await new Promise((resolve) => setTimeout(resolve, IN_FORCE_TARGET_MS + 500));
  t.true(await load.stop() > 0);
  t.is(await countLateRuns(deployment, acceptedAtMs), 0);
});

test("processes partitioned from the store get a withdrawal from the others", async (t) => {
  const plan = buildLargeModelPlan();
  const deployment = await fixtures.deploy(t, {
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
  t.true(performance.now() - startedAtMs < IN_FORCE_TARGET_MS);
});

test("a gate that was suspended during a withdrawal runs nothing on the withdrawn version afterwards", async (t) => {
  const deployment = await fixtures.deploy(t, buildOneSlotPlan());
  const calls = await queueCalls(t, deployment);
  const gate = deployment.upstream("model-b").process;
  gate.suspend();
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, WITHDRAWAL)
  );
  (await deployment.roll(next))._unsafeUnwrap();
  const acceptedAtMs = Date.now();
  await deployment.waitForRevision(2, ["entry-a"]);
  await new Promise((resolve) => setTimeout(resolve, IN_FORCE_TARGET_MS + 200));
  gate.resume();
  await Promise.all(calls);
  t.is(await countLateRuns(deployment, acceptedAtMs), 0);
});

test("work of an entry that is suspended during a withdrawal does not run on the withdrawn version", async (t) => {
  const plan = buildOneSlotPlan();
  const deployment = await fixtures.deploy(t, {
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
  // The only entry is suspended: it cannot forward the withdrawal and receives no answers.
  deployment.entry("entry-a").suspend();
  (await deployment.roll(next))._unsafeUnwrap();
  const acceptedAtMs = Date.now();
  await new Promise((resolve) =>
    setTimeout(resolve, IN_FORCE_TARGET_MS + 2_000)
  );
  deployment.entry("entry-a").resume();
  const results = await Promise.all(calls);
  t.is(await countLateRuns(deployment, acceptedAtMs), 0);
  t.true(
    results.some((result) =>
      result.headers["x-jackdaw-version"] === "verse-large@v1"
    ),
  );
});

test("work queued at a suspended gate does not run after its account has lost access to the model", async (t) => {
  const deployment = await fixtures.deploy(t, buildOneSlotPlan());
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

test("a gate that was suspended runs no work before its entry has answered a ping", async (t) => {
  const deployment = await fixtures.deploy(t, buildOneSlotPlan());
  const calls = await queueCalls(t, deployment);
  const gate = deployment.upstream("model-b").process;
  const entry = deployment.entry("entry-a");
  gate.suspend();
  entry.suspend();
  await new Promise((resolve) => setTimeout(resolve, 1_700));
  const before = (await deployment.listEngineRuns()).length;
  gate.resume();
  // The engine's answer frees the slot at once; the suspended entry cannot say what is in force.
  await new Promise((resolve) => setTimeout(resolve, 800));
  t.is((await deployment.listEngineRuns()).length, before);
  entry.resume();
  const results = await Promise.all(calls);
  const statuses = results.map(({ status }) => status);
  t.true(statuses.every((status) => status === 200), `${statuses}`);
});

test("of two concurrent rolls one succeeds, and the other is told who signed the winner", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
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

test("a roll whose reply is lost is reported as accepted after it was read back", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  const next = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "lost",
  }));
  await deployment.setStoreFaults({ loseReplies: 1 });
  const rolled = await deployment.roll(next);
  t.is(rolled._unsafeUnwrap().revision, 2);
  t.true(await deployment.waitForRevision(2) < IN_FORCE_TARGET_MS);
});

test("processes replaced during a store outage get the active bundle from the others", async (t) => {
  const deployment = await fixtures.deploy(t);
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
  const caller = fixtures.createCaller(t, deployment);
  await processes.waitFor(
    "the replaced processes serve",
    async () => (await caller.chat({ model: "verse-small" })).status === 200,
  );
  t.is(await deployment.readRevision("entry-a"), 2);
});

test("a new entry without store and peers refuses requests as not run", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  await deployment.setStoreFaults({ mode: "down" });
  await deployment.upstream("model-a").process.kill();
  await deployment.entry("entry-a").kill();
  await deployment.startEntry(
    deployment.plan.entries[0] as deployments.EntryPlan,
  );
  const result = await fixtures.createCaller(t, deployment).chat({
    model: "verse-small",
  });
  t.is(result.status, 503);
  t.is(result.errorKind, "no-bundle");
  t.is(result.notRun, true);
});

test("a pushed bundle that was never rolled is replaced by the store's one of the same revision", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  const pushedOnly = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "never rolled",
  }));
  const rolled = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "rolled",
  }));
  await deployment.push(pushedOnly);
  await deployment.waitForRevision(2);
  (await deployment.roll(rolled))._unsafeUnwrap();
  const digest = bundle.computeDigest(deployment.sign(rolled).payload);
  await processes.waitFor("the rolled bundle is in force", async () => {
    const status = await deployment.readStatus("entry-a") as {
      bundle?: { digest: string };
    };
    return status.bundle?.digest === digest;
  }, IN_FORCE_TARGET_MS);
  t.pass();
});

test("during a long store outage rolling versions get no new work, and stable ones do", async (t) => {
  const plan = buildLargeModelPlan();
  const standard = deployments.buildStandardBundle();
  const deployment = await fixtures.deploy(t, {
    ...plan,
    bundle: {
      ...standard,
      limits: { ...standard.limits, freshnessBoundMs: 1_500 },
    },
  });
  const caller = fixtures.createCaller(t, deployment);
  const firstResults = await Promise.all(
    Array.from({ length: 8 }, () => caller.chat({ model: "verse-large" })),
  );
  const rollingResult = firstResults.find((result) =>
    result.headers["x-jackdaw-version"] === "verse-large@v2"
  );
  const session = rollingResult?.headers["x-jackdaw-session"] ?? "";
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
  const refused = await caller.chat({ model: "verse-large", session });
  t.is(refused.errorKind, "stale-configuration");
  t.is(refused.notRun, true);
});
