/** Tests of the measurement of unanswered heartbeats. */
import * as ava from "ava";
import * as silences from "./answer_silence.ts";

const test = ava.default;

test("the silence of a peer that never answered starts with its first heartbeat", (t) => {
  const silence = new silences.AnswerSilence<object>();
  const peer = {};
  t.is(silence.measureMs(peer, 1_000), 0);
  silence.recordHeartbeat(peer, 1_000);
  silence.recordHeartbeat(peer, 1_500);
  t.is(silence.measureMs(peer, 31_001), 30_001);
});

test("an answer ends the silence, and a pause of this process is not counted", (t) => {
  const silence = new silences.AnswerSilence<object>();
  const peer = {};
  silence.recordHeartbeat(peer, 0);
  silence.recordAnswer(peer, 900);
  silence.recordHeartbeat(peer, 1_000);
  t.is(silence.measureMs(peer, 1_400), 500);
  silence.reset();
  t.is(silence.measureMs(peer, 60_000), 0);
  silence.recordHeartbeat(peer, 60_000);
  t.is(silence.measureMs(peer, 60_100), 100);
});
