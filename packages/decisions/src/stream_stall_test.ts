/** Streams that bring nothing: replicas that are gone, busy for one, or reading. */
import * as ava from "ava";
import * as silence from "./stream_stall.ts";

const test = ava.default;

const QUIET: silence.StreamStallInput = {
  waitedMs: 1_500,
  limitMs: 1_200,
  replicaSilentMs: 1_500,
  pendingPrefillMs: 0,
};

test("a stream is silent where its replica sends nothing to anybody", (t) => {
  t.true(silence.isStreamStalled(QUIET));
  t.false(silence.isStreamStalled({ ...QUIET, replicaSilentMs: 100 }));
  t.true(
    silence.isStreamStalled({
      ...QUIET,
      waitedMs: 4_000,
      replicaSilentMs: 100,
    }),
  );
});

test("a replica that reads a very long prompt is given the time that reading takes", (t) => {
  const reading = { ...QUIET, pendingPrefillMs: 2_000 };
  t.false(silence.isStreamStalled({ ...reading, waitedMs: 2_600 }));
  t.true(
    silence.isStreamStalled({
      ...reading,
      waitedMs: 3_300,
      replicaSilentMs: 3_300,
    }),
  );
});

test("whatever is said to wait there, a replica that hangs is given up", (t) => {
  t.true(
    silence.isStreamStalled({
      ...QUIET,
      waitedMs: 6_000,
      replicaSilentMs: 6_000,
      pendingPrefillMs: 60_000,
    }),
  );
});
