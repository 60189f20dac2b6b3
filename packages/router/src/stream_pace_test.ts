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
test("a gap in which this process lagged for long is left out, and the stream is judged by the others", (t) => {
  const tracker = new paces.StreamPaceTracker();
  const offered: number[] = [];
  for (let at = 0; at <= 9; at += 1) {
    const totalLagMs = at < 2 ? 0 : at < 5 ? 35 : 70;
    tracker.recordEvents(1, at * 100, totalLagMs);
    tracker.offer(false, (medianGapMs) => {
      offered.push(medianGapMs, at);
      return true;
    });
  }
  t.deepEqual(offered, [100, 9]);
});

// Guards against EXPOSURE: the longest gaps of a slow stream were left out for a short lag in them.
test("a gap much longer than the lag in it counts without the lag", (t) => {
  const tracker = new paces.StreamPaceTracker();
  const offered: number[] = [];
  for (let at = 0; at <= 7; at += 1) {
    tracker.recordEvents(1, at * 1_000, at * 40);
  }
  tracker.offer(false, (medianGapMs) => offered.push(medianGapMs) > 0);
  t.deepEqual(offered, [960]);
});

/** Offers the least median after each event and while the last gap is open. */
function playMinima(
  gapsMs: readonly number[],
  openGapMs: number,
): readonly number[] {
  const tracker = new paces.StreamPaceTracker();
  const offered: number[] = [];
  const offer = (nowMs: number) =>
    tracker.offerMinimum(nowMs, 0, (minimumGapMs) => {
      offered.push(minimumGapMs);
      return false;
    });
  let nowMs = 0;
  tracker.recordEvents(1, nowMs);
  for (const gapMs of gapsMs) {
    nowMs += gapMs;
    tracker.recordEvents(1, nowMs);
    offer(nowMs);
  }
  for (let openMs = 0; openMs <= openGapMs; openMs += 5) offer(nowMs + openMs);
  return offered;
}

test("the least median is offered as soon as four gaps are that long, the current one included", (t) => {
  t.deepEqual(playMinima([400, 500], 2_000), []);
  t.deepEqual(playMinima([400, 500, 600], 0), []);
  const offered = playMinima([400, 500, 600], 2_000);
  t.deepEqual(offered, [5, 15, 35, 75, 155, 315, 400]);
  t.deepEqual(playMinima([400, 500, 600, 450], 0), [400]);
  t.deepEqual(playMinima([30, 30, 900, 900, 900], 0), [30]);
  t.is(playMinima([30, 30, 900, 900, 900], 1_000).at(-1), 900);
});

test("a least median that is no evidence yet may become so with later gaps", (t) => {
  t.deepEqual(playMinima([30, 40, 50, 60, 70], 0), [30, 40]);
});
