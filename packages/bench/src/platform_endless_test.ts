/**
 * Tests that replicas which send bytes without end, quickly or slowly, are cut off
 * with bounded memory, and that their callers get the answer of another replica.
 */
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, DRAFT, withHarness } = harnesses;
// Serial, because the tests measure the memory of this process.
const test = ava.default.serial;

const ALL_IDS = [1, 2, 3, 4, 5, 6];
/** Well above the bounds of a response, well below what an unbounded one would take in a second. */
const MAX_ADDED_MEMORY_BYTES = 96 * 1_048_576;
/** Half of the callers' deadline. */
const MAX_ANSWER_MS = 2_500;

/** Measures how far the memory of buffers and of the heap grows while `run` runs. */
async function measurePeak(run: () => Promise<void>): Promise<number> {
  const read = () => {
    const { heapUsed, arrayBuffers, external } = process.memoryUsage();
    return heapUsed + Math.max(arrayBuffers, external);
  };
  const before = read();
  let peak = before;
  const timer = setInterval(() => peak = Math.max(peak, read()), 5);
  await run();
  clearInterval(timer);
  return Math.max(peak, read()) - before;
}

const STREAM_PARTS = [
  "garbage",
  "header-line",
  "headers",
  "informational",
  "event",
  "chunk-extension",
  "failure-body",
  "blank-lines",
  "chunk-size",
  "chunks-of-a-byte",
  "trailers",
  "comments",
  "comment-chunks",
] as const;

for (const part of STREAM_PARTS) {
  test(`a stream goes on at another replica if one sends an endless ${part}`, (t) =>
    withHarness(async (harness) => {
      let runs = 0;
      const answer = (): fakes.ReplicaBehaviour => {
        runs += 1;
        return runs === 1
          ? { type: "endless", part }
          : { type: "stream", events: 6, confidence: 90 };
      };
      await harness.addReplica("i-1", "llm", answer);
      await harness.addReplica("i-2", "llm", answer);
      await harness.start();
      const startedAtMs = performance.now();
      const added = await measurePeak(async () => {
        const got = await harness.call(ROUTES.draft, DRAFT);
        t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
      });
      t.true(added < MAX_ADDED_MEMORY_BYTES, `${added} bytes`);
      const tookMs = performance.now() - startedAtMs;
      t.true(tookMs < MAX_ANSWER_MS, `${tookMs} ms`);
    }));
}

const SERVICE_PARTS = [
  "garbage",
  "headers",
  "informational",
  "body",
  "chunk-extension",
] as const;

for (const part of SERVICE_PARTS) {
  test(`an order whose replica sends an endless ${part} gets an error within its deadline and runs once`, (t) =>
    withHarness(async (harness) => {
      const orders = await harness.addReplica(
        "o-1",
        "desk",
        () => ({ type: "endless", part }),
      );
      await harness.start();
      const added = await measurePeak(async () => {
        const got = await harness.call(ROUTES.order, {
          method: "POST",
          body: "{}",
          headers: { "x-jackdawbank-deadline-ms": "700" },
        });
        t.true(got.status === 502 || got.status === 504, `${got.status}`);
      });
      t.is(orders.received.length, 1);
      t.true(added < MAX_ADDED_MEMORY_BYTES, `${added} bytes`);
    }));
}

test("a stalled stream that drips bytes of an event that never ends goes on at another replica", (t) =>
  withHarness(async (harness) => {
    let runs = 0;
    const answer = (): fakes.ReplicaBehaviour => {
      runs += 1;
      return runs === 1
        ? { type: "drip", intervalMs: 100 }
        : { type: "stream", events: 6, confidence: 90 };
    };
    await harness.addReplica("i-1", "llm", answer);
    await harness.addReplica("i-2", "llm", answer);
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
  }));
