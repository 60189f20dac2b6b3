/** Tests when a stream without events counts as stalled: replicas that are gone, busy or prefilling. */
import * as ava from "ava";
import * as silence from "./stream_silence.ts";

const test = ava.default;

const SILENT_STREAM: silence.StreamStallInput = {
  waitedMs: 1_500,
  limitMs: 1_200,
  replicaSilentMs: 1_500,
  pendingPrefillMs: 0,
};

test("a stream is stalled if its replica sends nothing on any stream, or after a longer wait", (t) => {
  t.true(silence.isStreamStalled(SILENT_STREAM));
  t.false(silence.isStreamStalled({ ...SILENT_STREAM, replicaSilentMs: 100 }));
  t.true(
    silence.isStreamStalled({
      ...SILENT_STREAM,
      waitedMs: 4_000,
      replicaSilentMs: 100,
    }),
  );
});

test("a stream is not stalled while its replica prefills a very long prompt", (t) => {
  const prefilling = { ...SILENT_STREAM, pendingPrefillMs: 2_000 };
  t.false(silence.isStreamStalled({ ...prefilling, waitedMs: 2_600 }));
  t.true(
    silence.isStreamStalled({
      ...prefilling,
      waitedMs: 3_300,
      replicaSilentMs: 3_300,
    }),
  );
});

test("a replica that hangs is given up, however much prefill is pending there", (t) => {
  t.true(
    silence.isStreamStalled({
      ...SILENT_STREAM,
      waitedMs: 6_000,
      replicaSilentMs: 6_000,
      pendingPrefillMs: 60_000,
    }),
  );
});
