/**
 * How fast the engines of a service answer: the share of their objectives that
 * answers took lately, and how many prompt tokens a model reads in a
 * millisecond. Both are learnt from answers; nothing is asked for.
 */

const PRESSURE_WEIGHT = 0.06;
/** Waiting makes answers late, never early: quick samples count more than slow ones. */
const QUICK_RATE_WEIGHT = 0.3;
const SLOW_RATE_WEIGHT = 0.03;
/** Prompt tokens that an unknown model reads in a millisecond. */
const DEFAULT_TOKENS_PER_MS = 40;
/** Shorter prompts say little about reading. */
const MIN_RATE_TOKENS = 1_500;
/** An answer that takes many objectives counts as this many. */
const MAX_SHARE = 2;
/** Pressure fades while no answers come. */
const FADE_MS = 4_000;

/** What one answer's first byte tells. */
export interface FirstByteSample {
  readonly model: string | undefined;
  /** Prompt tokens that were not cached at the replica. */
  readonly uncachedTokens: number;
  readonly firstByteMs: number;
  readonly objectiveMs: number;
  readonly nowMs: number;
}

/** Pace of one service as one process sees it. */
export class EngineLatencyTracker {
  readonly #tokensPerMs = new Map<string, number>();
  #pressure = 0;
  #updatedAtMs = -Infinity;

  record(first: FirstByteSample): void {
    const share = Math.min(MAX_SHARE, first.firstByteMs / first.objectiveMs);
    const held = this.pressure(first.nowMs);
    this.#pressure = held + PRESSURE_WEIGHT * (share - held);
    this.#updatedAtMs = first.nowMs;
    if (first.uncachedTokens < MIN_RATE_TOKENS) return;
    const rate = first.uncachedTokens / Math.max(1, first.firstByteMs);
    const model = first.model ?? "";
    const known = this.#tokensPerMs.get(model) ?? rate;
    const weight = rate > known ? QUICK_RATE_WEIGHT : SLOW_RATE_WEIGHT;
    this.#tokensPerMs.set(model, known + weight * (rate - known));
  }

  /** Mean share of their objective that answers took, fading with time. */
  pressure(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#updatedAtMs);
    return this.#pressure * Math.exp(-ageMs / FADE_MS);
  }

  /** Predicted time in which a model reads so many tokens. */
  predictPrefillMs(model: string | undefined, tokens: number): number {
    return tokens /
      (this.#tokensPerMs.get(model ?? "") ?? DEFAULT_TOKENS_PER_MS);
  }
}
