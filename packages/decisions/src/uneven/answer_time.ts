/**
 * How long the answers of a service without prompts take, for each of its routes
 * and at the load of the replica. Learnt by one process from its own answers.
 */
import * as boundedMap from "../bounded_map.ts";

/** Weight of the newest answer in the mean. */
const ANSWER_WEIGHT = 0.05;
/** The first answers of a route have their plain mean. */
const MAX_EARLY_ANSWERS = 20;
/** Used for a route without answers. */
const DEFAULT_ANSWER_MS = 40;
/** Answers above this multiple of the mean count as this one: their time is no usual one. */
const MAX_RATIO = 5;
const MAX_ROUTES = 1_024;

/** Requests in flight at a replica when one more is sent, and what it serves at once. */
export interface AnswerLoad {
  readonly inFlight: number;
  readonly slots: number;
}

/** Mean answer times of one process. */
export class AnswerTimes {
  readonly #meanByRoute = new Map<
    string,
    { readonly meanMs: number; readonly count: number }
  >();

  /** Predicted time of an answer at a replica of usual speed. */
  predictMs(route: string, load: AnswerLoad): number {
    const meanMs = this.#meanByRoute.get(route)?.meanMs ?? DEFAULT_ANSWER_MS;
    return meanMs * computeLoadFactor(load);
  }

  /** Records the time of an answer, divided by its replica's speed factor. */
  record(route: string, tookMs: number, load: AnswerLoad): void {
    const sampleMs = tookMs / computeLoadFactor(load);
    const { meanMs, count } = this.#meanByRoute.get(route) ??
      { meanMs: sampleMs, count: 0 };
    const boundedMs = Math.min(sampleMs, MAX_RATIO * meanMs);
    const weight = Math.max(
      ANSWER_WEIGHT,
      1 / (1 + Math.min(count, MAX_EARLY_ANSWERS)),
    );
    this.#meanByRoute.delete(route);
    this.#meanByRoute.set(route, {
      meanMs: meanMs + weight * (boundedMs - meanMs),
      count: count + 1,
    });
    boundedMap.trimOldest(this.#meanByRoute, MAX_ROUTES);
  }
}

/** Requests beyond the slots wait for those before them. */
function computeLoadFactor({ inFlight, slots }: AnswerLoad): number {
  return Math.max(1, (inFlight + 1) / Math.max(1, slots));
}
