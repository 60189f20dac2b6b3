/** Tests of memory as room: bursts of long prompts, long answers, and memory that is short. */
import * as ava from "ava";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as choice from "../replica_choice.ts";
import * as memories from "./engine_memory.ts";
import * as lengths from "./output_length.ts";

const test = ava.default;
const CAPACITY_TOKENS = 100_000;
const REPLICAS = 4;

/** Sends long histories in a burst beside short questions; returns the sends that did not fit. */
function playBurst(isMemoryKnown: boolean) {
  const generator = xoroshiro.xoroshiro128plus(7);
  const draw = () => float64.uniformFloat64(generator);
  let running: { id: number; tokens: number; untilMs: number }[] = [];
  let preemptions = 0;
  let sent = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 40 * draw()) {
    running = running.filter(({ untilMs }) => untilMs > nowMs);
    const isBurst = nowMs > 5_000 && nowMs < 12_000;
    const isLong = draw() < (isBurst ? 0.18 : 0.08);
    const tokens = isLong ? 4_000 + 16_000 * draw() : 800;
    const held = Array.from(
      { length: REPLICAS },
      (_, id) =>
        running.filter((each) => each.id === id)
          .reduce((sum, each) => sum + each.tokens, 0),
    );
    const candidates = held.map((heldTokens, id) => ({
      id: String(id),
      isLocal: true,
      inFlight: running.filter((each) => each.id === id).length,
      pendingMs: 0,
      slots: 64,
      cachedTokens: 0,
      failureRate: 0,
      speedFactor: 1,
      memoryShare: isMemoryKnown
        ? memories.computeMemoryShare({
          heldTokens,
          runningRequests: 0,
          capacityTokens: CAPACITY_TOKENS,
        }, tokens)
        : 0,
    }));
    const id = Number(
      choice.chooseReplica(candidates, {
        promptTokens: tokens,
        prefillMsPerToken: 1 / 50,
        affinityKey: undefined,
        sharedTokens: 0,
        answerMs: 0,
      }, draw)?.id,
    );
    sent += 1;
    if ((held[id] as number) + tokens > CAPACITY_TOKENS) preemptions += 1;
    running.push({ id, tokens, untilMs: nowMs + (isLong ? 2_500 : 1_500) });
  }
  return { preemptions, sent };
}

test("a burst of long histories beside short questions goes where memory is free", (t) => {
  const blind = playBurst(false);
  const known = playBurst(true);
  t.log(blind, known);
  t.true(blind.preemptions > 20);
  t.true(known.preemptions < 0.3 * blind.preemptions);
});

test("where nothing is short, memory changes no choice; where all is, the freest replica is taken", (t) => {
  const candidate = {
    id: "r1",
    isLocal: true,
    inFlight: 1,
    pendingMs: 0,
    slots: 32,
    cachedTokens: 0,
    failureRate: 0,
    speedFactor: 1,
    memoryShare: 0.8,
  };
  const free = { ...candidate, id: "r2", inFlight: 2, memoryShare: 0.1 };
  const placement = {
    promptTokens: 4_000,
    prefillMsPerToken: 1 / 40,
    affinityKey: undefined,
    sharedTokens: 0,
    answerMs: 0,
  };
  const pick = (candidates: readonly choice.ReplicaCandidate[]) =>
    choice.chooseReplica(candidates, placement, () => 0)?.id;
  t.is(pick([candidate, free]), "r1");
  t.is(pick([{ ...candidate, memoryShare: 1.01 }, free]), "r2");
  t.is(
    pick([{ ...candidate, memoryShare: 1.6 }, { ...free, memoryShare: 1.1 }]),
    "r2",
  );
});

test("missing memory is counted in requests of mean size, and a prompt larger than all is known", (t) => {
  const memory = { heldTokens: 90_000, runningRequests: 30 };
  const short = { ...memory, capacityTokens: CAPACITY_TOKENS };
  t.is(memories.countMissingRequests(short, 10_000), 0);
  t.is(memories.countMissingRequests(short, 16_000), 2);
  const plain = { ...memory, capacityTokens: undefined };
  t.is(memories.countMissingRequests(plain, 1e9), 0);
  t.true(memories.isLargerThanMemory(100_001, CAPACITY_TOKENS));
  t.false(memories.isLargerThanMemory(100_000, CAPACITY_TOKENS));
  t.false(memories.isLargerThanMemory(1e9, undefined));
});

test("estimates that are right at the median tell the size of events, and a shift to long answers is followed", (t) => {
  const generator = xoroshiro.xoroshiro128plus(9);
  const draw = () => float64.uniformFloat64(generator);
  const outputs = new lengths.OutputLengths();
  t.is(outputs.predictTokens("chat", 300), 300);
  t.is(outputs.countTokens(50), 0);
  const answer = (factor: number) => {
    const events = 10 + 60 * draw();
    // Off by up to a factor of 4 either way.
    const hintTokens = 10 * events / factor * 4 ** (2 * draw() - 1);
    outputs.record("chat", hintTokens, Math.round(events));
  };
  for (let count = 0; count < 400; count += 1) answer(1);
  const tokens = outputs.countTokens(100);
  t.true(tokens > 700 && tokens < 1_400, `${tokens}`);
  const usual = outputs.predictTokens("chat", 300);
  t.true(usual > 350 && usual < 900, `${usual}`);
  // Answers grow while estimates and the other route stay.
  for (let count = 0; count < 40; count += 1) answer(3);
  t.true(outputs.predictTokens("chat", 300) > 1.3 * usual);
  t.is(outputs.predictTokens("tags", 30), 30);
});
