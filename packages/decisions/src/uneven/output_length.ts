/**
 * Predicts the output of requests from the callers' estimates. These are right at
 * the median but often far off, so that the middle ratio of an estimate to the
 * events of its answer tells the tokens of an event, and a high quantile of the
 * real lengths by route tells what to expect.
 */
import * as bounded from "../bounded_map.ts";

/** Quantile of the lengths that is expected: most answers are shorter. */
const EXPECTED_QUANTILE = 0.75;
const MEDIAN = 0.5;
/** Change of a quantile with each answer, as a logarithm. */
const QUANTILE_STEP = 0.1;
/** Events below which an answer says little about the tokens of an event. */
const MIN_EVENTS = 4;
/** Answers from which a quantile is used. */
const MIN_ANSWERS = 20;
/** Bounds the correction of an estimate. */
const MAX_FACTOR = 4;
const MAX_ROUTES = 1_024;

/** Running quantile of positive values, by small steps of their logarithm. */
class RunningQuantile {
  readonly #quantile: number;
  #log: number | undefined;
  #count = 0;

  constructor(quantile: number) {
    this.#quantile = quantile;
  }

  /** The quantile, or `undefined` while there are few values. */
  get value(): number | undefined {
    return this.#log === undefined || this.#count < MIN_ANSWERS
      ? undefined
      : Math.exp(this.#log);
  }

  add(value: number): void {
    const log = Math.log(value);
    const current = this.#log ?? log;
    const share = log > current ? this.#quantile : this.#quantile - 1;
    this.#log = current + (log === current ? 0 : QUANTILE_STEP * share);
    this.#count += 1;
  }
}

/** Lengths of the answers of one service, as one process sees them. */
export class OutputLengths {
  readonly #tokensPerEvent = new RunningQuantile(MEDIAN);
  readonly #factorByRoute = new Map<string, RunningQuantile>();

  /** Tokens that a request's output is expected to take. */
  predictTokens(route: string, hintTokens: number): number {
    const factor = this.#factorByRoute.get(route)?.value ?? 1;
    return hintTokens * Math.max(1, Math.min(MAX_FACTOR, factor));
  }

  /** Tokens in a number of events; 0 while their size is not known. */
  countTokens(events: number): number {
    return events * (this.#tokensPerEvent.value ?? 0);
  }

  /** Records the events of a whole answer. */
  record(route: string, hintTokens: number, events: number): void {
    if (hintTokens <= 0 || events <= 0) return;
    if (events >= MIN_EVENTS) this.#tokensPerEvent.add(hintTokens / events);
    const tokens = this.countTokens(events);
    if (tokens === 0) return;
    const quantile = this.#factorByRoute.get(route) ??
      new RunningQuantile(EXPECTED_QUANTILE);
    this.#factorByRoute.delete(route);
    this.#factorByRoute.set(route, quantile);
    bounded.trimOldest(this.#factorByRoute, MAX_ROUTES);
    quantile.add(tokens / hintTokens);
  }
}
