/** The guard of rolling versions against a roll-out step that runs its whole time. */
import * as decisions from "@jackdawbank/decisions";
import * as randoms from "./random.ts";

/** How a rolling version differs from the stable one. */
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

/** Result of one roll-out step. */
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
/** Time until all entries know that one of them has stopped a version. */
const SPREAD_MS = 1_000;

interface LateRating {
  readonly dueMs: number;
  readonly isRolling: boolean;
  readonly score: number;
}

/** Runs one roll-out step of ten minutes. */
export function runRollout(
  requestsPerSecond: number,
  fault: VersionFault,
  seed: number,
): GuardFigures {
  const draw = new randoms.Distributions(randoms.createRandom(seed));
  const guard = new decisions.RolloutGuard(LIMITS);
  let ratings: LateRating[] = [];
  let exposed = 0;
  let total = 0;
  let stoppedAtMs = Number.POSITIVE_INFINITY;
  let atMs = draw.exponential(1_000 / requestsPerSecond);
  while (atMs < STEP_MS) {
    const nowMs = atMs;
    for (const late of ratings.filter((rating) => rating.dueMs <= nowMs)) {
      if (late.isRolling) guard.recordRollingRating(late.score);
      else guard.recordStableRating(late.score);
    }
    ratings = ratings.filter((rating) => rating.dueMs > nowMs);
    const isRolling = draw.uniform() < ROLLING_SHARE;
    const isError =
      draw.uniform() < ERROR_RATE + (isRolling ? fault.errorIncrease : 0);
    if (isRolling) total += 1;
    if (isRolling && nowMs <= stoppedAtMs + SPREAD_MS) {
      exposed += 1;
      guard.recordRollingOutcome(isError);
    }
    if (!isRolling) guard.recordStableOutcome(isError);
    if (draw.uniform() < RATED_SHARE) {
      const quality = QUALITY - (isRolling ? fault.qualityDecrease : 0);
      const score = Math.max(
        0,
        Math.min(1, quality + draw.normal() * RATING_NOISE),
      );
      const dueMs = nowMs + draw.exponential(RATING_DELAY_MS);
      ratings.push({ dueMs, isRolling, score });
    }
    if (guard.verdict !== undefined) stoppedAtMs = Math.min(stoppedAtMs, nowMs);
    atMs += draw.exponential(1_000 / requestsPerSecond);
  }
  return {
    exposed,
    exposedWithoutGuard: total,
    isStopped: guard.verdict !== undefined,
  };
}
