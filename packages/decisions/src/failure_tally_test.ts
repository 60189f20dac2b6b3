/** Tests how many failures of each replica count against its version. */
import * as ava from "ava";
import * as tallies from "./failure_tally.ts";

const test = ava.default;

const REPLICAS = 6;

/** Counts failures of the replicas in turn; returns how many counted. */
function countFailures(
  tally: tallies.FailureTally,
  failures: number,
  replicaKeys: readonly number[],
): number {
  for (let at = 0; at < failures; at += 1) {
    tally.tryCount(replicaKeys[at % replicaKeys.length] ?? 0, REPLICAS);
  }
  return tally.counted;
}

test("a few failures of a single replica count, however many it has", (t) => {
  t.is(countFailures(new tallies.CappedTally(), 100, [1]), 2);
  t.is(countFailures(new tallies.ProportionalTally(), 100, [1]), 4);
});

test("failures of a minority of the replicas are limited", (t) => {
  t.is(countFailures(new tallies.ProportionalTally(), 100, [1, 2]), 8);
});

// Guards against EXPOSURE: once the fixed number was counted, only good answers counted.
test("failures that most replicas have count without an end", (t) => {
  const replicaKeys = [1, 2, 3, 4, 5, 6];
  t.is(countFailures(new tallies.CappedTally(), 300, replicaKeys), 12);
  t.is(countFailures(new tallies.ProportionalTally(), 300, replicaKeys), 300);
});

test("failures of a replica count again once the others have as many", (t) => {
  const tally = new tallies.ProportionalTally();
  countFailures(tally, 100, [1]);
  t.is(countFailures(tally, 30, [2, 3, 4]), 34);
  t.false(tally.tryCount(1, REPLICAS));
  t.is(countFailures(tally, 3 * 91, [2, 3, 4]), 34 + 273);
  t.true(tally.tryCount(1, REPLICAS));
});

test("both replicas of a version must fail before failures of one count without an end", (t) => {
  const tally = new tallies.ProportionalTally();
  for (let at = 0; at < 50; at += 1) tally.tryCount(1, 2);
  t.is(tally.counted, 4);
  for (let at = 0; at < 50; at += 1) tally.tryCount(2, 2);
  t.is(tally.counted, 54);
});
