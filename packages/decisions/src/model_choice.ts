/**
 * Chooses among models of different sizes. A request starts on the smallest, and
 * is repeated on the largest if the answer's confidence is below a threshold.
 * Trying the models in between costs more than it saves: a request that is too
 * hard for the smallest model is mostly too hard for the next one. The threshold
 * is lower where the largest model would answer late, and while the engines are
 * short of capacity.
 */

/** State of a request when its answer begins. */
export interface EscalationInput {
  /** Models of the route, smallest first. */
  readonly sizes: readonly string[];
  readonly model: string | undefined;
  /** From 0 to 100, as the replica reports it; absent if it reports none. */
  readonly confidence: number | undefined;
  /** Rank of the request; 0 is the most urgent. */
  readonly priority: number;
  readonly canResend: boolean;
  /** Shortage of engine capacity, as `combinePressure` computes it. */
  readonly pressure: number;
  /** Predicted time from the request's arrival to the largest model's answer, divided by the objective. */
  readonly predictedObjectiveRatio: number;
}

/** Confidence below which an answer to a request of the most urgent rank is discarded. */
const BASE_CONFIDENCE_THRESHOLD = 60;
/** Each rank lowers the threshold, because less urgent answers earn less for the same tokens. */
const THRESHOLD_STEP_PER_RANK = 5;
/** Confidence below which answers of any rank are discarded while there is spare capacity. */
const MIN_CONFIDENCE_THRESHOLD = 40;
/** A late answer earns about a third, so only an answer that is most likely useless is discarded for it. */
const LATE_CONFIDENCE_THRESHOLD = 25;
/** Pressure up to which the engines have spare capacity. */
const LOW_PRESSURE = 0.35;
/** Pressure from which no request is repeated on the largest model. */
const FULL_PRESSURE = 0.9;

/** Requests in flight per slot up to which there is spare capacity. */
const LOW_OCCUPANCY = 0.55;
/** Requests in flight per slot from which requests wait at every replica. */
const FULL_OCCUPANCY = 1.05;

/**
 * Pressure on a service: the mean share of the latency objective that recent
 * answers took, or the pressure that the occupied slots predict if that is higher.
 * Answers show a shortage only once they are late, and a larger model holds its
 * slot several times as long.
 */
export function combinePressure(
  objectiveRatio: number,
  occupancy: number,
): number {
  const excess = (occupancy - LOW_OCCUPANCY) /
    (FULL_OCCUPANCY - LOW_OCCUPANCY);
  return Math.max(
    objectiveRatio,
    LOW_PRESSURE + excess * (FULL_PRESSURE - LOW_PRESSURE),
  );
}

/** Returns the confidence threshold of a rank while there is spare capacity. */
export function getConfidenceThreshold(priority: number): number {
  return Math.max(
    MIN_CONFIDENCE_THRESHOLD,
    BASE_CONFIDENCE_THRESHOLD - THRESHOLD_STEP_PER_RANK * priority,
  );
}

/** Factor from 0 to 1 by which pressure lowers the threshold. */
function computeThresholdFactor(pressure: number): number {
  const excess = (pressure - LOW_PRESSURE) / (FULL_PRESSURE - LOW_PRESSURE);
  return Math.max(0, Math.min(1, 1 - excess));
}

/** Chooses the model that a request starts on. */
export function chooseStartModel(
  sizes: readonly string[],
): string | undefined {
  return sizes[0];
}

/** Returns the model on which the request is repeated, or `undefined` if the answer is kept. */
export function chooseEscalation(input: EscalationInput): string | undefined {
  const { sizes, model, confidence } = input;
  const largest = sizes.at(-1);
  if (!input.canResend || largest === undefined || model === largest) {
    return undefined;
  }
  if (confidence === undefined) return undefined;
  const usualThreshold = getConfidenceThreshold(input.priority);
  const threshold = input.predictedObjectiveRatio > 1
    ? Math.min(usualThreshold, LATE_CONFIDENCE_THRESHOLD)
    : usualThreshold;
  return confidence < threshold * computeThresholdFactor(input.pressure)
    ? largest
    : undefined;
}
