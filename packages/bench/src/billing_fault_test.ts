/** Each complete answer is billed exactly once, whoever dies or freezes in between. */
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

async function answerMany(
  caller: callers.Caller,
  count: number,
): Promise<number> {
  const results = await Promise.all(
    Array.from(
      { length: count },
      (_, at) =>
        caller.chat({ model: "verse-small", isStreamed: at % 2 === 0 }),
    ),
  );
  return results.filter((result) => result.isComplete).length;
}

async function waitBilled(
  deployment: deployments.Deployment,
  count: number,
): Promise<void> {
  await processes.waitFor(
    `${count} requests are billed`,
    async () => await deployment.countBilled() >= count,
  );
  // Two more flush intervals, in which a double would show.
  await new Promise((resolve) => setTimeout(resolve, 1_200));
}

test("an entry killed between answer and flush: the witnesses store its bills", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  await deployment.setStoreFaults({ mode: "down" });
  const answered = await answerMany(fixtures.callFor(t, deployment), 20);
  t.is(answered, 20);
  await deployment.entry("entry-a").kill();
  await deployment.setStoreFaults({ mode: "up" });
  await waitBilled(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("an entry killed while the store loses replies: every answer is billed once", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  await deployment.setStoreFaults({ loseReplies: 4, delayMs: 50 });
  const answered = await answerMany(fixtures.callFor(t, deployment), 20);
  await deployment.entry("entry-a").kill();
  await waitBilled(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("lost replies on flushes bill nothing twice", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  await deployment.setStoreFaults({ loseReplies: 3 });
  const answered = await answerMany(fixtures.callFor(t, deployment), 20);
  await waitBilled(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("an entry frozen, settled for by witnesses, and woken bills nothing twice", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  await deployment.setStoreFaults({ mode: "down" });
  const answered = await answerMany(fixtures.callFor(t, deployment), 20);
  const entry = deployment.entry("entry-a");
  entry.suspend();
  await deployment.setStoreFaults({ mode: "up" });
  await processes.waitFor(
    "the witnesses have settled",
    async () => await deployment.countBilled() === answered,
  );
  entry.resume();
  await processes.waitFor("the entry has stored its bills too", async () => {
    const status = await deployment.readStatus("entry-a") as {
      entry?: { unstoredBills: number };
    };
    return status.entry?.unstoredBills === 0;
  });
  await waitBilled(deployment, answered);
  t.is(await deployment.countBilled(), answered);
});

test("a keyed request repeated through the other entry is billed once", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const a = fixtures.callFor(t, deployment);
  const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
  const options = {
    model: "verse-small",
    prompt: "same",
    idempotencyKey: "same",
  };
  t.true((await a.chat(options)).isComplete);
  t.true((await b.chat(options)).isComplete);
  t.true((await b.chat({ ...options, idempotencyKey: "another" })).isComplete);
  await waitBilled(deployment, 2);
  t.is(await deployment.countBilled(), 2);
});

test("a cascade that moves up is one bill", async (t) => {
  const deployment = await fixtures.startFor(t, {
    ...buildPlan(),
    upstreams: [
      {
        id: "model-b",
        dataCentre: "bkk-b",
        engine: { serves: ["verse-large@v1", "verse-large@v2"] },
      },
    ],
  });
  const result = await fixtures.callFor(t, deployment).chat({ model: "verse" });
  t.true(result.isComplete);
  t.regex(result.headers["x-jackdaw-version"] ?? "", /^verse-large@/);
  await waitBilled(deployment, 1);
  t.is(await deployment.countBilled(), 1);
});

test("broken and cancelled answers are not billed", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const caller = fixtures.callFor(t, deployment);
  const engine = deployment.upstream("model-a").backend;
  await deployment.configure(engine, { breakAfterTokens: 3 });
  t.false(
    (await caller.chat({ model: "verse-small", isStreamed: true })).isComplete,
  );
  await deployment.configure(engine, { breakAfterTokens: 0, tokenMs: 50 });
  const abort = new AbortController();
  setTimeout(() => abort.abort(), 120);
  const cut = await caller.chat({
    model: "verse-small",
    isStreamed: true,
    signal: abort.signal,
  });
  t.false(cut.isComplete);
  await deployment.configure(engine, { tokenMs: 0 });
  t.true((await caller.chat({ model: "verse-small" })).isComplete);
  await waitBilled(deployment, 1);
  t.is(await deployment.countBilled(), 1);
  const outcomes = (await deployment.listEngineRuns()).map((run) =>
    run.outcome
  );
  t.deepEqual(outcomes, ["broken", "cancelled", "done"]);
});
