/** Tests what is remembered of the demands that a replica states in its answers. */
import * as ava from "ava";
import * as demands from "./replica_demands.ts";

const test = ava.default;

const NOTHING: demands.ReplicaDemands = {
  rate: "none",
  isLeaving: false,
  pauseMs: undefined,
};

test("the longest of overlapping pauses holds, and leaving is never taken back", (t) => {
  const state = new demands.ReplicaDemandState();
  t.false(state.record(NOTHING, 0));
  t.true(state.record({ ...NOTHING, pauseMs: 3_000 }, 10));
  t.false(state.record({ ...NOTHING, pauseMs: 200 }, 20));
  t.is(state.pausedUntilMs, 3_010);
  t.true(state.record({ ...NOTHING, isLeaving: true }, 30));
  t.false(state.record(NOTHING, 50));
  t.true(state.isLeaving);
});
