/** Tests what is remembered of the demands that a replica states in its answers. */
import * as ava from "ava";
import * as demands from "./replica_demands.ts";

const test = ava.default;

const NOTHING: demands.ReplicaDemands = {
  rate: "none",
  isLeaving: false,
  pauseMs: undefined,
};

test("a rate is kept until an answer to a later request names none", (t) => {
  const state = new demands.ReplicaDemandState();
  t.false(state.record(NOTHING, { sentAtMs: 0, nowMs: 10 }));
  const limited = { ...NOTHING, rate: 1.5 };
  t.true(state.record(limited, { sentAtMs: 5, nowMs: 20 }));
  t.false(state.record(limited, { sentAtMs: 6, nowMs: 21 }));
  // Answers overtake each other: this one was on its way when the rate was heard.
  t.false(state.record(NOTHING, { sentAtMs: 19, nowMs: 400 }));
  t.is(state.rate, 1.5);
  const unreadable = { ...NOTHING, rate: "unreadable" } as const;
  t.false(state.record(unreadable, { sentAtMs: 410, nowMs: 420 }));
  t.is(state.rate, 1.5);
  t.true(state.record({ ...NOTHING, rate: 0 }, { sentAtMs: 420, nowMs: 430 }));
  t.is(state.rate, 0);
  t.true(state.record(NOTHING, { sentAtMs: 440, nowMs: 450 }));
  t.is(state.rate, undefined);
});

test("the longest of overlapping pauses holds, and leaving is never taken back", (t) => {
  const state = new demands.ReplicaDemandState();
  t.true(
    state.record({ ...NOTHING, pauseMs: 3_000 }, { sentAtMs: 0, nowMs: 10 }),
  );
  t.false(
    state.record({ ...NOTHING, pauseMs: 200 }, { sentAtMs: 0, nowMs: 20 }),
  );
  t.is(state.pausedUntilMs, 3_010);
  t.true(
    state.record({ ...NOTHING, isLeaving: true }, { sentAtMs: 0, nowMs: 30 }),
  );
  t.false(state.record(NOTHING, { sentAtMs: 40, nowMs: 50 }));
  t.true(state.isLeaving);
});
