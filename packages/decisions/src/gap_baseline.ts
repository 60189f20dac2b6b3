/**
 * Usual pace of a model's streams on the stable version: the median gap between the
 * events of each, which single long prompts at the replica do not change. A replica
 * with little load is compared with the quick streams, since under load the stable
 * version's streams are slower than those of a bad version that is nearly idle.
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
const MAX_SAMPLES = 64;
/** A replica with up to this share of the mean load of the stable ones is nearly idle. */
const IDLE_LOAD_SHARE = 0.5;
/** Quantile of the stable streams that stands for replicas with little load. */
const QUICK_QUANTILE = 0.25;
/** A stream this many times slower than that, at a replica with little load, is slow. */
const IDLE_SLOW_FACTOR = 2.5;
const IDLE_SLOW_MARGIN_MS = 5;
/** A stream this many times slower than the mean is slow in any case. */
const SLOW_FACTOR = 3;
const SLOW_MARGIN_MS = 10;

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Median of at least one number; the lower one of two in the middle. */
export function findMedian(values: readonly number[]): number {
  return findQuantile(values, 0.5);
}

function findQuantile(values: readonly number[], quantile: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0;
}

/** The newest paces of the stable version's streams of one model. */
export class GapBaseline {
  #paces: readonly StreamPace[] = [];

  add(pace: StreamPace): void {
    this.#paces = [...this.#paces, pace].slice(-MAX_SAMPLES);
  }

  /** Longest median gap that is not slow; infinite while too few streams are known. */
  computeLimitMs(load: number): number {
    if (this.#paces.length < MIN_SAMPLES) return Infinity;
    const gapsMs = this.#paces.map(({ medianGapMs }) => medianGapMs);
    const meanLoad = average(this.#paces.map((pace) => pace.load));
    const limitMs = SLOW_FACTOR * average(gapsMs) + SLOW_MARGIN_MS;
    return load > IDLE_LOAD_SHARE * meanLoad ? limitMs : Math.min(
      limitMs,
      IDLE_SLOW_FACTOR * findQuantile(gapsMs, QUICK_QUANTILE) +
        IDLE_SLOW_MARGIN_MS,
    );
  }
}
