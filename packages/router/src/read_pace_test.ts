/** Tests which answers are read more slowly because of their small pieces. */
import * as ava from "ava";
import * as paces from "./read_pace.ts";

const test = ava.default;
const MS_PER_S = 1_000;

test("a stream of 500 small events a second is never paused", (t) => {
  const pace = new paces.ReadPace(0);
  for (let event = 0; event < 60 * 500; event += 1) {
    t.is(pace.record(1, 2 * event), 0);
  }
});

test("a stored answer of 4,000 small events is not paused", (t) => {
  t.is(new paces.ReadPace(0).record(4_000, 0), 0);
});

// Guards against one replica's small events that take all of the processor's time.
test("events without end are read at a bounded rate", (t) => {
  const pace = new paces.ReadPace(0);
  let nowMs = 0;
  let pieces = 0;
  while (nowMs < 60 * MS_PER_S) {
    pieces += 1_000;
    nowMs += pace.record(1_000, nowMs);
  }
  t.true(pieces < 60 * 2_500);
});
