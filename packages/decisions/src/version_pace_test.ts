/**
 * Guards against EXPOSURE and against false stops: a version that is slow by a small
 * factor was completed, as its slow streams passed for usual ones at another load.
 */
import * as ava from "ava";
import * as d3Random from "d3-random";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as trials from "./version_trial.ts";

const test = ava.default;

const REPLICAS = 8;
const STABLE_LOAD = 14;
/** Answers of the version within which it must be stopped. */
const MAX_ANSWERS = 160;
const GOOD_ANSWERS = 600;
/** Share of the attempts that are dropped after their head for a larger model. */
const DROPPED_SHARE = 0.5;
const HEAD_MS = 120;
/** Standard deviation of the logarithm of a stream's median gap. */
const GAP_NOISE = 0.2;
/** A version that takes over has no cached prompts: reading them delays some of its first streams. */
const COLD_ANSWERS = 60;
const COLD_SHARE = 0.08;
const COLD_FACTOR = 2;

/** Share of the streams at the stable load whose gaps prompts beside them lengthen, and by how much at most. */
const PROMPT_SHARE = 0.25;
const MAX_PROMPT_FACTOR = 3.5;
/** Gap that hardly grows with the load, as of an engine whose batches are limited by memory. */
const FLAT_GAP_MS = 30;
const FLAT_GAP_NOISE = 0.1;

interface Version {
  /** Load of its replicas against that of the stable ones. */
  readonly loadRatio: number;
  readonly slowShare: number;
  readonly slowFactor: number;
  readonly isCold: boolean;
  /** Whether gaps are flat over loads and have a long tail by prompts beside the streams. */
  readonly hasPrompts?: boolean;
}

/** Runs a trial; returns the number of answers after which the version was stopped. */
function runTrial(version: Version, seed: number): number | undefined {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const random = () => float64.uniformFloat64(generator);
  const { hasPrompts = false } = version;
  const drawNoise = d3Random.randomLogNormal.source(random)(
    0,
    hasPrompts ? FLAT_GAP_NOISE : GAP_NOISE,
  );
  const drawLoad = (mean: number) =>
    Math.max(1, Math.round(mean * (0.4 + 1.2 * random())));
  const drawPromptFactor = (load: number) =>
    hasPrompts && random() < PROMPT_SHARE * Math.min(1, load / STABLE_LOAD)
      ? 1 + (MAX_PROMPT_FACTOR - 1) * random()
      : 1;
  const drawGapMs = (load: number) =>
    (hasPrompts ? FLAT_GAP_MS : 20 + 2 * load) * drawNoise() *
    drawPromptFactor(load);
  const trial = new trials.VersionTrial();
  const recordAnswer = (isTarget: boolean, at: number) => {
    const answer = {
      route: `r${at % 3}`,
      replicaKey: Math.floor(random() * REPLICAS),
      model: "small",
    };
    const context = { isTarget, replicas: REPLICAS };
    const load = drawLoad(STABLE_LOAD * (isTarget ? version.loadRatio : 1));
    const isSlow = isTarget && random() < version.slowShare;
    const isCold = isTarget && version.isCold && at < COLD_ANSWERS &&
      random() < COLD_SHARE;
    if (random() < DROPPED_SHARE) {
      // Its head comes in time also if its events would not.
      trial.recordOutcome({
        ...answer,
        result: "whole",
        paceMs: HEAD_MS * drawNoise(),
        sentAtMs: 0,
        endedAtMs: 1,
      }, context);
      return;
    }
    const medianGapMs = drawGapMs(load) * (isSlow ? version.slowFactor : 1) *
      (isCold ? COLD_FACTOR : 1);
    trial.recordStream({ ...answer, pace: { medianGapMs, load } }, context);
  };
  for (let at = 0; at < 200; at += 1) recordAnswer(false, at);
  const answers = version.slowShare > 0 ? MAX_ANSWERS : GOOD_ANSWERS;
  for (let at = 0; at < answers; at += 1) {
    recordAnswer(true, at);
    recordAnswer(false, at);
    if (trial.verdict !== undefined) return at;
  }
  return undefined;
}

/** Slow requests share their batches with others, all of which are slowed a little. */
test("a version all of whose streams are slower by two thirds at the same load is stopped", (t) => {
  const version = {
    loadRatio: 0.5,
    slowShare: 1,
    slowFactor: 1.67,
    isCold: false,
  };
  const kept = SEEDS.filter((seed) => runTrial(version, seed) === undefined);
  t.deepEqual(kept, [], `kept with ${kept.length} seeds`);
});

const SEEDS = Array.from({ length: 20 }, (_, at) => at + 1);
const LOAD_RATIOS = [0.1, 0.3, 1, 1.5];

for (const loadRatio of LOAD_RATIOS) {
  for (const isCold of [false, true]) {
    const what = `at ${loadRatio} of the stable load, ${
      isCold ? "cold" : "warm"
    }`;
    for (
      const { slowFactor, slowShare } of [
        { slowFactor: 4, slowShare: 0.25 },
        { slowFactor: 8, slowShare: 0.25 },
        { slowFactor: 3, slowShare: 0.5 },
        { slowFactor: 8, slowShare: 0.5 },
        { slowFactor: 3, slowShare: 1 },
        { slowFactor: 8, slowShare: 1 },
      ]
    ) {
      test(`a version slow by ${slowFactor} in ${slowShare} of its answers is stopped ${what}`, (t) => {
        const version = { loadRatio, slowShare, slowFactor, isCold };
        const kept = SEEDS.filter((seed) =>
          runTrial(version, seed) === undefined
        );
        t.deepEqual(kept, [], `kept with ${kept.length} seeds`);
      });
    }
    test(`a good version is not stopped ${what}`, (t) => {
      const version = { loadRatio, slowShare: 0, slowFactor: 1, isCold };
      const stopped = SEEDS.filter((seed) =>
        runTrial(version, seed) !== undefined
      );
      t.deepEqual(stopped, [], `stopped with ${stopped.length} seeds`);
    });
  }
}

/** Loads above all stable ones are compared by the trend of the gaps alone. */
const GOOD_LOAD_RATIOS = [...LOAD_RATIOS, 2.5];
const WITH_PROMPTS = { slowShare: 0, slowFactor: 1, hasPrompts: true };

// Guards against EXPOSURE: where prompts lengthen the gaps of many stable streams, hardly any
// stream of a version slower by a half passed the limit for slow ones.
for (const loadRatio of LOAD_RATIOS) {
  test(`a version slow by 1.55 in all its answers is stopped at ${loadRatio} of the stable load, with prompts beside`, (t) => {
    const version = {
      ...WITH_PROMPTS,
      loadRatio,
      slowShare: 1,
      slowFactor: 1.55,
      isCold: false,
    };
    const kept = SEEDS.filter((seed) => runTrial(version, seed) === undefined);
    t.deepEqual(kept, [], `kept with ${kept.length} seeds`);
  });
}

function listStoppedGood(isCold: boolean): readonly string[] {
  return GOOD_LOAD_RATIOS.flatMap((loadRatio) =>
    SEEDS.filter((seed) =>
      runTrial({ ...WITH_PROMPTS, loadRatio, isCold }, seed) !== undefined
    ).map((seed) => `load ${loadRatio}, seed ${seed}`)
  );
}

test("a good version is not stopped at any load, with prompts beside, warm", (t) => {
  t.deepEqual(listStoppedGood(false), []);
});

test("a good version is not stopped at any load, with prompts beside, cold", (t) => {
  t.deepEqual(listStoppedGood(true), []);
});
