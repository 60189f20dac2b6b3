/**
 * Choice among models of unlike size: a request starts on the smallest, and
 * moves to the largest when the answer's confidence is low. Steps in between
 * cost more than they save: a request that is too hard for the smallest model
 * is mostly too hard for the next one. The bound falls where a larger model
 * would answer late, and while the engines are short of capacity.
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
  readonly canResend: boolean;
  /** How short the engines are of capacity: see `combinePressure`. */
  readonly pressure: number;
  /** Predicted share of the objective at which the larger model would begin to answer. */
  readonly predictedObjectiveRatio: number;
}

/** Confidence below which an answer of the most urgent requests is dropped. */
const CONFIDENCE_BOUND = 60;
/** Lower ranks are worth less for the same tokens: each rank lowers the bound. */
const CONFIDENCE_STEP = 5;
/** Confidence below which no rank keeps an answer while there is capacity. */
const MIN_CONFIDENCE_BOUND = 40;
/** A late answer earns about a third: only one that is most likely useless is dropped for it. */
const LATE_CONFIDENCE_BOUND = 25;
/** Pressure up to which the engines have capacity to spare. */
const EASY_PRESSURE = 0.35;
/** Pressure from which on nothing is asked twice. */
const FULL_PRESSURE = 0.9;

/** Share of all slots that may be taken while there is capacity to spare. */
const EASY_OCCUPANCY = 0.55;
/** Share from which on requests wait for slots everywhere. */
const FULL_OCCUPANCY = 1.05;

/**
 * Pressure on a service: the mean share of their objective that answers took
 * lately, or what the taken slots foretell. Answers tell only once they are
 * late, and a larger model holds its slot several times as long.
 */
export function combinePressure(
  answerShare: number,
  occupancy: number,
): number {
  const over = (occupancy - EASY_OCCUPANCY) /
    (FULL_OCCUPANCY - EASY_OCCUPANCY);
  return Math.max(
    answerShare,
    EASY_PRESSURE + over * (FULL_PRESSURE - EASY_PRESSURE),
  );
}

/** The bound for a rank, with capacity to spare. */
export function getConfidenceThreshold(priority: number): number {
  return Math.max(
    MIN_CONFIDENCE_BOUND,
    CONFIDENCE_BOUND - CONFIDENCE_STEP * priority,
  );
}

/** Share of the bound that is left under pressure. */
function relieve(pressure: number): number {
  const over = (pressure - EASY_PRESSURE) / (FULL_PRESSURE - EASY_PRESSURE);
  return Math.max(0, Math.min(1, 1 - over));
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
  if (!input.canResend || largest === undefined || model === largest) {
    return undefined;
  }
  if (confidence === undefined) return undefined;
  const usual = getConfidenceThreshold(input.priority);
  const bound = input.predictedObjectiveRatio > 1
    ? Math.min(usual, LATE_CONFIDENCE_BOUND)
    : usual;
  return confidence < bound * relieve(input.pressure) ? largest : undefined;
}
