/** Tests when the pace of a stream is offered, and which. */
import * as ava from "ava";
import * as paces from "./stream_pace.ts";

const test = ava.default;

function play(
  arrivals: readonly (readonly [atMs: number, events: number])[],
  hasEnded: boolean,
): readonly number[] {
  const tracker = new paces.StreamPaceTracker();
  const offered: number[] = [];
  const offer = (isEnd: boolean) =>
    tracker.offer(isEnd, (medianGapMs) => {
      offered.push(medianGapMs);
      return true;
    });
  for (const [atMs, events] of arrivals) {
    tracker.recordEvents(events, atMs);
    offer(false);
  }
  if (hasEnded) offer(true);
  return offered;
}

// Guards against EXPOSURE: slow streams end last, and were judged at their ends.
test("a stream is judged once by its first gaps, long before its end", (t) => {
  const arrivals = Array.from({ length: 60 }, (_, at) => [at * 85, 1] as const);
  t.deepEqual(play(arrivals.slice(0, 7), false), []);
  t.deepEqual(play(arrivals.slice(0, 8), false), [85]);
  t.deepEqual(play(arrivals, true), [85]);
});

test("a long prompt at the replica, and events that arrive together, do not change the pace", (t) => {
  const arrivals = [
    [0, 1],
    [30, 1],
    [60, 1],
    [1_500, 1],
    [1_530, 1],
    [1_560, 1],
    [1_620, 2],
    [1_650, 1],
  ] as const;
  t.deepEqual(play(arrivals, true), [30]);
});

test("a short stream is judged at its end, if it has gaps enough", (t) => {
  t.deepEqual(play([[0, 1], [40, 1], [90, 1], [130, 1]], true), [40]);
  t.deepEqual(play([[0, 1], [40, 1], [90, 1]], true), []);
  t.deepEqual(play([], true), []);
});

test("time in which the caller did not read is no gap", (t) => {
  const tracker = new paces.StreamPaceTracker();
  tracker.recordEvents(1, 0);
  tracker.resume(5_000);
  for (let at = 1; at <= 7; at += 1) tracker.recordEvents(1, 5_000 + at * 20);
  tracker.offer(false, (medianGapMs) => {
    t.is(medianGapMs, 20);
    return true;
  });
  t.true(tracker.isJudged);
});

// Guards against EXPOSURE: an entry that lagged now and then judged no stream for a second each
// time, and so hardly any of a slow version's.
test("a gap in which this process lagged is left out, and the stream is judged by the others", (t) => {
  const tracker = new paces.StreamPaceTracker();
  const offered: number[] = [];
  for (let at = 0; at <= 9; at += 1) {
    const hasLagged = at === 2 || at === 5;
    tracker.recordEvents(1, at * 100, hasLagged ? at * 100 - 10 : -Infinity);
    tracker.offer(false, (medianGapMs) => {
      offered.push(medianGapMs, at);
      return true;
    });
  }
  t.deepEqual(offered, [100, 9]);
});
