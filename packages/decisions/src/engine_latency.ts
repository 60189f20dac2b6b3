/**
 * How fast the engines of a service answer: the share of their objectives that
 * answers took lately (the pressure), and how many prompt tokens a model prefills
 * in a millisecond. Both are learnt from answers, without probes.
 */

/** Weight of the newest answer in the pressure. */
const PRESSURE_WEIGHT = 0.06;
/** Waiting makes answers late, never early: quick samples count more than slow ones. */
const QUICK_RATE_WEIGHT = 0.3;
const SLOW_RATE_WEIGHT = 0.03;
/** Used for a model without samples. */
const DEFAULT_TOKENS_PER_MS = 40;
/** Shorter prompts say little about the prefill rate. */
const MIN_RATE_TOKENS = 1_500;
/** An answer that takes longer counts as this multiple of the objective. */
const MAX_RATIO = 2;
/** Time constant of the pressure's exponential decay while no answers come. */
const PRESSURE_DECAY_MS = 4_000;

export interface FirstByteSample {
  readonly model: string | undefined;
  /** Prompt tokens that were not cached at the replica. */
  readonly uncachedTokens: number;
  readonly firstByteMs: number;
  /** Latency objective of the request's route. */
  readonly objectiveMs: number;
  readonly nowMs: number;
}

/** Latency of one service as one process sees it. */
export class EngineLatencyTracker {
  readonly #tokensPerMs = new Map<string, number>();
  #pressure = 0;
  #updatedAtMs = -Infinity;

  record(sample: FirstByteSample): void {
    const ratio = Math.min(MAX_RATIO, sample.firstByteMs / sample.objectiveMs);
    const previous = this.pressure(sample.nowMs);
    this.#pressure = previous + PRESSURE_WEIGHT * (ratio - previous);
    this.#updatedAtMs = sample.nowMs;
    if (sample.uncachedTokens < MIN_RATE_TOKENS) return;
    const rate = sample.uncachedTokens / Math.max(1, sample.firstByteMs);
    const model = sample.model ?? "";
    const known = this.#tokensPerMs.get(model) ?? rate;
    const weight = rate > known ? QUICK_RATE_WEIGHT : SLOW_RATE_WEIGHT;
    this.#tokensPerMs.set(model, known + weight * (rate - known));
  }

  /** Mean share of their objective that answers took, decaying with time. */
  pressure(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#updatedAtMs);
    return this.#pressure * Math.exp(-ageMs / PRESSURE_DECAY_MS);
  }

  predictPrefillMs(model: string | undefined, tokens: number): number {
    return tokens /
      (this.#tokensPerMs.get(model ?? "") ?? DEFAULT_TOKENS_PER_MS);
  }
}
