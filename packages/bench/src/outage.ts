/**
 * Measures the effect of a long store outage on orders. Orders with and without
 * an idempotency key are sent at a steady rate before, during and after the
 * outage, and the responses are compared with the runs at the order services.
 */
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";

const BEFORE_MS = 3_000;
const OUTAGE_MS = 60_000;
const AFTER_MS = 5_000;
const ORDERS_PER_SECOND = 10;
const DEADLINE_MS = 4_000;

/** An order with the result that its caller got. */
interface OrderResult {
  readonly id: string;
  readonly isKeyed: boolean;
  readonly phase: "before" | "outage" | "after";
  readonly result: callers.CallResult;
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function classify(
  result: callers.CallResult,
): "served" | "not run" | "unknown" {
  if (result.status === 201) return "served";
  return result.notRun === true ? "not run" : "unknown";
}

async function sendOrders(
  deployment: deployments.Deployment,
): Promise<readonly OrderResult[]> {
  const caller = new callers.Caller(
    deployment.entryUrl("entry-a"),
    deployments.ACCOUNT_KEYS.counter,
  );
  const calls: Promise<OrderResult>[] = [];
  const startedAtMs = performance.now();
  const send = async (phase: OrderResult["phase"]): Promise<OrderResult> => {
    const id = `order-${calls.length}`;
    const isKeyed = calls.length % 2 === 0;
    const key = isKeyed ? { idempotencyKey: id } : {};
    const result = await caller.placeOrder(id, {
      ...key,
      deadlineMs: DEADLINE_MS,
    });
    return { id, isKeyed, phase, result };
  };
  const sendUntil = async (endMs: number, phase: OrderResult["phase"]) => {
    while (performance.now() - startedAtMs < endMs) {
      calls.push(send(phase));
      await wait(1_000 / ORDERS_PER_SECOND);
    }
  };
  await sendUntil(BEFORE_MS, "before");
  await deployment.setStoreFaults({ mode: "down" });
  await sendUntil(BEFORE_MS + OUTAGE_MS, "outage");
  await deployment.setStoreFaults({ mode: "up" });
  await sendUntil(BEFORE_MS + OUTAGE_MS + AFTER_MS, "after");
  const results = await Promise.all(calls);
  await caller.close();
  return results;
}

async function main(): Promise<void> {
  const deployment = await deployments.Deployment.start(
    deployments.buildStandardPlan({
      upstreams: ["order-a", "order-b"].map((id) => ({
        id,
        dataCentre: "bkk-a",
        orders: {},
      })),
    }),
  );
  const results = await sendOrders(deployment);
  const runs = await deployment.countOrderRuns();
  const counts: Record<string, number> = {};
  let falseRefusals = 0;
  let ordersRunRepeatedly = 0;
  for (const { id, isKeyed, phase, result } of results) {
    const name = `${phase}, ${isKeyed ? "keyed" : "unkeyed"}: ${
      classify(result)
    }`;
    counts[name] = (counts[name] ?? 0) + 1;
    const runCount = runs.get(id) ?? 0;
    if (runCount > 1) ordersRunRepeatedly += 1;
    if (runCount > 0 && classify(result) === "not run") falseRefusals += 1;
  }
  await deployment.close();
  process.stdout.write(
    `${
      JSON.stringify({ counts, falseRefusals, doubles: ordersRunRepeatedly })
    }\n`,
  );
}

await main();
