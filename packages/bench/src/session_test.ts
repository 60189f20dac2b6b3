/** Tests requests end to end through separate processes. */
import * as ava from "ava";
import * as openai from "openai";
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";

const test = ava.default;

test("chats, streamed or not, and orders are served end to end and billed once", async (t) => {
  const deployment = await deployments.Deployment.start();
  t.teardown(() => deployment.close());
  const caller = new callers.Caller(
    deployment.entryUrl("entry-a"),
    deployments.ACCOUNT_KEYS.counter,
  );
  const unstreamed = await caller.chat({ model: "verse-small" });
  t.is(unstreamed.status, 200);
  t.true(unstreamed.text.startsWith(`${unstreamed.prompt}:verse-small@v1`));
  const streamed = await caller.chat({
    model: "verse-large",
    isStreamed: true,
  });
  t.true(streamed.isComplete);
  t.true(streamed.text.startsWith(`${streamed.prompt}:verse-large@`));
  const order = await caller.placeOrder("order-1", { idempotencyKey: "key-1" });
  t.is(order.status, 201);
  await caller.close();
  t.is(await deployment.entry("entry-a").stop(), 0);
  t.is(await deployment.countBilled(), 3);
  t.deepEqual([...await deployment.countOrderRuns()], [["order-1", 1]]);
});

test("an unmodified OpenAI client lists models and chats, streamed or not", async (t) => {
  const deployment = await fixtures.deploy(t);
  const client = new openai.OpenAI({
    baseURL: `${deployment.entryUrl("entry-a")}/v1`,
    apiKey: deployments.ACCOUNT_KEYS.counter,
    maxRetries: 0,
  });
  const models = (await client.models.list()).data.map((model) => model.id);
  t.deepEqual(models, ["verse-small", "verse-large", "verse"]);
  const messages = [{ role: "user" as const, content: "a verse" }];
  const unstreamed = await client.chat.completions.create({
    model: "verse-small",
    messages,
  });
  t.true(
    unstreamed.choices[0]?.message.content?.startsWith(
      "a verse:verse-small@v1",
    ),
  );
  t.is(unstreamed.usage?.completion_tokens, 8);
  const stream = await client.chat.completions.create({
    model: "verse-large",
    messages,
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = "";
  let completionTokens = 0;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
    completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
  }
  t.true(text.startsWith("a verse:verse-large@"));
  t.is(completionTokens, 8);
  const error = await t.throwsAsync(
    client.chat.completions.create({ model: "none", messages }),
    { instanceOf: openai.NotFoundError },
  );
  t.is(error.code, "unknown-model");
});
