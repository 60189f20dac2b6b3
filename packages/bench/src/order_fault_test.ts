/** Tests that orders run at most once under failures, and that those refused as not run did not run. */
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

/** Compares the callers' responses to each order with its runs. */
async function assertOrders(
  t: ava.ExecutionContext,
  deployment: deployments.Deployment,
  results: ReadonlyMap<string, readonly callers.CallResult[]>,
): Promise<void> {
  const runs = await deployment.countOrderRuns();
  for (const [id, responses] of results) {
    const count = runs.get(id) ?? 0;
    t.true(count <= 1, `${id} ran ${count} times`);
    if (responses.some((result) => result.status === 201)) {
      t.is(count, 1, `${id} was confirmed but did not run`);
    }
    if (responses.every((result) => result.notRun === true)) {
      t.is(count, 0, `${id} was refused as not run but ran`);
    }
    t.true(
      responses.every((result) => result.status > 0),
      `${id} got no answer`,
    );
  }
}

/** Store writes for claims that have ended at a process. */
async function readClaimWrites(
  deployment: deployments.Deployment,
  id: string,
): Promise<number> {
  const status = await deployment.readStatus(id) as {
    gate?: { claimWrites: number };
  };
  return status.gate?.claimWrites ?? 0;
}

/** Finds the process that owns the claim journals: the one that has written claims. */
async function findOwner(deployment: deployments.Deployment): Promise<string> {
  let owner = "";
  await processes.waitFor("an owner has written a claim", async () => {
    for (const id of deployment.upstreams.keys()) {
      if (await readClaimWrites(deployment, id) > 0) owner = id;
    }
    return owner !== "";
  });
  return owner;
}

test("concurrent orders with the same key through two entries run once", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan({ delayMs: 50 }));
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  const results = new Map<string, readonly callers.CallResult[]>();
  await Promise.all(Array.from({ length: 12 }, async (_, index) => {
    const id = `order-${index}`;
    const options = { idempotencyKey: `key-${index}` };
    results.set(
      id,
      await Promise.all([
        callerA.placeOrder(id, options),
        callerB.placeOrder(id, options),
      ]),
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

test("an order that reuses a key with another body is refused and not run", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const caller = fixtures.createCaller(t, deployment);
  t.is(
    (await caller.placeOrder("order-1", { idempotencyKey: "k" })).status,
    201,
  );
  const changed = await caller.placeOrder("order-2", { idempotencyKey: "k" });
  t.is(changed.status, 422);
  t.is(changed.notRun, true);
  const otherAccount = fixtures.createCaller(t, deployment, {
    key: deployments.ACCOUNT_KEYS.hr,
  });
  t.is(
    (await otherAccount.placeOrder("order-3", { idempotencyKey: "k" })).status,
    201,
  );
  t.deepEqual(
    await deployment.countOrderRuns(),
    new Map([["order-1", 1], ["order-3", 1]]),
  );
});

for (const phase of ["before", "during", "after"] as const) {
  test(`no order runs twice if the owner is killed ${phase} the append of its claim`, async (t) => {
    const deployment = await fixtures.deploy(t, buildPlan({ delayMs: 300 }));
    const callerA = fixtures.createCaller(t, deployment);
    const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
    await callerA.placeOrder("first", { idempotencyKey: "first" });
    const owner = await findOwner(deployment);
    if (phase === "during") await deployment.setStoreFaults({ delayMs: 400 });
    if (phase === "before") deployment.upstream(owner).process.suspend();
    const ids = Array.from({ length: 10 }, (_, index) => `order-${index}`);
    const firstCalls = ids.map((id) =>
      callerA.placeOrder(id, { idempotencyKey: id, deadlineMs: 4_000 })
    );
    await new Promise((resolve) => setTimeout(resolve, 150));
    await deployment.upstream(owner).process.kill();
    await deployment.setStoreFaults({ delayMs: 0 });
    const firstResults = await Promise.all(firstCalls);
    const repeatedResults = await Promise.all(
      ids.map((id) =>
        callerB.placeOrder(id, { idempotencyKey: id, deadlineMs: 5_000 })
      ),
    );
    const results = new Map(ids.map((id, index) => [
      id,
      [
        firstResults[index] as callers.CallResult,
        repeatedResults[index] as callers.CallResult,
      ],
    ]));
    await assertOrders(t, deployment, results);
  });
}

test("no order runs twice if owners are killed twice while the store's replies are lost", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan({ delayMs: 100 }));
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  await callerA.placeOrder("first", { idempotencyKey: "first" });
  const ids = Array.from({ length: 10 }, (_, index) => `order-${index}`);
  const results = new Map<string, callers.CallResult[]>(
    ids.map((id) => [id, []]),
  );
  for (let round = 0; round < 2; round += 1) {
    await deployment.setStoreFaults({ loseReplies: 4 });
    const calls = ids.map(async (id) => {
      const caller = round === 0 ? callerA : callerB;
      const result = await caller.placeOrder(id, {
        idempotencyKey: id,
        deadlineMs: 5_000,
      });
      results.get(id)?.push(result);
    });
    await new Promise((resolve) => setTimeout(resolve, 60));
    const owner = await findOwner(deployment);
    await deployment.upstream(owner).process.kill();
    await Promise.all(calls);
    await deployment.startUpstream(deployment.upstream(owner).plan);
    await deployment.publishVmList();
    await deployment.waitUntilServed("entry-b", "service:orders");
  }
  await assertOrders(t, deployment, results);
});

test("after an entry is killed, a repeat through another one gets the answer of the first run", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan({ delayMs: 500 }));
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  const ids = Array.from({ length: 8 }, (_, index) => `order-${index}`);
  const firstCalls = ids.map((id) =>
    callerA.placeOrder(id, { idempotencyKey: id })
  );
  await processes.waitFor(
    "all orders run",
    async () => (await deployment.countOrderRuns()).size === ids.length,
  );
  await deployment.entry("entry-a").kill();
  t.true((await Promise.all(firstCalls)).every((result) => !result.isComplete));
  const repeatedResults = await Promise.all(
    ids.map((id) => callerB.placeOrder(id, { idempotencyKey: id })),
  );
  t.true(repeatedResults.every((result) => result.status === 201));
  t.true(
    repeatedResults.every((result) =>
      result.headers["idempotent-replayed"] === "true"
    ),
  );
  t.true(
    [...(await deployment.countOrderRuns()).values()].every((runs) =>
      runs === 1
    ),
  );
});

test("no order runs twice if a suspended owner resumes after a takeover", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan({ delayMs: 20 }));
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  await callerA.placeOrder("first", { idempotencyKey: "first" });
  const owner = await findOwner(deployment);
  const writesBefore = await readClaimWrites(deployment, owner);
  const ids = Array.from({ length: 20 }, (_, index) => `order-${index}`);
  const suspendedOwner = deployment.upstream(owner).process;
  suspendedOwner.suspend();
  const firstCalls = ids.map((id) =>
    callerA.placeOrder(id, { idempotencyKey: id, deadlineMs: 12_000 })
  );
  await deployment.waitForUpstreamsAtMost("entry-b", "service:orders", 1);
  const repeatedResults = await Promise.all(
    ids.map((id) =>
      callerB.placeOrder(id, { idempotencyKey: id, deadlineMs: 6_000 })
    ),
  );
  t.true(repeatedResults.some((result) => result.status === 201));
  suspendedOwner.resume();
  const firstResults = await Promise.all(firstCalls);
  const results = new Map(ids.map((id, index) => [
    id,
    [
      firstResults[index] as callers.CallResult,
      repeatedResults[index] as callers.CallResult,
    ],
  ]));
  await assertOrders(t, deployment, results);
  // An append of the owner that was suspended fails, and it is deposed; else it has appended nothing.
  const events = await deployment.readTimeline();
  const isDeposed = events.some((event) =>
    event.processId === owner && event.name === "claims.deposed"
  );
  t.true(
    isDeposed || await readClaimWrites(deployment, owner) === writesBefore,
  );
});

test("orders run once even if the store's replies to the appends of their claims are lost", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const caller = fixtures.createCaller(t, deployment);
  await caller.placeOrder("first", { idempotencyKey: "first" });
  await deployment.setStoreFaults({ loseReplies: 6 });
  const ids = Array.from({ length: 12 }, (_, index) => `order-${index}`);
  const results = await Promise.all(
    ids.map((id) => caller.placeOrder(id, { idempotencyKey: id })),
  );
  t.true(results.every((result) => result.status === 201));
  await assertOrders(
    t,
    deployment,
    new Map(
      ids.map((id, index) => [id, [results[index] as callers.CallResult]]),
    ),
  );
});

test("the outcome of an order is unknown after its deadline, and a repeat gets the stored answer", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan({ delayMs: 1_200 }));
  const caller = fixtures.createCaller(t, deployment);
  const timedOut = await caller.placeOrder("slow", {
    idempotencyKey: "slow",
    deadlineMs: 400,
  });
  t.is(timedOut.status, 504);
  const runs = JSON.stringify([...await deployment.countOrderRuns()]);
  t.is(timedOut.notRun, "unknown", `runs ${runs}: ${timedOut.errorKind}`);
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

test("during a store outage orders with a new key are refused as not run, others are served", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const caller = fixtures.createCaller(t, deployment);
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

test("the outcome of an order is unknown if its owner is killed while it runs", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan({ delayMs: 800 }));
  const caller = fixtures.createCaller(t, deployment);
  const running = caller.placeOrder("order", { idempotencyKey: "key" });
  await processes.waitFor(
    "the order runs",
    async () => (await deployment.countOrderRuns()).size > 0,
  );
  await deployment.upstream(await findOwner(deployment)).process.kill();
  const result = await running;
  t.is(result.status, 502);
  t.is(result.errorKind, "outcome-unknown");
  const repeated = await caller.placeOrder("order", { idempotencyKey: "key" });
  t.is(repeated.errorKind, "outcome-unknown");
  t.deepEqual(await deployment.countOrderRuns(), new Map([["order", 1]]));
});
