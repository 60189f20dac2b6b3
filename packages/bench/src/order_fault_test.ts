/** A call that may not be repeated runs at most once, and a refusal that says "not run" is true. */
import * as ava from "ava";
import type * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

function buildPlan(
  orders: { delayMs: number } = { delayMs: 5 },
): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      { id: "order-a", dataCentre: "bkk-a", orders },
      { id: "order-b", dataCentre: "bkk-b", orders },
    ],
  });
}

/** Checks what callers were told against what ran. */
async function assertOrders(
  t: ava.ExecutionContext,
  deployment: deployments.Deployment,
  results: ReadonlyMap<string, readonly callers.CallResult[]>,
): Promise<void> {
  const runs = await deployment.countOrderRuns();
  for (const [id, told] of results) {
    const count = runs.get(id) ?? 0;
    t.true(count <= 1, `${id} ran ${count} times`);
    if (told.some((result) => result.status === 201)) {
      t.is(count, 1, `${id} was confirmed`);
    }
    if (told.every((result) => result.notRun === true)) {
      t.is(count, 0, `${id} was refused`);
    }
    t.true(told.every((result) => result.status > 0), `${id} got an answer`);
  }
}

/** The upstream that owns the journals: the one that has written claims. */
async function findOwner(deployment: deployments.Deployment): Promise<string> {
  let owner = "";
  await processes.waitFor("an owner has written a claim", async () => {
    for (const id of deployment.upstreams.keys()) {
      const status = await deployment.readStatus(id) as {
        gate?: { claimWrites: number };
      };
      if ((status.gate?.claimWrites ?? 0) > 0) owner = id;
    }
    return owner !== "";
  });
  return owner;
}

function other(id: string): string {
  return id === "order-a" ? "order-b" : "order-a";
}

test("the same key at once through two entries runs once", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan({ delayMs: 50 }));
  const a = fixtures.callFor(t, deployment);
  const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
  const results = new Map<string, readonly callers.CallResult[]>();
  await Promise.all(Array.from({ length: 12 }, async (_, at) => {
    const id = `order-${at}`;
    const options = { idempotencyKey: `key-${at}` };
    results.set(
      id,
      await Promise.all([a.placeOrder(id, options), b.placeOrder(id, options)]),
    );
  }));
  await assertOrders(t, deployment, results);
  const all = [...results.values()].flat();
  t.is(all.filter((result) => result.status === 201).length, 24);
  t.is(
    all.filter((result) => result.headers["idempotent-replayed"] === "true")
      .length,
    12,
  );
});

test("the same key with another body is refused and not run", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const caller = fixtures.callFor(t, deployment);
  t.is(
    (await caller.placeOrder("order-1", { idempotencyKey: "k" })).status,
    201,
  );
  const changed = await caller.placeOrder("order-2", { idempotencyKey: "k" });
  t.is(changed.status, 422);
  t.is(changed.notRun, true);
  const strangersKey = fixtures.callFor(t, deployment, {
    key: deployments.ACCOUNT_KEYS.hr,
  });
  t.is(
    (await strangersKey.placeOrder("order-3", { idempotencyKey: "k" })).status,
    201,
  );
  t.deepEqual(
    await deployment.countOrderRuns(),
    new Map([["order-1", 1], ["order-3", 1]]),
  );
});

for (const phase of ["before", "in", "after"] as const) {
  test(`an owner killed ${phase} the append of a claim doubles nothing`, async (t) => {
    const deployment = await fixtures.startFor(t, buildPlan({ delayMs: 300 }));
    const a = fixtures.callFor(t, deployment);
    const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
    await a.placeOrder("first", { idempotencyKey: "first" });
    const owner = await findOwner(deployment);
    if (phase === "in") await deployment.setStoreFaults({ delayMs: 400 });
    if (phase === "before") deployment.upstream(owner).process.suspend();
    const ids = Array.from({ length: 10 }, (_, at) => `order-${at}`);
    const firsts = ids.map((id) =>
      a.placeOrder(id, { idempotencyKey: id, deadlineMs: 4_000 })
    );
    await new Promise((resolve) => setTimeout(resolve, 150));
    await deployment.upstream(owner).process.kill();
    await deployment.setStoreFaults({ delayMs: 0 });
    const told = await Promise.all(firsts);
    const repeated = await Promise.all(
      ids.map((id) =>
        b.placeOrder(id, { idempotencyKey: id, deadlineMs: 5_000 })
      ),
    );
    const results = new Map(ids.map((id, at) => [
      id,
      [told[at] as callers.CallResult, repeated[at] as callers.CallResult],
    ]));
    await assertOrders(t, deployment, results);
  });
}

test("an owner killed while the store loses replies, twice over, doubles nothing", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan({ delayMs: 100 }));
  const a = fixtures.callFor(t, deployment);
  const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
  await a.placeOrder("first", { idempotencyKey: "first" });
  const ids = Array.from({ length: 10 }, (_, at) => `order-${at}`);
  const told = new Map<string, callers.CallResult[]>(ids.map((id) => [id, []]));
  for (let round = 0; round < 2; round += 1) {
    await deployment.setStoreFaults({ loseReplies: 4 });
    const calls = ids.map(async (id) => {
      const caller = round === 0 ? a : b;
      const result = await caller.placeOrder(id, {
        idempotencyKey: id,
        deadlineMs: 5_000,
      });
      told.get(id)?.push(result);
    });
    await new Promise((resolve) => setTimeout(resolve, 60));
    const owner = await findOwner(deployment);
    await deployment.upstream(owner).process.kill();
    await Promise.all(calls);
    await deployment.startUpstream(deployment.upstream(owner).plan);
    await deployment.publishVmList();
    await deployment.waitUntilServed("entry-b", "service:orders");
  }
  await assertOrders(t, deployment, told);
});

test("an entry killed in mid-order: the repeat through another gives the first one's answer", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan({ delayMs: 500 }));
  const a = fixtures.callFor(t, deployment);
  const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
  const ids = Array.from({ length: 8 }, (_, at) => `order-${at}`);
  const firsts = ids.map((id) => a.placeOrder(id, { idempotencyKey: id }));
  await processes.waitFor(
    "all orders run",
    async () => (await deployment.countOrderRuns()).size === ids.length,
  );
  await deployment.entry("entry-a").kill();
  t.true((await Promise.all(firsts)).every((result) => !result.isComplete));
  const repeats = await Promise.all(
    ids.map((id) => b.placeOrder(id, { idempotencyKey: id })),
  );
  t.true(repeats.every((result) => result.status === 201));
  t.true(
    repeats.every((result) => result.headers["idempotent-replayed"] === "true"),
  );
  t.true(
    [...(await deployment.countOrderRuns()).values()].every((runs) =>
      runs === 1
    ),
  );
});

test("a frozen owner that wakes after a take-over doubles nothing", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan({ delayMs: 20 }));
  const a = fixtures.callFor(t, deployment);
  const b = fixtures.callFor(t, deployment, { entry: "entry-b" });
  await a.placeOrder("first", { idempotencyKey: "first" });
  const owner = await findOwner(deployment);
  const ids = Array.from({ length: 20 }, (_, at) => `order-${at}`);
  const frozen = deployment.upstream(owner).process;
  frozen.suspend();
  const firsts = ids.map((id) =>
    a.placeOrder(id, { idempotencyKey: id, deadlineMs: 12_000 })
  );
  await deployment.waitForUpstreamsAtMost("entry-b", "service:orders", 1);
  const repeated = await Promise.all(
    ids.map((id) =>
      b.placeOrder(id, { idempotencyKey: id, deadlineMs: 6_000 })
    ),
  );
  t.true(repeated.some((result) => result.status === 201));
  frozen.resume();
  const told = await Promise.all(firsts);
  const results = new Map(ids.map((id, at) => [
    id,
    [told[at] as callers.CallResult, repeated[at] as callers.CallResult],
  ]));
  await assertOrders(t, deployment, results);
  await processes.waitFor(
    "the other one is deposed or idle",
    () => deployment.upstream(other(owner)).process.isRunning,
  );
});

test("a claim whose append's reply is lost still runs once", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const caller = fixtures.callFor(t, deployment);
  await caller.placeOrder("first", { idempotencyKey: "first" });
  await deployment.setStoreFaults({ loseReplies: 6 });
  const ids = Array.from({ length: 12 }, (_, at) => `order-${at}`);
  const told = await Promise.all(
    ids.map((id) => caller.placeOrder(id, { idempotencyKey: id })),
  );
  t.true(told.every((result) => result.status === 201));
  await assertOrders(
    t,
    deployment,
    new Map(ids.map((id, at) => [id, [told[at] as callers.CallResult]])),
  );
});

test("an order service slow beyond the deadline: the caller is told the truth, repeats replay", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan({ delayMs: 1_200 }));
  const caller = fixtures.callFor(t, deployment);
  const late = await caller.placeOrder("slow", {
    idempotencyKey: "slow",
    deadlineMs: 400,
  });
  t.is(late.status, 504);
  t.is(late.notRun, "unknown");
  const inFlight = await caller.placeOrder("slow", {
    idempotencyKey: "slow",
    deadlineMs: 300,
  });
  t.is(inFlight.status, 409);
  t.is(inFlight.errorKind, "key-in-flight");
  const repeated = await caller.placeOrder("slow", { idempotencyKey: "slow" });
  t.is(repeated.status, 201);
  t.is(repeated.headers["idempotent-replayed"], "true");
  t.deepEqual(await deployment.countOrderRuns(), new Map([["slow", 1]]));
});

test("in a store outage keyed orders are refused as not run, others go on", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const caller = fixtures.callFor(t, deployment);
  await caller.placeOrder("first", { idempotencyKey: "first" });
  await deployment.setStoreFaults({ mode: "down" });
  const [keyed, plain] = await Promise.all([
    caller.placeOrder("keyed", { idempotencyKey: "keyed", deadlineMs: 1_000 }),
    caller.placeOrder("plain"),
  ]);
  t.is(keyed.status, 503);
  t.is(keyed.notRun, true);
  t.is(plain.status, 201);
  const known = await caller.placeOrder("first", { idempotencyKey: "first" });
  t.is(known.headers["idempotent-replayed"], "true");
  await deployment.setStoreFaults({ mode: "up" });
  await processes.waitFor(
    "the refused order runs when it is repeated",
    async () =>
      (await caller.placeOrder("keyed", { idempotencyKey: "keyed" })).status ===
        201,
  );
  t.deepEqual(
    await deployment.countOrderRuns(),
    new Map([["first", 1], ["keyed", 1], ["plain", 1]]),
  );
});

test("an owner killed in mid-run: the caller learns that the outcome is unknown", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan({ delayMs: 800 }));
  const caller = fixtures.callFor(t, deployment);
  const running = caller.placeOrder("order", { idempotencyKey: "key" });
  await processes.waitFor(
    "the order runs",
    async () => (await deployment.countOrderRuns()).size > 0,
  );
  await deployment.upstream(await findOwner(deployment)).process.kill();
  const told = await running;
  t.is(told.status, 502);
  t.is(told.errorKind, "outcome-unknown");
  const repeated = await caller.placeOrder("order", { idempotencyKey: "key" });
  t.is(repeated.errorKind, "outcome-unknown");
  t.deepEqual(await deployment.countOrderRuns(), new Map([["order", 1]]));
});
