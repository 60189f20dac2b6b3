/** Compares the time lines of whole sessions through all processes with golden files. */
import * as ava from "ava";
import type * as kernel from "@jackdawbank/kernel";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as goldens from "./golden.ts";
import * as processes from "./processes.ts";

const test = ava.default;

async function compareWithGolden(
  t: ava.ExecutionContext,
  name: string,
  events: readonly kernel.TimelineEvent[],
): Promise<void> {
  const actual = goldens.renderSession(events);
  t.is(actual, goldens.readGolden(name, actual));
  await Promise.resolve();
}

test("golden: a session through all processes", async (t) => {
  const deployment = await fixtures.deploy(t);
  const caller = fixtures.createCaller(t, deployment);
  const narrowCaller = fixtures.createCaller(t, deployment, {
    entry: "entry-b",
    key: deployments.ACCOUNT_KEYS.narrow,
  });
  const session = "lodge-7";
  await caller.chat({ model: "verse-small", session });
  await caller.chat({ model: "verse-large", session, isStreamed: true });
  await caller.chat({ model: "verse", session });
  await narrowCaller.chat({ model: "verse-small", session });
  await caller.placeOrder("order-1", { idempotencyKey: "order-1" });
  await caller.placeOrder("order-1", { idempotencyKey: "order-1" });
  await caller.placeOrder("order-2", { idempotencyKey: "order-1" });
  await compareWithGolden(t, "whole_session", await deployment.readTimeline());
});

test("golden: a roll-out with a withdrawal", async (t) => {
  const standard = deployments.buildStandardPlan();
  const deployment = await fixtures.deploy(t, {
    ...standard,
    upstreams: standard.upstreams.filter((upstream) =>
      upstream.id === "model-b"
    ),
    entries: standard.entries.slice(0, 1),
  });
  const caller = fixtures.createCaller(t, deployment);
  const chat = (session: string) =>
    caller.chat({ model: "verse-large", session });
  await chat("shopper-1");
  await chat("shopper-2");
  const step = await deployment.buildNextBundle((content) =>
    fixtures.addRolloutStep(content, "verse-large", { v1: 0, v2: 100 })
  );
  (await deployment.roll(step))._unsafeUnwrap();
  await deployment.waitForRevision(2);
  await chat("shopper-1");
  await chat("shopper-2");
  await chat("shopper-3");
  const withdrawal = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, {
      model: "verse-large",
      version: "v2",
      successor: "v1",
    })
  );
  (await deployment.roll(withdrawal))._unsafeUnwrap();
  await deployment.waitForRevision(3);
  for (const session of ["shopper-1", "shopper-2", "shopper-3", "shopper-4"]) {
    await chat(session);
  }
  await compareWithGolden(
    t,
    "roll_out_with_withdrawal",
    await deployment.readTimeline(),
  );
});

test("golden: an order that is repeated after its owner was killed", async (t) => {
  const standard = deployments.buildStandardPlan();
  const deployment = await fixtures.deploy(t, {
    ...standard,
    upstreams: ["order-a", "order-b"].map((id) => ({
      id,
      dataCentre: "bkk-a",
      orders: {},
    })),
    entries: standard.entries.slice(0, 1),
  });
  const caller = fixtures.createCaller(t, deployment);
  await caller.placeOrder("order-1", { idempotencyKey: "order-1" });
  const before = await deployment.readTimeline();
  const owner =
    before.find((event) => event.name === "claims.took-over")?.processId ?? "";
  // The owner is killed only after the answer is durable, so that the next owner can replay it.
  await processes.waitFor("the answer is stored", async () => {
    const status = await deployment.readStatus(owner) as {
      gate?: { claimWrites: number };
    };
    return status.gate?.claimWrites === 2;
  });
  await deployment.upstream(owner).process.kill();
  await deployment.waitForUpstreamsAtMost("entry-a", "service:orders", 1);
  await caller.placeOrder("order-1", { idempotencyKey: "order-1" });
  await caller.placeOrder("order-2", { idempotencyKey: "order-1" });
  const after = (await deployment.readTimeline()).filter((event) =>
    event.processId !== owner
  );
  const ownerEvents = before.filter((event) => event.processId === owner);
  await compareWithGolden(
    t,
    "order_through_owners_death",
    [...ownerEvents, ...after].toSorted((a, b) =>
      a.time.wallMs - b.time.wallMs || a.time.count - b.time.count
    ),
  );
});

test("golden: an upstream process drains", async (t) => {
  const deployment = await fixtures.deploy(
    t,
    fixtures.buildSmallPlan({
      upstreams: ["model-a", "model-b"].map((id) => ({
        id,
        dataCentre: "bkk-a",
        engine: { serves: ["verse-small@v1"], tokens: 60, tokenMs: 20 },
      })),
    }),
  );
  const caller = fixtures.createCaller(t, deployment);
  const session = "counter-3";
  const running = caller.chat({
    model: "verse-small",
    session,
    isStreamed: true,
  });
  await processes.waitFor(
    "the request runs",
    async () => (await deployment.listEngineRuns()).length === 1,
  );
  const timeline = await deployment.readTimeline();
  const upstreamId =
    timeline.find((event) => event.name === "gate.handed-over")?.processId ??
      "";
  deployment.upstream(upstreamId).process.sendSignal("SIGTERM");
  await deployment.waitForUpstreamsAtMost("entry-a", "verse-small@v1", 1);
  await caller.chat({ model: "verse-small", session, maxTokens: 2 });
  const drained = await deployment.readTimeline();
  t.true((await running).isComplete);
  t.is(await deployment.upstream(upstreamId).process.waitForExit(), 0);
  const after = (await deployment.readTimeline()).filter((event) =>
    event.processId !== upstreamId
  );
  const events = [
    ...drained.filter((event) => event.processId === upstreamId),
    ...after,
  ];
  await compareWithGolden(
    t,
    "drain",
    events.toSorted((a, b) =>
      a.time.wallMs - b.time.wallMs || a.time.count - b.time.count
    ),
  );
});
