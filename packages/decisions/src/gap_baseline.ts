/**
 * Usual pace of a model's streams on the stable version: the median gap between the
 * events of each, which single long prompts at the replica do not change. Gaps grow
 * with the load, so a stream is compared with those at the most similar load.
 */

/** Pace of one stream. */
export interface StreamPace {
  /** Median time between its events. */
  readonly medianGapMs: number;
  /** Requests at the replica, as far as this process knows. */
  readonly load: number;
}

/** Streams of the stable version that are needed before others are compared with them. */
const MIN_SAMPLES = 8;
const MAX_SAMPLES = 128;
/** Streams at the most similar load that a stream is compared with. */
const COMPARED_SAMPLES = 16;
/** Smallest share of their median that the trend leads to at a lower load. */
const MIN_TREND_SHARE = 0.8;
/** A stream this many times slower than usual at its load is slow. */
const SLOW_FACTOR = 1.6;
const SLOW_MARGIN_MS = 2;
/** Unless it is hardly slower than this quantile of them, which long prompts at loaded replicas raise. */
const TAIL_QUANTILE = 0.9;
const TAIL_FACTOR = 1.1;
/** Streams at loads higher by more than this factor do not count for the quantile. */
const MAX_TAIL_LOAD_RATIO = 2;
/** The same at a higher load than any that is known, where the trend may be steeper. */
const UNKNOWN_LOAD_SLOW_FACTOR = 2.5;
/** A stream this many times slower than usual at its load is slower than most, though not slow. */
const RAISED_FACTOR = 1.2;
const RAISED_MARGIN_MS = 1;

/** Median of at least one number; the lower one of two in the middle. */
export function findMedian(values: readonly number[]): number {
  return findQuantile(values, 0.5);
}

function findQuantile(values: readonly number[], quantile: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0;
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Gap at a load by the linear trend of the paces. */
function predictGapMs(paces: readonly StreamPace[], load: number): number {
  const meanLoad = average(paces.map((pace) => pace.load));
  const meanGapMs = average(paces.map((pace) => pace.medianGapMs));
  let covariance = 0;
  let variance = 0;
  for (const pace of paces) {
    covariance += (pace.load - meanLoad) * (pace.medianGapMs - meanGapMs);
    variance += (pace.load - meanLoad) ** 2;
  }
  const slope = variance === 0 ? 0 : Math.max(0, covariance / variance);
  return meanGapMs + slope * (load - meanLoad);
}

/** Paces of the stable version that one stream is compared with. */
interface Comparison {
  readonly similar: readonly StreamPace[];
  /** Median gap of those. */
  readonly medianMs: number;
  /** Whether the load is higher than any that is known. */
  readonly isUnknownLoad: boolean;
  /** Factor on the usual gap at a lower load than any that is known, at most 1. */
  readonly trendShare: number;
}

/** The newest paces of the stable version's streams of one model. */
export class GapBaseline {
  #paces: readonly StreamPace[] = [];

  add(pace: StreamPace): void {
    this.#paces = [...this.#paces, pace].slice(-MAX_SAMPLES);
  }

  /** Longest median gap that is not slow; infinite while too few streams are known. */
  computeLimitMs(load: number): number {
    const comparison = this.#compare(load);
    if (comparison === undefined) return Infinity;
    const { similar, medianMs, isUnknownLoad, trendShare } = comparison;
    if (isUnknownLoad) {
      return UNKNOWN_LOAD_SLOW_FACTOR * medianMs + SLOW_MARGIN_MS;
    }
    const tailGapsMs = similar.filter((pace) =>
      pace.load <= MAX_TAIL_LOAD_RATIO * load
    ).map(({ medianGapMs }) => medianGapMs);
    return trendShare * Math.max(
          SLOW_FACTOR * medianMs,
          TAIL_FACTOR * findQuantile(tailGapsMs, TAIL_QUANTILE),
        ) + SLOW_MARGIN_MS;
  }

  /**
   * Whether a stream is slower than most stable ones are at its load; undefined if too few
   * of them are known, or if it depends on the trend of the gaps outside their loads.
   */
  isRaised({ medianGapMs, load }: StreamPace): boolean | undefined {
    const comparison = this.#compare(load);
    if (comparison === undefined) return undefined;
    const { similar, medianMs, isUnknownLoad, trendShare } = comparison;
    const limitMs = RAISED_FACTOR * medianMs + RAISED_MARGIN_MS;
    // The gap grows at most in proportion to the load.
    const maxGrowth = isUnknownLoad
      ? load / Math.max(1, average(similar.map((pace) => pace.load)))
      : 1;
    if (medianGapMs > maxGrowth * limitMs) return true;
    return medianGapMs > trendShare * limitMs ? undefined : false;
  }

  #compare(load: number): Comparison | undefined {
    if (this.#paces.length < MIN_SAMPLES) return undefined;
    const similar = this.#paces.toSorted((a, b) =>
      Math.abs(a.load - load) - Math.abs(b.load - load)
    ).slice(0, COMPARED_SAMPLES);
    const medianMs = findMedian(similar.map(({ medianGapMs }) => medianGapMs));
    const loads = this.#paces.map((pace) => pace.load);
    // A version on trial may have less load than any stable replica.
    const trendShare = load >= Math.min(...loads)
      ? 1
      : Math.max(MIN_TREND_SHARE, predictGapMs(this.#paces, load) / medianMs);
    return {
      similar,
      medianMs,
      isUnknownLoad: load > Math.max(...loads),
      trendShare: Math.min(1, trendShare),
    };
  }
}
