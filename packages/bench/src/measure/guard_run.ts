/**
 * Simulates roll-out steps with the roll-out guard, and compares the exposed
 * requests with those of a step that runs to its end without the guard.
 */
import * as decisions from "@jackdawbank/decisions";
import * as randoms from "./random.ts";

/** How much worse a rolling version is than the stable one. */
export interface VersionFault {
  readonly name: string;
  readonly errorIncrease: number;
  readonly qualityDecrease: number;
}

export const FAULTS: readonly VersionFault[] = [
  { name: "errors +5 points", errorIncrease: 0.05, qualityDecrease: 0 },
  { name: "quality -10 points", errorIncrease: 0, qualityDecrease: 0.1 },
];
export const HEALTHY: VersionFault = {
  name: "healthy",
  errorIncrease: 0,
  qualityDecrease: 0,
};

/** Requests exposed to the rolling version in one roll-out step. */
export interface GuardFigures {
  readonly exposed: number;
  readonly exposedWithoutGuard: number;
  readonly isStopped: boolean;
}

const LIMITS: decisions.GuardLimits = {
  minSamples: 20,
  maxErrorIncrease: 0.05,
  maxRatingDecrease: 0.1,
};
const STEP_MS = 600_000;
const ROLLING_SHARE = 0.05;
const ERROR_RATE = 0.01;
const QUALITY = 0.9;
const RATING_NOISE = 0.15;
const RATED_SHARE = 0.25;
const RATING_DELAY_MS = 30_000;
/** Time until all entries know that one of them stopped the rolling version. */
const STOP_PROPAGATION_MS = 1_000;

interface DelayedRating {
  readonly dueMs: number;
  readonly isRolling: boolean;
  readonly score: number;
}

/** Simulates one roll-out step. */
export function runRolloutStep(
  requestsPerSecond: number,
  fault: VersionFault,
  seed: number,
): GuardFigures {
  const distributions = new randoms.Distributions(randoms.createRandom(seed));
  const guard = new decisions.RolloutGuard(LIMITS);
  let ratings: DelayedRating[] = [];
  let exposed = 0;
  let exposedWithoutGuard = 0;
  let stoppedAtMs = Number.POSITIVE_INFINITY;
  let atMs = distributions.exponential(1_000 / requestsPerSecond);
  while (atMs < STEP_MS) {
    const nowMs = atMs;
    for (const due of ratings.filter((rating) => rating.dueMs <= nowMs)) {
      if (due.isRolling) guard.recordRollingRating(due.score);
      else guard.recordStableRating(due.score);
    }
    ratings = ratings.filter((rating) => rating.dueMs > nowMs);
    const isRolling = distributions.uniform() < ROLLING_SHARE;
    const isError = distributions.uniform() <
      ERROR_RATE + (isRolling ? fault.errorIncrease : 0);
    if (isRolling) exposedWithoutGuard += 1;
    if (isRolling && nowMs <= stoppedAtMs + STOP_PROPAGATION_MS) {
      exposed += 1;
      guard.recordRollingOutcome(isError);
    }
    if (!isRolling) guard.recordStableOutcome(isError);
    if (distributions.uniform() < RATED_SHARE) {
      const quality = QUALITY - (isRolling ? fault.qualityDecrease : 0);
      const score = Math.max(
        0,
        Math.min(1, quality + distributions.normal() * RATING_NOISE),
      );
      const dueMs = nowMs + distributions.exponential(RATING_DELAY_MS);
      ratings.push({ dueMs, isRolling, score });
    }
    if (guard.verdict !== undefined) stoppedAtMs = Math.min(stoppedAtMs, nowMs);
    atMs += distributions.exponential(1_000 / requestsPerSecond);
  }
  return {
    exposed,
    exposedWithoutGuard,
    isStopped: guard.verdict !== undefined,
  };
}
