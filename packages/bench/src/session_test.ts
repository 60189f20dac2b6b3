/** The whole path through separate processes. */
import * as ava from "ava";
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";

const test = ava.default;

test("a request is served end to end, whole and streamed, and billed once", async (t) => {
  const deployment = await deployments.Deployment.start();
  t.teardown(() => deployment.close());
  const caller = new callers.Caller(
    deployment.entryUrl("entry-a"),
    deployments.ACCOUNT_KEYS.counter,
  );
  const whole = await caller.chat({ model: "verse-small" });
  t.is(whole.status, 200);
  t.true(whole.text.startsWith(`${whole.prompt}:verse-small@v1`));
  const streamed = await caller.chat({
    model: "verse-large",
    isStreamed: true,
  });
  t.true(streamed.isComplete);
  t.true(streamed.text.startsWith(`${streamed.prompt}:verse-large@`));
  const order = await caller.order("order-1", { idempotencyKey: "key-1" });
  t.is(order.status, 201);
  await caller.close();
  t.is(await deployment.entry("entry-a").stop(), 0);
  t.is(await deployment.countBilled(), 3);
  t.deepEqual([...await deployment.countOrderRuns()], [["order-1", 1]]);
});
