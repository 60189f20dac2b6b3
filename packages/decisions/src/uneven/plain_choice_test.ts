/**
 * Test of the choice of replicas for requests without prompts. 48 processes share
 * 3 replicas of 6 slots, and know what the others have there as of the last second.
 */
import * as ava from "ava";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as choice from "../replica_choice.ts";

const REPLICAS = 3;
const PROCESSES = 48;
const SLOTS = 6;
const ANSWER_MS = 45;

/** Share of requests that find all slots taken, at a rate, with or without the spread. */
function play(requestsPerS: number, isSpread: boolean): number {
  const generator = xoroshiro.xoroshiro128plus(5);
  const draw = () => float64.uniformFloat64(generator);
  const running: { id: number; process: number; untilMs: number }[] = [];
  const own = (id: number, process: number) =>
    running.filter((each) => each.id === id && each.process === process).length;
  let known = Array.from({ length: REPLICAS }, () => 0);
  let knownAtMs = 0;
  let sent = 0;
  let waited = 0;
  for (
    let nowMs = 0;
    nowMs < 20_000;
    nowMs += 2_000 * draw() / requestsPerS
  ) {
    for (let at = running.length - 1; at >= 0; at -= 1) {
      if ((running[at]?.untilMs ?? 0) <= nowMs) running.splice(at, 1);
    }
    const counts = known.map((_, id) =>
      running.filter((each) => each.id === id).length
    );
    if (nowMs - knownAtMs >= 1_000) {
      known = counts;
      knownAtMs = nowMs;
    }
    const process = Math.floor(PROCESSES * draw());
    const candidates = known.map((inFlight, id) => ({
      id: String(id),
      isLocal: process % REPLICAS === id,
      inFlight: inFlight + own(id, process),
      pendingMs: 0,
      slots: SLOTS,
      cachedTokens: 0,
      failureRate: 0,
      speedFactor: 1,
      memoryShare: 0,
    }));
    const placement = {
      promptTokens: 0,
      prefillMsPerToken: 0,
      affinityKey: undefined,
      sharedTokens: 0,
      answerMs: isSpread ? ANSWER_MS : 0,
    };
    const asked = choice.chooseQueryCandidates(candidates, placement, {
      random: draw,
      assess: (each) => each,
    });
    const id = Number(choice.chooseReplica(asked, placement, draw)?.id);
    sent += 1;
    if ((counts[id] as number) >= SLOTS) waited += 1;
    running.push({ id, process, untilMs: nowMs + 2 * draw() * ANSWER_MS });
  }
  return waited / sent;
}

ava.default(
  "by loads that are a second old, processes do not send all requests to the replica that was idle",
  (t) => {
    const herd = play(130, false);
    const spread = play(130, true);
    t.log(herd, spread);
    t.true(spread < 0.3 * herd, `${spread} against ${herd}`);
  },
);
