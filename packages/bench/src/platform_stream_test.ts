/** Tests streams on the platform: complete events, resumption, escalation. */
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, DRAFT } = harnesses;
const { withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;

const ALL_IDS = [1, 2, 3, 4, 5, 6];

test("a confident answer of the smallest model is forwarded", (t) =>
  withHarness(async (harness) => {
    const llm = await harness.addReplica("i-1", "llm", () => ({
      type: "stream",
      events: 6,
      confidence: 90,
    }));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
    t.deepEqual(
      llm.received.map((request) => request.headers["x-jackdawbank-model"]),
      [
        "small",
      ],
    );
    t.is(llm.received[0]?.headers["x-jackdawbank-token-usage"], "600,80");
    t.is(llm.received[0]?.headers["x-jackdawbank-request-priority"], "3");
  }));

test("an answer of low confidence is discarded and the request repeated on the largest model", (t) =>
  withHarness(async (harness) => {
    const llm = await harness.addReplica("i-1", "llm", (request) => ({
      type: "stream",
      events: 6,
      eventIntervalMs: 20,
      confidence: request.headers["x-jackdawbank-model"] === "small" ? 10 : 95,
    }));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.deepEqual(
      llm.received.map((request) => request.headers["x-jackdawbank-model"]),
      [
        "small",
        "large",
      ],
    );
    t.true(llm.received[0]?.wasCancelled);
    t.is(got.headers["x-jackdawbank-response-signature"], "receipt-i-1-2");
  }));

test("a model that the caller names is not changed", (t) =>
  withHarness(async (harness) => {
    const llm = await harness.addReplica("i-1", "llm", () => ({
      type: "stream",
      events: 6,
      confidence: 1,
    }));
    await harness.start();
    await harness.call(ROUTES.draft, {
      ...DRAFT,
      headers: { ...DRAFT.headers, "x-jackdawbank-model": "small" },
    });
    t.deepEqual(
      llm.received.map((request) => request.headers["x-jackdawbank-model"]),
      [
        "small",
      ],
    );
  }));

test("a stream cut within an event continues on another replica without lost or repeated events", (t) =>
  withHarness(async (harness) => {
    let runs = 0;
    const answer = () => {
      runs += 1;
      return runs === 1
        ? {
          type: "stream",
          events: 6,
          confidence: 90,
          disconnectAfterEvents: 3,
        } as const
        : { type: "stream", events: 6, confidence: 90 } as const;
    };
    const first = await harness.addReplica("i-1", "llm", answer);
    const second = await harness.addReplica("i-2", "llm", answer);
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.is(got.body.match(/piece/g)?.length, ALL_IDS.length);
    t.false(got.isTruncated);
    const resumed = [...first.received, ...second.received].find((request) =>
      request.headers["last-event-id"] !== undefined
    );
    t.is(resumed?.headers["last-event-id"], "3");
  }));

test("a stream that stalls is cancelled and continues on another replica", (t) =>
  withHarness(async (harness) => {
    let runs = 0;
    const answer = () => {
      runs += 1;
      return runs === 1
        ? {
          type: "stream",
          events: 6,
          confidence: 90,
          stallAfterEvents: 2,
        } as const
        : { type: "stream", events: 6, confidence: 90 } as const;
    };
    const first = await harness.addReplica("i-1", "llm", answer);
    const second = await harness.addReplica("i-2", "llm", answer);
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    const stalled = [...first.received, ...second.received].find((request) =>
      request.headers["last-event-id"] === undefined
    );
    t.true(stalled?.wasCancelled);
  }));

test("a stalled stream is not cancelled if no other replica could continue it", (t) =>
  withHarness(async (harness) => {
    const llm = await harness.addReplica("i-1", "llm", () => ({
      type: "stream",
      events: 6,
      confidence: 90,
      pauseAfter: { events: 2, durationMs: 1_600 },
    }));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
    t.is(llm.received.length, 1);
  }));

test("a stream that cannot be continued does not look complete", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "llm", () => ({
      type: "stream",
      events: 6,
      confidence: 90,
      disconnectAfterEvents: 3,
    }));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.true(got.isTruncated);
    t.deepEqual(fakes.listEventIds(got.body), [1, 2, 3]);
  }));

test("a stream that may not be resumed runs once, on the largest model", (t) =>
  withHarness(async (harness) => {
    const configuration = harnesses.buildConfiguration();
    const routes = (configuration["routes"] as Record<string, unknown>[]).map(
      (route) => ({ ...route, streamResume: false }),
    );
    harness.store.put("op/config", { ...configuration, routes });
    const llm = await harness.addReplica("i-1", "llm", () => ({
      type: "stream",
      events: 6,
      confidence: 5,
      disconnectAfterEvents: 2,
    }));
    await harness.addReplica(
      "i-2",
      "llm",
      () => ({ type: "stream", events: 6 }),
    );
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    const all = [...harness.replicas.values()].flatMap((replica) =>
      replica.received
    );
    t.is(all.length, 1);
    t.is(all[0]?.headers["x-jackdawbank-model"], "large");
    if (llm.received.length === 1) t.true(got.isTruncated);
  }));

test("the event id of a caller that resumes a stream is forwarded to the replica", (t) =>
  withHarness(async (harness) => {
    const llm = await harness.addReplica("i-1", "llm", () => ({
      type: "stream",
      events: 6,
      confidence: 10,
    }));
    await harness.start();
    const got = await harness.call(ROUTES.draft, {
      ...DRAFT,
      headers: { ...DRAFT.headers, "last-event-id": "4" },
    });
    t.deepEqual(fakes.listEventIds(got.body), [5, 6]);
    t.is(llm.received.length, 1);
    t.is(llm.received[0]?.headers["last-event-id"], "4");
  }));

test("a stream is cancelled at its replica within 500 ms after the caller disconnects", (t) =>
  withHarness(async (harness) => {
    const llm = await harness.addReplica("i-1", "llm", () => ({
      type: "stream",
      events: 1_000,
      eventIntervalMs: 20,
      confidence: 90,
    }));
    await harness.start();
    const abort = new AbortController();
    const call = harness.call(ROUTES.draft, { ...DRAFT, signal: abort.signal })
      .catch(() => undefined);
    await harness.waitFor(() => llm.received.length === 1);
    abort.abort();
    await call;
    await harness.waitFor(() => llm.received[0]?.wasCancelled === true, 500);
    t.pass();
  }));
