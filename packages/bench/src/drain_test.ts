/** A graceful shutdown cuts nothing off; a leaving upstream gets no new work after 3 s. */
import * as ava from "ava";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

/** Target: no hand-over later than this after a leaving mark. */
const LEAVING_MS = 3_000;
const SMALL = ["verse-small@v1"];
const SLOW = { serves: SMALL, tokens: 30, tokenMs: 30, capacity: 64 };

function buildPlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      { id: "model-a", dataCentre: "bkk-a", engine: SLOW },
      { id: "model-b", dataCentre: "bkk-b", engine: SLOW },
      { id: "order-a", dataCentre: "bkk-a", orders: { delayMs: 700 } },
    ],
  });
}

test("SIGTERM, twice, to an entry and an upstream process cuts off no request", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const a = fixtures.callFor(t, deployment);
  const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
  const chats = [a, b].flatMap((caller) =>
    Array.from(
      { length: 10 },
      (_, at) =>
        caller.chat({ model: "verse-small", isStreamed: at % 2 === 0 }),
    )
  );
  const order = a.placeOrder("order", { idempotencyKey: "order" });
  await processes.waitFor(
    "all are under way",
    async () =>
      (await deployment.listEngineRuns()).length === 20 &&
      (await deployment.countOrderRuns()).size === 1,
  );
  const entry = deployment.entry("entry-a");
  const upstream = deployment.upstream("model-a").process;
  const orders = deployment.upstream("order-a").process;
  for (const stopping of [entry, upstream, orders]) {
    stopping.sendSignal("SIGTERM");
    stopping.sendSignal("SIGTERM");
  }
  const results = await Promise.all(chats);
  t.is(results.filter((result) => result.isComplete).length, 20);
  t.is((await order).status, 201);
  t.is(await entry.waitForExit(), 0);
  t.is(await upstream.waitForExit(), 0);
  t.is(await orders.waitForExit(), 0);
  t.is((await b.chat({ model: "verse-small" })).status, 200);
  await processes.waitFor(
    "all are billed",
    async () => await deployment.countBilled() === 22,
  );
});

test("a leaving mark in the lagging list stops new work, also when its announcement is lost", async (t) => {
  const deployment = await fixtures.startFor(t, {
    ...buildPlan(),
    vmListLagMs: 1_000,
  });
  const callers = [
    fixtures.callFor(t, deployment),
    fixtures.callFor(t, deployment, { entry: "entry-b" }),
  ];
  let isStopped = false;
  const load = callers.map(async (caller) => {
    while (!isStopped) {
      await caller.chat({ model: "verse-small", maxTokens: 2 });
    }
  });
  await deployment.publishVmList(new Set(["model-a"]));
  const markedAtMs = Date.now();
  await new Promise((resolve) => setTimeout(resolve, LEAVING_MS + 1_000));
  isStopped = true;
  await Promise.all(load);
  const status = await deployment.readStatus("model-a") as {
    gate?: { isLeaving: boolean };
  };
  t.true(status.gate?.isLeaving);
  const late = (await deployment.readTimeline()).filter((event) =>
    event.processId === "model-a" && event.name === "gate.handed-over" &&
    event.time.wallMs > markedAtMs + LEAVING_MS
  );
  t.is(late.length, 0);
  const onOther = (await deployment.readTimeline()).filter((event) =>
    event.processId === "model-b" && event.name === "gate.handed-over" &&
    event.time.wallMs > markedAtMs + LEAVING_MS
  );
  t.true(onOther.length > 0);
});

test("a draining entry refuses new requests as not run", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const caller = fixtures.callFor(t, deployment);
  const running = caller.chat({ model: "verse-small", isStreamed: true });
  await processes.waitFor(
    "it is under way",
    async () => (await deployment.listEngineRuns()).length === 1,
  );
  deployment.entry("entry-a").sendSignal("SIGTERM");
  await processes.waitFor("the entry drains", async () => {
    const status = await deployment.readStatus("entry-a") as {
      bundle?: unknown;
    };
    return status.bundle === undefined ||
      (await caller.chat({ model: "verse-small" })).status !== 200;
  });
  t.true((await running).isComplete);
});
