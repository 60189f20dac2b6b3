/** Tests that no sound answer is given up in a stop for a run that has no time to end. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const { DRAFT, ROUTES, withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;

const GRACE_MS = 4_000;
/** The process still accepts requests then, and no more when the replica pauses. */
const CALL_AT_MS = 1_700;
/** Longer than the stop. */
const LATE_MS = 5_000;

async function callDuringStop(harness: harnesses.PlatformHarness) {
  await harness.start({ graceMs: GRACE_MS });
  const stopped = harness.router.stop("SIGTERM");
  await kernel.sleep(CALL_AT_MS);
  const got = await harness.call(ROUTES.draft, {
    ...DRAFT,
    headers: { ...DRAFT.headers, "x-jackdawbank-deadline-ms": "20000" },
  });
  await stopped;
  return got;
}

// Guards against LOST: late in a stop, a stream that paused was cut off from its sound replica and
// resumed at another one, which had not sent anything when the process ended.
test("a stream that pauses late in a stop is kept at its replica", (t) =>
  withHarness(async (harness) => {
    let sends = 0;
    for (const id of ["i-1", "i-2"]) {
      await harness.addReplica(id, "llm", () => {
        sends += 1;
        return sends > 1 ? { type: "stream", events: 4, delayMs: LATE_MS } : {
          type: "stream",
          events: 4,
          confidence: 100,
          pauseAfter: { events: 2, durationMs: 1_200 },
        };
      });
    }
    const got = await callDuringStop(harness);
    t.is(got.status, 200);
    t.false(got.isTruncated);
    t.regex(got.body, /piece 4/);
    t.is(sends, 1);
  }));

// Guards against an answer lost to a stop: late in it, the answer of a small model was dropped, and
// the larger one that was asked instead could not end.
test("an answer of low confidence is kept if a larger model has no time to answer", (t) =>
  withHarness(async (harness) => {
    const engine = await harness.addReplica(
      "i-1",
      "llm",
      (request) => ({
        type: "stream",
        events: 2,
        confidence: 5,
        delayMs: harnesses.isSmallModel(request) ? 900 : LATE_MS,
      }),
    );
    const got = await callDuringStop(harness);
    t.is(got.status, 200);
    t.false(got.isTruncated);
    t.is(engine.received.length, 1);
  }));
