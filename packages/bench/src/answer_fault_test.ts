/** Tests that each caller gets its own complete answer, or can tell that it did not. */
import * as ava from "ava";
import * as http from "node:http";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

const SMALL_VERSIONS = ["verse-small@v1"];

test("when an upstream process is killed, no truncated answer looks complete and no caller gets another's answer", async (t) => {
  const deployment = await fixtures.deploy(
    t,
    fixtures.buildSmallPlan({
      upstreams: ["model-a", "model-b"].map((id) => ({
        id,
        dataCentre: "bkk-a",
        engine: {
          serves: SMALL_VERSIONS,
          tokens: 40,
          tokenMs: 20,
          capacity: 64,
        },
      })),
    }),
  );
  const caller = fixtures.createCaller(t, deployment);
  const calls = Array.from(
    { length: 40 },
    (_, index) =>
      caller.chat({ model: "verse-small", isStreamed: index % 2 === 0 }),
  );
  await processes.waitFor(
    "all calls run at the engines",
    async () => (await deployment.listEngineRuns()).length >= 40,
  );
  await deployment.upstream("model-a").process.kill();
  const results = await Promise.all(calls);
  for (const result of results.filter((other) => other.isComplete)) {
    const expectedWords = Array.from(
      { length: 39 },
      (_, index) => ` t${index + 1}`,
    ).join("");
    t.is(result.text, `${result.prompt}:verse-small@v1${expectedWords}`);
  }
  t.true(results.some((result) => !result.isComplete));
  const listCompletedPrompts = async (upstreamIds?: readonly string[]) => {
    const runs = await deployment.listEngineRuns(upstreamIds);
    return new Set(
      runs.filter((run) => run.outcome === "done").map((run) => run.prompt),
    );
  };
  const completePrompts = new Set(
    results.filter((result) => result.isComplete).map((result) =>
      result.prompt
    ),
  );
  // The killed process's engine may complete runs whose answers nobody receives.
  const completedAtSurvivor = await listCompletedPrompts(["model-b"]);
  const completedAnywhere = await listCompletedPrompts();
  t.deepEqual(
    [...completedAtSurvivor].filter((prompt) => !completePrompts.has(prompt)),
    [],
  );
  t.deepEqual(
    [...completePrompts].filter((prompt) => !completedAnywhere.has(prompt)),
    [],
  );
  t.true(completedAtSurvivor.size > 0);
});

test("requests that fail at one upstream are retried on another as far as the retry budget allows", async (t) => {
  const deployment = await fixtures.deploy(
    t,
    fixtures.buildSmallPlan({
      upstreams: [
        {
          id: "model-a",
          dataCentre: "bkk-a",
          engine: { serves: SMALL_VERSIONS, status: 500 },
        },
        {
          id: "model-b",
          dataCentre: "bkk-b",
          engine: { serves: SMALL_VERSIONS },
        },
      ],
    }),
  );
  const caller = fixtures.createCaller(t, deployment);
  const results = await Promise.all(
    Array.from(
      { length: 4 },
      (_, index) => caller.chat({ model: "verse-small", prompt: `p${index}` }),
    ),
  );
  for (const result of results.filter((other) => other.status === 200)) {
    t.true(result.text.startsWith(`${result.prompt}:`));
  }
  t.true(results.some((result) => result.status === 200));
});

test("a caller that reads slowly slows down the engine by backpressure and still gets the complete answer", async (t) => {
  const tokens = 20_000;
  const deployment = await fixtures.deploy(
    t,
    fixtures.buildSmallPlan({
      upstreams: [{
        id: "model-a",
        dataCentre: "bkk-a",
        engine: {
          serves: SMALL_VERSIONS,
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

test("a caller that disconnects cancels its run at the engine", async (t) => {
  const deployment = await fixtures.deploy(
    t,
    fixtures.buildSmallPlan({
      upstreams: [{
        id: "model-a",
        dataCentre: "bkk-a",
        engine: { serves: SMALL_VERSIONS, tokens: 1_000, tokenMs: 20 },
      }],
    }),
  );
  const caller = fixtures.createCaller(t, deployment);
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
  await processes.waitFor("nothing runs at the gate", async () => {
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

test("after the loss of a data centre the others serve what they can and refuse the rest as not run", async (t) => {
  const deployment = await fixtures.deploy(t);
  const caller = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  await Promise.all([
    deployment.entry("entry-a").kill(),
    deployment.upstream("model-a").process.kill(),
    deployment.upstream("order-a").process.kill(),
  ]);
  const chats = await Promise.all(
    Array.from({ length: 10 }, () => caller.chat({ model: "verse-large" })),
  );
  t.true(chats.every((result) => result.isComplete));
  // The cascade's cheap model ran only in the lost data centre.
  const cascaded = await caller.chat({ model: "verse" });
  t.regex(cascaded.headers["x-jackdaw-version"] ?? "", /^verse-large@/);
  const refused = await caller.chat({ model: "verse-small" });
  t.is(refused.errorKind, "no-upstream");
  t.is(refused.notRun, true);
  t.is(
    (await caller.placeOrder("order-1", { idempotencyKey: "order-1" })).status,
    201,
  );
});
