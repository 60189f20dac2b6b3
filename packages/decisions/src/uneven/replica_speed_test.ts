/**
 * Tests of the speed factors under load. A small fleet of first-in-first-out
 * replicas gets prompts of 20 to 200 ms; a chooser knows their backlog at the
 * usual speed, and learns their factors from the answers alone.
 */
import * as ava from "ava";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as choice from "../replica_choice.ts";
import * as evidence from "../replica_evidence.ts";
import * as speeds from "./replica_speed.ts";

const test = ava.default;
const REPLICAS = 8;

interface Answer {
  readonly atMs: number;
  readonly id: number;
  readonly prefillMs: number;
  readonly sample: speeds.SpeedSample;
}

interface Load {
  /** Share of the fleet's capacity at the usual speed. */
  readonly utilisation: number;
  readonly durationMs: number;
  readonly isLearning: boolean;
  /** How much longer a prompt takes that begins at a replica at a time. */
  readonly findSlowness: (id: number, atMs: number) => number;
}

/** Plays a load; returns the latencies, and the prompts of each replica for each second. */
function play(load: Load) {
  const generator = xoroshiro.xoroshiro128plus(11);
  const draw = () => float64.uniformFloat64(generator);
  const sums = Array.from(
    { length: REPLICAS },
    () => new evidence.ReplicaEvidence(),
  );
  const freeAtMs = Array.from({ length: REPLICAS }, () => 0);
  const pendingMs = Array.from({ length: REPLICAS }, () => 0);
  const countsBySecond: number[][] = [];
  const latencies: number[] = [];
  const factors: number[][] = [];
  let answers: readonly Answer[] = [];
  const meanGapMs = 110 / (REPLICAS * load.utilisation);
  for (
    let nowMs = 0;
    nowMs < load.durationMs;
    nowMs += 2 * draw() * meanGapMs
  ) {
    for (const { id, prefillMs, sample, atMs } of answers) {
      if (atMs > nowMs) continue;
      pendingMs[id] = (pendingMs[id] as number) - prefillMs;
      sums[id]?.recordSpeed(sample, atMs);
    }
    answers = answers.filter(({ atMs }) => atMs > nowMs);
    const known = sums.map((each) => each.read(nowMs));
    const usualRatio = speeds.findUsualRatio(known);
    const current = known.map((each) =>
      load.isLearning ? speeds.estimateSpeedFactor(each, usualRatio) : 1
    );
    const second = Math.floor(nowMs / 1_000);
    factors[second] = current;
    const prefillMs = 20 + 180 * draw();
    const placement = {
      promptTokens: prefillMs * 50,
      prefillMsPerToken: 1 / 50,
      affinityKey: undefined,
      sharedTokens: 0,
      answerMs: 0,
    };
    const candidates = current.map((speedFactor, id) => ({
      id: String(id),
      isLocal: true,
      inFlight: 0,
      pendingMs: pendingMs[id] as number,
      slots: 32,
      cachedTokens: 0,
      failureRate: 0,
      speedFactor,
      memoryShare: 0,
    }));
    const asked = choice.chooseQueryCandidates(candidates, placement, {
      random: draw,
      assess: (each) => each,
    });
    const id = Number(choice.chooseReplica(asked, placement, draw)?.id);
    const startMs = Math.max(nowMs, freeAtMs[id] as number);
    const endMs = startMs + prefillMs * load.findSlowness(id, startMs);
    freeAtMs[id] = endMs;
    answers = [...answers, {
      atMs: endMs,
      id,
      prefillMs,
      sample: {
        predictedMs: (pendingMs[id] as number) + prefillMs,
        tookMs: endMs - nowMs,
        factor: current[id] as number,
      },
    }];
    pendingMs[id] = (pendingMs[id] as number) + prefillMs;
    latencies.push(endMs - nowMs);
    countsBySecond[second] ??= Array.from({ length: REPLICAS }, () => 0);
    const counts = countsBySecond[second];
    counts[id] = (counts[id] as number) + 1;
  }
  latencies.sort((a, b) => a - b);
  return {
    countsBySecond,
    factors,
    p95Ms: latencies[Math.floor(0.95 * latencies.length)] as number,
    meanMs: latencies.reduce((sum, each) => sum + each, 0) / latencies.length,
  };
}

/** Prompts of a replica in a range of seconds, relative to an equal share. */
function measureShare(
  countsBySecond: readonly (readonly number[])[],
  id: number,
  from: number,
  to: number,
): number {
  const counts = countsBySecond.slice(from, to);
  const all = counts.flat().reduce((sum, each) => sum + each, 0);
  return counts.reduce((sum, each) => sum + (each[id] as number), 0) *
    REPLICAS / all;
}

test("a replica slower by 1.3 and one slower by 3 get less, and prompts wait less", (t) => {
  const load = {
    utilisation: 0.7,
    durationMs: 30_000,
    findSlowness: (id: number) => [3, 1.3][id] ?? 1,
  };
  const blind = play({ ...load, isLearning: false });
  const learnt = play({ ...load, isLearning: true });
  t.log(blind.meanMs, blind.p95Ms, learnt.meanMs, learnt.p95Ms);
  t.log(learnt.factors.at(-1));
  t.true(learnt.p95Ms < 0.9 * blind.p95Ms);
  t.true(learnt.meanMs < 0.97 * blind.meanMs);
  const last = learnt.factors.at(-1) as number[];
  t.true((last[0] as number) > 2, `${last}`);
  t.true((last[1] as number) > 1.1 && (last[1] as number) < 1.8, `${last}`);
});

test("waiting behind others is not taken for slowness", (t) => {
  const { factors } = play({
    utilisation: 0.98,
    durationMs: 20_000,
    isLearning: true,
    findSlowness: () => 1,
  });
  t.true(factors.flat().every((each) => each < 1.3 && each >= 0.7));
});

test("noise of 600 ms at a factor of 2.5 moves no replica far, nor makes prompts wait longer", (t) => {
  const load = {
    utilisation: 0.6,
    durationMs: 30_000,
    findSlowness: (id: number, atMs: number) =>
      (Math.floor(atMs / 600) * 7 + id * 3) % 20 < 3 ? 2.5 : 1,
  };
  const blind = play({ ...load, isLearning: false });
  const learnt = play({ ...load, isLearning: true });
  t.log(blind.meanMs, blind.p95Ms, learnt.meanMs, learnt.p95Ms);
  t.true(Math.max(...learnt.factors.flat()) < 2);
  t.true(learnt.meanMs < 1.05 * blind.meanMs);
});

test("a replica that is sound again gets its part again within seconds, and never a herd", (t) => {
  const { countsBySecond } = play({
    utilisation: 0.7,
    durationMs: 30_000,
    isLearning: true,
    findSlowness: (id, atMs) => id === 0 && atMs < 10_000 ? 4 : 1,
  });
  const share = (from: number, to: number) =>
    measureShare(countsBySecond, 0, from, to);
  t.log(countsBySecond.map((_, second) => share(second, second + 1)));
  t.true(share(3, 10) < 0.5);
  t.true(share(16, 30) > 0.75);
  for (let second = 10; second < 29; second += 1) {
    t.true(share(second, second + 2) < 1.6);
  }
});

test("a failing replica stands out, but failures that the requests cause do not", (t) => {
  const build = (attempts: number, failures: number) => ({
    ...evidence.NO_EVIDENCE,
    attempts,
    failures,
  });
  const replicas = [build(60, 5), build(20, 2), build(8, 1)];
  const usual = evidence.findUsualFailureRate(replicas);
  for (const each of replicas) {
    t.true(evidence.estimateExcessFailureRate(each, usual) < 0.03);
  }
  t.true(evidence.estimateExcessFailureRate(build(20, 9), usual) > 0.15);
  // Half of a fleet is lost: its failures are not taken for usual ones.
  const lost = [1, 2, 3, 4, 5].flatMap(() => [build(30, 0), build(9, 4)]);
  const usualOfHalf = evidence.findUsualFailureRate(lost);
  t.is(evidence.estimateExcessFailureRate(build(9, 4), usualOfHalf), 4 / 11);
  // Where nothing fails usually, the first failure counts as before.
  t.is(evidence.estimateExcessFailureRate(build(1, 1), 0), 1 / 3);
});
