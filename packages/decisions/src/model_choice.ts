/**
 * Choice among models of unlike size: a request starts on the smallest, and
 * moves to the largest when the answer's confidence is low. Steps in between
 * cost more than they save: a request that is too hard for the smallest model
 * is mostly too hard for the next one.
 */

/** What is known when an answer begins. */
export interface EscalationInput {
  /** Models of the route, smallest first. */
  readonly sizes: readonly string[];
  readonly model: string | undefined;
  /** 0 to 100; absent where the replica says nothing. */
  readonly confidence: number | undefined;
  /** Rank of the request; 0 is the most urgent. */
  readonly priority: number;
  readonly canSendAgain: boolean;
}

/** Confidence below which an answer of the most urgent requests is dropped. */
const CONFIDENCE_BOUND = 60;
/** Lower ranks are worth less for the same tokens: each rank lowers the bound. */
const CONFIDENCE_STEP = 5;
/** Confidence below which no rank keeps an answer. */
const MIN_CONFIDENCE_BOUND = 40;

/** The bound for a rank. */
export function boundConfidence(priority: number): number {
  return Math.max(
    MIN_CONFIDENCE_BOUND,
    CONFIDENCE_BOUND - CONFIDENCE_STEP * priority,
  );
}

/** The model that a request starts on. */
export function chooseStartModel(
  sizes: readonly string[],
): string | undefined {
  return sizes[0];
}

/** The model to ask anew, or nothing if the answer is kept. */
export function chooseEscalation(input: EscalationInput): string | undefined {
  const { sizes, model, confidence } = input;
  const largest = sizes.at(-1);
  if (!input.canSendAgain || largest === undefined || model === largest) {
    return undefined;
  }
  if (confidence === undefined) return undefined;
  return confidence < boundConfidence(input.priority) ? largest : undefined;
}
