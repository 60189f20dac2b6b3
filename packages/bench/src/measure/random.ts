/** Seeded random sources and statistics for the measurements. */
import * as d3 from "d3-random";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

export type RandomSource = () => number;

/** Creates a seeded source of uniform numbers in [0, 1). */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro.xoroshiro128plus(seed);
  // Skips the first numbers, which are similar for neighbouring seeds.
  for (let at = 0; at < 16; at += 1) float64.uniformFloat64(generator);
  return () => float64.uniformFloat64(generator);
}

/** Distributions that draw from one source. */
export class Distributions {
  readonly uniform: RandomSource;
  readonly normal: RandomSource;
  readonly #source: RandomSource;

  constructor(source: RandomSource) {
    this.#source = source;
    this.uniform = source;
    this.normal = d3.randomNormal.source(source)(0, 1);
  }

  /** Draws from the exponential distribution with a given mean. */
  exponential(mean: number): number {
    return d3.randomExponential.source(this.#source)(1 / mean)();
  }

  /** Draws from the log-normal distribution; `sigma` is the standard deviation of the logarithm. */
  logNormal(mean: number, sigma: number): number {
    return mean * Math.exp(sigma * this.normal() - sigma * sigma / 2);
  }

  /** Draws an index with a probability proportional to its weight. */
  drawIndex(weights: readonly number[]): number {
    let remaining = this.uniform() *
      weights.reduce((sum, weight) => sum + weight, 0);
    const at = weights.findIndex((weight) => {
      remaining -= weight;
      return remaining < 0;
    });
    return at < 0 ? weights.length - 1 : at;
  }
}

/** Returns the quantile of values at a share from 0 to 1. */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[at] ?? Number.NaN;
}

/** Median and range of a figure over all seeds. */
export interface Spread {
  readonly median: number;
  readonly low: number;
  readonly high: number;
}

export function summarize(values: readonly number[]): Spread {
  return {
    median: findQuantile(values, 0.5),
    low: Math.min(...values),
    high: Math.max(...values),
  };
}
