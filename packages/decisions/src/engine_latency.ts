/**
 * How fast the engines of a service answer: the share of their target latency
 * that answers took lately (the pressure), how many prompt tokens a model prefills
 * in a millisecond, and how long prompts wait before. All are learnt from answers,
 * without probes.
 */
import * as bounded from "./bounded_map.ts";

/** Weight of the newest answer in the pressure. */
const PRESSURE_WEIGHT = 0.06;
/** Waiting makes answers late, never early: quick samples count more than slow ones. */
const QUICK_RATE_WEIGHT = 0.3;
const SLOW_RATE_WEIGHT = 0.03;
/** Used for a model without samples. */
const DEFAULT_TOKENS_PER_MS = 40;
/** Shorter prompts say little about the prefill rate. */
const MIN_RATE_TOKENS = 1_500;
/** Weight of the newest sample in the waiting time. */
const WAIT_WEIGHT = 0.06;
/** An answer that takes longer counts as this multiple of the target latency. */
const MAX_RATIO = 2;
/** Time constant of the exponential decay of pressure and waiting time while no answers come. */
const DECAY_MS = 4_000;

/** Models whose rates are kept; callers may name any. */
const MAX_MODELS = 256;

/** First byte of one attempt, whether its answer is kept or not. */
export interface FirstByteSample {
  readonly model: string | undefined;
  /** Prompt tokens that were not cached at the replica. */
  readonly uncachedTokens: number;
  /** Time from the sending of the attempt. */
  readonly firstByteMs: number;
  readonly nowMs: number;
}

/** First byte of an answer that is kept. */
export interface AnswerSample {
  /** Time from the arrival of the request, with all its attempts. */
  readonly latencyMs: number;
  /** Target latency of the request's route. */
  readonly objectiveMs: number;
  readonly nowMs: number;
}

/** Latency of one service as one process sees it. */
export class EngineLatencyTracker {
  readonly #tokensPerMs = new Map<string, number>();
  #pressure = 0;
  #pressureAtMs = -Infinity;
  #waitMs = 0;
  #waitAtMs = -Infinity;

  recordAnswer({ latencyMs, objectiveMs, nowMs }: AnswerSample): void {
    const ratio = Math.min(MAX_RATIO, latencyMs / objectiveMs);
    const previous = this.pressure(nowMs);
    this.#pressure = previous + PRESSURE_WEIGHT * (ratio - previous);
    this.#pressureAtMs = nowMs;
  }

  recordFirstByte(sample: FirstByteSample): void {
    const { model, uncachedTokens, firstByteMs, nowMs } = sample;
    const previousMs = this.#readWaitMs(nowMs);
    const waitedMs = Math.max(
      0,
      firstByteMs - this.predictPrefillMs(model, uncachedTokens),
    );
    this.#waitMs = previousMs + WAIT_WEIGHT * (waitedMs - previousMs);
    this.#waitAtMs = nowMs;
    this.#learnRate(sample);
  }

  #learnRate(sample: FirstByteSample): void {
    if (sample.uncachedTokens < MIN_RATE_TOKENS) return;
    const rate = sample.uncachedTokens / Math.max(1, sample.firstByteMs);
    const model = sample.model ?? "";
    const known = this.#tokensPerMs.get(model) ?? rate;
    const weight = rate > known ? QUICK_RATE_WEIGHT : SLOW_RATE_WEIGHT;
    this.#tokensPerMs.set(model, known + weight * (rate - known));
    bounded.trimOldest(this.#tokensPerMs, MAX_MODELS);
  }

  /** Mean share of their target latency that answers took, decaying with time. */
  pressure(nowMs: number): number {
    return this.#pressure * computeDecay(nowMs - this.#pressureAtMs);
  }

  /** Predicted time to the first byte of an attempt: it waits as long as others did lately. */
  predictFirstByteMs(
    model: string | undefined,
    tokens: number,
    nowMs: number,
  ): number {
    return this.#readWaitMs(nowMs) + this.predictPrefillMs(model, tokens);
  }

  predictPrefillMs(model: string | undefined, tokens: number): number {
    return tokens /
      (this.#tokensPerMs.get(model ?? "") ?? DEFAULT_TOKENS_PER_MS);
  }

  #readWaitMs(nowMs: number): number {
    return this.#waitMs * computeDecay(nowMs - this.#waitAtMs);
  }
}

function computeDecay(ageMs: number): number {
  return Math.exp(-Math.max(0, ageMs) / DECAY_MS);
}
