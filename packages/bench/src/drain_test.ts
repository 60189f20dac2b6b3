/** Tests that a graceful shutdown interrupts no request, and a leaving upstream gets no new work after 3 s. */
import * as ava from "ava";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

/** Time after which an upstream that was marked as leaving must get no new work. */
const LEAVING_TARGET_MS = 3_000;
const SMALL_VERSIONS = ["verse-small@v1"];
const SLOW_ENGINE = {
  serves: SMALL_VERSIONS,
  tokens: 30,
  tokenMs: 30,
  capacity: 64,
};

function buildPlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      { id: "model-a", dataCentre: "bkk-a", engine: SLOW_ENGINE },
      { id: "model-b", dataCentre: "bkk-b", engine: SLOW_ENGINE },
      { id: "order-a", dataCentre: "bkk-a", orders: { delayMs: 700 } },
    ],
  });
}

test("SIGTERM, sent twice to an entry and to upstream processes, interrupts no request", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  const chats = [callerA, callerB].flatMap((caller) =>
    Array.from(
      { length: 10 },
      (_, index) =>
        caller.chat({ model: "verse-small", isStreamed: index % 2 === 0 }),
    )
  );
  const order = callerA.placeOrder("order", { idempotencyKey: "order" });
  await processes.waitFor(
    "all requests run",
    async () =>
      (await deployment.listEngineRuns()).length === 20 &&
      (await deployment.countOrderRuns()).size === 1,
  );
  const entry = deployment.entry("entry-a");
  const upstream = deployment.upstream("model-a").process;
  const orderUpstream = deployment.upstream("order-a").process;
  for (const stopping of [entry, upstream, orderUpstream]) {
    stopping.sendSignal("SIGTERM");
    stopping.sendSignal("SIGTERM");
  }
  const results = await Promise.all(chats);
  t.is(results.filter((result) => result.isComplete).length, 20);
  t.is((await order).status, 201);
  t.is(await entry.waitForExit(), 0);
  t.is(await upstream.waitForExit(), 0);
  t.is(await orderUpstream.waitForExit(), 0);
  t.is((await callerB.chat({ model: "verse-small" })).status, 200);
  await processes.waitFor(
    "all requests are billed",
    async () => await deployment.countBilled() === 22,
  );
});

test("an upstream that only the lagging VM list marks as leaving gets no new work after 3 s", async (t) => {
  const deployment = await fixtures.deploy(t, {
    ...buildPlan(),
    vmListLagMs: 1_000,
  });
  const callers = [
    fixtures.createCaller(t, deployment),
    fixtures.createCaller(t, deployment, { entry: "entry-b" }),
  ];
  let isStopped = false;
  const load = callers.map(async (caller) => {
    while (!isStopped) {
      await caller.chat({ model: "verse-small", maxTokens: 2 });
    }
  });
  await deployment.publishVmList(new Set(["model-a"]));
  const markedAtMs = Date.now();
  await new Promise((resolve) =>
    setTimeout(resolve, LEAVING_TARGET_MS + 1_000)
  );
  isStopped = true;
  await Promise.all(load);
  const status = await deployment.readStatus("model-a") as {
    gate?: { isLeaving: boolean };
  };
  t.true(status.gate?.isLeaving);
  const lateHandOvers = (await deployment.readTimeline()).filter((event) =>
    event.processId === "model-a" && event.name === "gate.handed-over" &&
    event.time.wallMs > markedAtMs + LEAVING_TARGET_MS
  );
  t.is(lateHandOvers.length, 0);
  const handOversToOther = (await deployment.readTimeline()).filter((event) =>
    event.processId === "model-b" && event.name === "gate.handed-over" &&
    event.time.wallMs > markedAtMs + LEAVING_TARGET_MS
  );
  t.true(handOversToOther.length > 0);
});

test("a draining entry serves no new requests and completes running ones", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const caller = fixtures.createCaller(t, deployment);
  const running = caller.chat({ model: "verse-small", isStreamed: true });
  await processes.waitFor(
    "the request runs",
    async () => (await deployment.listEngineRuns()).length === 1,
  );
  deployment.entry("entry-a").sendSignal("SIGTERM");
  let isRunning = true;
  const ended = running.then(() => isRunning = false);
  await processes.waitFor(
    "a new request is not served",
    async () =>
      (await caller.chat({ model: "verse-small", maxTokens: 1 })).status !==
        200,
  );
  t.true(isRunning, "new requests were served until the running one ended");
  await ended;
  t.true((await running).isComplete);
  t.is(await deployment.entry("entry-a").waitForExit(), 0);
});
