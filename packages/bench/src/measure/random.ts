/** Seeded random sources and small statistics of the measurements. */
import * as d3 from "d3-random";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";

export type RandomSource = () => number;

/** A seeded uniform source in [0, 1). */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro.xoroshiro128plus(seed);
  // The first numbers of neighbouring seeds are alike.
  for (let at = 0; at < 16; at += 1) float64.uniformFloat64(generator);
  return () => float64.uniformFloat64(generator);
}

/** Distributions over one source. */
export class Distributions {
  readonly uniform: RandomSource;
  readonly normal: RandomSource;
  readonly #source: RandomSource;

  constructor(source: RandomSource) {
    this.#source = source;
    this.uniform = source;
    this.normal = d3.randomNormal.source(source)(0, 1);
  }

  /** Exponential with a mean. */
  exponential(mean: number): number {
    return d3.randomExponential.source(this.#source)(1 / mean)();
  }

  /** Log-normal with a mean and the standard deviation of the logarithm. */
  logNormal(mean: number, sigma: number): number {
    return mean * Math.exp(sigma * this.normal() - sigma * sigma / 2);
  }

  /** Position drawn by weight. */
  pickWeighted(weights: readonly number[]): number {
    let rest = this.uniform() *
      weights.reduce((sum, weight) => sum + weight, 0);
    const at = weights.findIndex((weight) => {
      rest -= weight;
      return rest < 0;
    });
    return at < 0 ? weights.length - 1 : at;
  }
}

/** Value at a share of the sorted values. */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[at] ?? Number.NaN;
}

/** Median, and the range in which all seeds lie. */
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
