/**
 * How much slower or faster one replica is than the others of its service. Every
 * process compares what answers took with what it had predicted for a usual
 * replica at the same load; the sums are pooled like other evidence. The speed
 * factor is the ratio of both sums, relative to the service's middle replica, so
 * that an error that all predictions share does not count.
 */

/** Decayed sums over the answers of one replica. */
export interface SpeedSums {
  /** Time that the answers would have taken at a usual replica. */
  readonly predictedMs: number;
  readonly tookMs: number;
}

/** One answer, with what was predicted when its request was sent. */
export interface SpeedSample extends SpeedSums {
  /** Speed factor of its replica at that time; 1 is usual. */
  readonly factor: number;
}

export const NO_SPEED: SpeedSums = { predictedMs: 0, tookMs: 0 };
/** Factor of a replica that answers as fast as the middle one of its service. */
export const USUAL_SPEED_FACTOR = 1;

/** Work at the usual speed that is assumed beside the observed one; bounds the effect of noise. */
const PRIOR_MS = 300;
/** Less predicted work says nothing about what is usual in a service. */
const MIN_USUAL_MS = 100;
/** Shorter predictions are dominated by the time on the network. */
const MIN_PREDICTED_MS = 15;
/** A longer prediction counts as this one, as most of it is a queue that is not exactly known. */
const MAX_PREDICTED_MS = 400;
/** Answers that take longer than this multiple of their prediction have waited, or noise hit them. */
const SLOW_RATIO = 1.5;
/** Weight of such answers: waiting makes answers late, never early. */
const SLOW_WEIGHT = 0.5;
/** Bounds the effect of one answer. */
const MAX_RATIO = 6;
const MIN_FACTOR = 0.7;
const MAX_FACTOR = 6;

/** What an answer adds to its replica's sums. */
export function weighSpeedSample(
  { predictedMs, tookMs, factor }: SpeedSample,
): SpeedSums {
  if (predictedMs < MIN_PREDICTED_MS) return NO_SPEED;
  const ratio = Math.min(MAX_RATIO, tookMs / predictedMs);
  const weight = ratio > SLOW_RATIO * factor ? SLOW_WEIGHT : 1;
  const weightedMs = weight * Math.min(MAX_PREDICTED_MS, predictedMs);
  return { predictedMs: weightedMs, tookMs: ratio * weightedMs };
}

/** Ratio of the middle replica, the faster one of two; 1 if too little is known. */
export function findUsualRatio(replicas: readonly SpeedSums[]): number {
  const ratios = replicas.flatMap(({ predictedMs, tookMs }) =>
    predictedMs < MIN_USUAL_MS ? [] : [tookMs / predictedMs]
  ).toSorted((a, b) => a - b);
  const ratio = ratios[Math.floor((ratios.length - 1) / 2)] ?? 1;
  return ratio > 0 ? ratio : 1;
}

/** Factor by which a replica takes longer than a usual one. */
export function estimateSpeedFactor(
  { predictedMs, tookMs }: SpeedSums,
  usualRatio: number,
): number {
  const factor = (tookMs / usualRatio + PRIOR_MS) / (predictedMs + PRIOR_MS);
  return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
}
