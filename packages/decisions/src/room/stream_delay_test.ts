/** Tests of where long prompts are sent while many streams run beside them. */
import * as ava from "ava";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as replicaChoice from "../replica_choice.ts";
import * as streamDelay from "./stream_delay.ts";

const test = ava.default;

const MAX_GAP_MS = 800;
const LONG_TOKENS = 24_000;
const MS_PER_TOKEN = 0.05;
const FLEETS = 300;
const REPLICAS = 38;

function makeCandidate(
  id: string,
  load: { readonly inFlight: number; readonly pendingMs: number },
): replicaChoice.ReplicaCandidate {
  return {
    id,
    isLocal: true,
    slots: 48,
    cachedTokens: 0,
    failureRate: 0,
    speedFactor: 1,
    memoryShare: 0,
    ...load,
  };
}

function makePlacement(
  promptTokens: number,
  maxGapMs: number | undefined,
): replicaChoice.PromptPlacement {
  return {
    promptTokens,
    prefillMsPerToken: MS_PER_TOKEN,
    maxGapMs,
    remainingTargetMs: 4_000,
    affinityKey: undefined,
    sharedTokens: 0,
    answerMs: 0,
  };
}

/** Sends one long prompt to each of many fleets; returns the streams that it interrupts. */
function countInterrupted(maxGapMs: number | undefined): number {
  const generator = xoroshiro.xoroshiro128plus(5);
  const random = () => float64.uniformFloat64(generator);
  let interrupted = 0;
  for (let fleet = 0; fleet < FLEETS; fleet += 1) {
    const candidates = Array.from(
      { length: REPLICAS },
      (_, index) =>
        makeCandidate(`replica-${index}`, {
          inFlight: Math.floor(random() * 15),
          pendingMs: random() < 0.5 ? 0 : random() * 1_200,
        }),
    );
    const choiceSeed = xoroshiro.xoroshiro128plus(fleet);
    const choiceRandom = () => float64.uniformFloat64(choiceSeed);
    const placement = makePlacement(LONG_TOKENS, maxGapMs);
    const asked = replicaChoice.chooseQueryCandidates(
      candidates,
      placement,
      { random: choiceRandom, assess: (each) => each },
    );
    const chosen = replicaChoice.chooseReplica(asked, placement, choiceRandom);
    interrupted += chosen?.inFlight ?? 0;
  }
  return interrupted;
}

test("a burst of long prompts while many streams run: long prompts interrupt a small part of the streams that they would", (t) => {
  t.true(countInterrupted(MAX_GAP_MS) < 0.6 * countInterrupted(undefined));
});

test("a long prompt does not wait behind others until it is late itself, to spare streams", (t) => {
  for (const remainingTargetMs of [4_000, -500]) {
    const placement = {
      ...makePlacement(LONG_TOKENS, MAX_GAP_MS),
      remainingTargetMs,
    };
    for (const inFlight of [5, 8, 14, 20]) {
      const chosen = replicaChoice.chooseReplica(
        [
          makeCandidate("queued", { inFlight: 1, pendingMs: 1_900 }),
          makeCandidate("streaming", { inFlight, pendingMs: 0 }),
        ],
        placement,
        () => 0,
      );
      t.is(chosen?.id, "streaming", `${inFlight} streams`);
    }
  }
});

test("many short prompts: they interrupt nobody, and are sent as without the limit", (t) => {
  const generator = xoroshiro.xoroshiro128plus(7);
  const random = () => float64.uniformFloat64(generator);
  t.false(streamDelay.interruptsStreams(400, MAX_GAP_MS));
  for (let prompt = 0; prompt < 100; prompt += 1) {
    const candidates = Array.from(
      { length: 12 },
      (_, index) =>
        makeCandidate(`replica-${index}`, {
          inFlight: Math.floor(random() * 40),
          pendingMs: random() * 2_000,
        }),
    );
    const promptTokens = Math.floor(random() * 8_000);
    const choose = (maxGapMs: number | undefined) =>
      replicaChoice.chooseReplica(
        candidates,
        makePlacement(promptTokens, maxGapMs),
        () => 0.5,
      )?.id;
    t.is(choose(MAX_GAP_MS), choose(undefined));
  }
});

test("prompts pending for long have made the streams beside them late already", (t) => {
  const cost = (pendingMs: number) =>
    streamDelay.predictInterruptionCostMs({
      pendingMs,
      prefillMs: 900,
      running: 10,
      maxGapMs: MAX_GAP_MS,
      remainingTargetMs: undefined,
    });
  t.is(cost(1_000), 0);
  t.true(cost(0) > cost(800));
});
