/** Tests that each complete answer is billed exactly once, even if processes are killed or suspended. */
import * as ava from "ava";
import type * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

function buildPlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      {
        id: "model-a",
        dataCentre: "bkk-a",
        engine: { serves: ["verse-small@v1"] },
      },
      {
        id: "model-b",
        dataCentre: "bkk-b",
        engine: {
          serves: ["verse-small@v1", "verse-large@v1", "verse-large@v2"],
        },
      },
    ],
  });
}

/** Sends chats, half of them streamed; resolves with the number of complete answers. */
async function sendChats(
  caller: callers.Caller,
  count: number,
): Promise<number> {
  const results = await Promise.all(
    Array.from(
      { length: count },
      (_, index) =>
        caller.chat({ model: "verse-small", isStreamed: index % 2 === 0 }),
    ),
  );
  return results.filter((result) => result.isComplete).length;
}

async function waitForBills(
  deployment: deployments.Deployment,
  count: number,
): Promise<void> {
  await processes.waitFor(
    `${count} requests are billed`,
    async () => await deployment.countBilled() >= count,
  );
  // Two more flush intervals, in which a duplicate bill would be stored.
  await new Promise((resolve) => setTimeout(resolve, 1_200));
}

test("the bills of an entry that is killed before it stores them are stored from their backups", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  await deployment.setStoreFaults({ mode: "down" });
  const answered = await sendChats(fixtures.createCaller(t, deployment), 20);
  t.is(answered, 20);
  await deployment.entry("entry-a").kill();
  await deployment.setStoreFaults({ mode: "up" });
  await waitForBills(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("every answer is billed once even if an entry is killed while the store's replies are lost", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  await deployment.setStoreFaults({ loseReplies: 4, delayMs: 50 });
  const answered = await sendChats(fixtures.createCaller(t, deployment), 20);
  await deployment.entry("entry-a").kill();
  await waitForBills(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("no answer is billed twice if the store's replies to flushes are lost", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  await deployment.setStoreFaults({ loseReplies: 3 });
  const answered = await sendChats(fixtures.createCaller(t, deployment), 20);
  await waitForBills(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("no answer is billed twice if a suspended entry resumes after its bills were stored from backups", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  await deployment.setStoreFaults({ mode: "down" });
  const answered = await sendChats(fixtures.createCaller(t, deployment), 20);
  const entry = deployment.entry("entry-a");
  entry.suspend();
  await deployment.setStoreFaults({ mode: "up" });
  await processes.waitFor(
    "the bills are stored from their backups",
    async () => await deployment.countBilled() === answered,
  );
  entry.resume();
  await processes.waitFor("the entry has stored its bills too", async () => {
    const status = await deployment.readStatus("entry-a") as {
      entry?: { unstoredBills: number };
    };
    return status.entry?.unstoredBills === 0;
  });
  await waitForBills(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("a request repeated with its key through another entry is billed once", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  const options = {
    model: "verse-small",
    prompt: "same",
    idempotencyKey: "same",
  };
  t.true((await callerA.chat(options)).isComplete);
  t.true((await callerB.chat(options)).isComplete);
  t.true(
    (await callerB.chat({ ...options, idempotencyKey: "another" })).isComplete,
  );
  await waitForBills(deployment, 2);
  t.is(await deployment.countBilled(), 2);
});

test("a request that its cascade escalates to the large model is billed once", async (t) => {
  const deployment = await fixtures.deploy(t, {
    ...buildPlan(),
    upstreams: [
      {
        id: "model-b",
        dataCentre: "bkk-b",
        engine: { serves: ["verse-large@v1", "verse-large@v2"] },
      },
    ],
  });
  const result = await fixtures.createCaller(t, deployment).chat({
    model: "verse",
  });
  t.true(result.isComplete);
  t.regex(result.headers["x-jackdaw-version"] ?? "", /^verse-large@/);
  await waitForBills(deployment, 1);
  t.is(await deployment.countBilled(), 1);
});

test("broken and cancelled answers are not billed", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  const caller = fixtures.createCaller(t, deployment);
  const engine = deployment.upstream("model-a").backend;
  await deployment.configure(engine, { breakAfterTokens: 3 });
  t.false(
    (await caller.chat({ model: "verse-small", isStreamed: true })).isComplete,
  );
  await deployment.configure(engine, { breakAfterTokens: 0, tokenMs: 1_000 });
  const abort = new AbortController();
  const cancelled = caller.chat({
    model: "verse-small",
    isStreamed: true,
    signal: abort.signal,
  });
  const readOutcome = async () =>
    (await deployment.listEngineRuns())[1]?.outcome;
  await processes.waitFor(
    "the second run goes on",
    async () => await readOutcome() === "running",
  );
  abort.abort();
  t.false((await cancelled).isComplete);
  await processes.waitFor(
    "the second run has ended",
    async () => await readOutcome() !== "running",
  );
  await deployment.configure(engine, { tokenMs: 0 });
  t.true((await caller.chat({ model: "verse-small" })).isComplete);
  await waitForBills(deployment, 1);
  t.is(await deployment.countBilled(), 1);
  const outcomes = (await deployment.listEngineRuns()).map((run) =>
    run.outcome
  );
  t.deepEqual(outcomes, ["broken", "cancelled", "done"]);
});
