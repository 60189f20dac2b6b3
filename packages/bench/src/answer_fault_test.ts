/** Each caller gets its own whole answer, or is told that it did not. */
import * as ava from "ava";
import * as http from "node:http";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

const SMALL = ["verse-small@v1"];

test("an upstream process killed in mid-stream: no cut answer is complete, none is mixed", async (t) => {
  const deployment = await fixtures.startFor(
    t,
    fixtures.buildSmallPlan({
      upstreams: ["model-a", "model-b"].map((id) => ({
        id,
        dataCentre: "bkk-a",
        engine: { serves: SMALL, tokens: 40, tokenMs: 20, capacity: 64 },
      })),
    }),
  );
  const caller = fixtures.callFor(t, deployment);
  const calls = Array.from(
    { length: 40 },
    (_, at) => caller.chat({ model: "verse-small", isStreamed: at % 2 === 0 }),
  );
  await processes.waitFor(
    "answers are under way",
    async () => (await deployment.listEngineRuns()).length >= 40,
  );
  await deployment.upstream("model-a").process.kill();
  const results = await Promise.all(calls);
  for (const result of results.filter((other) => other.isComplete)) {
    const words = Array.from({ length: 39 }, (_, at) => ` t${at + 1}`).join("");
    t.is(result.text, `${result.prompt}:verse-small@v1${words}`);
  }
  t.true(results.some((result) => !result.isComplete));
  const listDone = async (ids?: readonly string[]) => {
    const runs = await deployment.listEngineRuns(ids);
    return new Set(
      runs.filter((run) => run.outcome === "done").map((run) => run.prompt),
    );
  };
  const complete = new Set(
    results.filter((result) => result.isComplete).map((result) =>
      result.prompt
    ),
  );
  // A run that ended beside the killed process may have found nobody to take its answer.
  const doneAtSurvivor = await listDone(["model-b"]);
  const doneAnywhere = await listDone();
  t.deepEqual(
    [...doneAtSurvivor].filter((prompt) => !complete.has(prompt)),
    [],
  );
  t.deepEqual([...complete].filter((prompt) => !doneAnywhere.has(prompt)), []);
  t.true(doneAtSurvivor.size > 0);
});

test("whole answers that break are retried elsewhere within the budget", async (t) => {
  const deployment = await fixtures.startFor(
    t,
    fixtures.buildSmallPlan({
      upstreams: [
        {
          id: "model-a",
          dataCentre: "bkk-a",
          engine: { serves: SMALL, status: 500 },
        },
        { id: "model-b", dataCentre: "bkk-b", engine: { serves: SMALL } },
      ],
    }),
  );
  const caller = fixtures.callFor(t, deployment);
  const results = await Promise.all(
    Array.from(
      { length: 4 },
      (_, at) => caller.chat({ model: "verse-small", prompt: `p${at}` }),
    ),
  );
  for (const result of results.filter((other) => other.status === 200)) {
    t.true(result.text.startsWith(`${result.prompt}:`));
  }
  t.true(results.some((result) => result.status === 200));
});

test("a slow reader holds back the engine, and still gets all of it", async (t) => {
  const tokens = 20_000;
  const deployment = await fixtures.startFor(
    t,
    fixtures.buildSmallPlan({
      upstreams: [{
        id: "model-a",
        dataCentre: "bkk-a",
        engine: {
          serves: SMALL,
          tokens,
          wordChars: 2_000,
          tokenMs: 0,
          firstTokenMs: 0,
        },
      }],
    }),
  );
  const { port } = new URL(deployment.entryUrl("entry-a"));
  const body = JSON.stringify({
    model: "verse-small",
    stream: true,
    messages: [{ role: "user", content: "slow" }],
  });
  const request = http.request({
    port,
    host: "127.0.0.1",
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      authorization: `Bearer ${deployments.ACCOUNT_KEYS.counter}`,
      "content-type": "application/json",
    },
  });
  request.end(body);
  const response = await new Promise<http.IncomingMessage>((resolve) =>
    request.once("response", resolve)
  );
  response.pause();
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  t.is((await deployment.listEngineRuns())[0]?.outcome, "running");
  let text = "";
  for await (const chunk of response) text += String(chunk);
  t.true(text.endsWith("data: [DONE]\n\n"));
  t.is(text.split("data: ").length - 1, tokens + 2);
});

test("a caller that goes away stops the engine", async (t) => {
  const deployment = await fixtures.startFor(
    t,
    fixtures.buildSmallPlan({
      upstreams: [{
        id: "model-a",
        dataCentre: "bkk-a",
        engine: { serves: SMALL, tokens: 1_000, tokenMs: 20 },
      }],
    }),
  );
  const caller = fixtures.callFor(t, deployment);
  for (const isStreamed of [true, false]) {
    const abort = new AbortController();
    const call = caller.chat({
      model: "verse-small",
      isStreamed,
      signal: abort.signal,
    });
    await new Promise((resolve) => setTimeout(resolve, 200));
    abort.abort();
    t.false((await call).isComplete);
  }
  await processes.waitFor("both gates are free again", async () => {
    const status = await deployment.readStatus("model-a") as {
      gate?: { running: number };
    };
    return status.gate?.running === 0;
  });
  t.is(
    (await deployment.listEngineRuns()).filter((run) => run.outcome === "done")
      .length,
    0,
  );
});

test("a data centre lost as a whole: the others go on, and nothing cut is complete", async (t) => {
  const deployment = await fixtures.startFor(t);
  const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
  await Promise.all([
    deployment.entry("entry-a").kill(),
    deployment.upstream("model-a").process.kill(),
    deployment.upstream("order-a").process.kill(),
  ]);
  const chats = await Promise.all(
    Array.from({ length: 10 }, () => b.chat({ model: "verse-large" })),
  );
  t.true(chats.every((result) => result.isComplete));
  // The cascade's cheap model stood in the lost data centre only.
  const cascaded = await b.chat({ model: "verse" });
  t.regex(cascaded.headers["x-jackdaw-version"] ?? "", /^verse-large@/);
  const gone = await b.chat({ model: "verse-small" });
  t.is(gone.errorKind, "no-upstream");
  t.is(gone.notRun, true);
  t.is(
    (await b.placeOrder("order-1", { idempotencyKey: "order-1" })).status,
    201,
  );
});
