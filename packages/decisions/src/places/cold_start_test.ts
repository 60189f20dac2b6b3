import * as ava from "ava";
import * as coldStart from "./cold_start.ts";

const test = ava.default;

const CONTEXT = {
  previous: undefined,
  durationMs: 3_000,
  isFirstView: false,
  wallMs: 1_000_000,
};
const WARM = { startedAtMs: 900_000, coldForMs: 0 };

test("a remaining time counts when it is first seen, and again when it changes", (t) => {
  const entry = { ...WARM, coldForMs: 2_500 };
  const stated = { remainingMs: 2_500, evidence: "entry" } as const;
  const first = { ...CONTEXT, isFirstView: true };
  t.deepEqual(coldStart.findColdness(entry, first), stated);
  t.is(
    coldStart.findColdness(entry, { ...CONTEXT, previous: entry }),
    undefined,
  );
  t.deepEqual(
    coldStart.findColdness(entry, { ...CONTEXT, previous: WARM }),
    stated,
  );
  t.is(
    coldStart.findColdness(WARM, { ...CONTEXT, previous: entry }),
    undefined,
  );
});

test("a start is cold for its duration, and warm after it", (t) => {
  const startedAgo = (ageMs: number) => ({
    coldForMs: 0,
    startedAtMs: CONTEXT.wallMs - ageMs,
  });
  const remainingMs = (ageMs: number) =>
    coldStart.findColdness(startedAgo(ageMs), CONTEXT)?.remainingMs;
  t.is(remainingMs(-60_000), 3_000);
  t.is(remainingMs(500), 3_000);
  t.is(remainingMs(3_000), 500);
  t.is(remainingMs(3_500), undefined);
  const restart = { ...CONTEXT, previous: WARM };
  t.is(coldStart.findColdness(startedAgo(100), restart)?.evidence, "started");
});

test("a replica of unknown start is cold unless it belongs to the first view", (t) => {
  const entry = { startedAtMs: undefined, coldForMs: 0 };
  const first = { ...CONTEXT, isFirstView: true };
  t.is(coldStart.findColdness(entry, first), undefined);
  t.is(coldStart.findColdness(entry, CONTEXT)?.remainingMs, 3_000);
});

test("two owners and a deputy stay within the bound together", (t) => {
  for (const requestsPerS of [5, 8.9, 30, 200]) {
    const limit = { requestsPerS, factor: 1.5, extraRequests: 5 };
    const most = (role: coldStart.GrantorRole) => {
      const bucket = coldStart.computeGrantorBucket(limit, role);
      return bucket === undefined ? 0 : bucket.ratePerS + bucket.burstRequests;
    };
    const bound = coldStart.computeColdBound(limit);
    t.true(2 * most("owner") + most("deputy") <= bound);
    t.true(most("owner") >= 0.3 * bound);
  }
});

test("a bound below one request a second grants nothing", (t) => {
  const limit = { requestsPerS: 0.5, factor: 1.5, extraRequests: 0 };
  t.is(coldStart.computeGrantorBucket(limit, "owner"), undefined);
});
