/**
 * Guard of a rolling version: sequential tests of errors and ratings against
 * the stable version. Each test adds up log-likelihood ratios and stops the
 * roll-out when the sum passes a bound; the sum is kept from falling below a
 * floor, so that a version that turns bad later is found as quickly.
 */

/** Limits that the bundle states. */
export interface GuardLimits {
  readonly minSamples: number;
  readonly maxErrorIncrease: number;
  readonly maxRatingDecrease: number;
}

/** Why a roll-out was stopped. */
export type GuardVerdict = "errors" | "ratings";

/** Bound of a sum of log-likelihood ratios: false alarms become rare as its exponential. */
const STOP_BOUND = 6.2;
/** Low enough that a healthy version seldom climbs from it to the bound. */
const SUM_FLOOR = -4;
/** Errors and requests that the stable version's rate starts from, against early chance. */
const PRIOR_ERRORS = 2;
const PRIOR_REQUESTS = 100;
/** Ratings of the stable version before ratings are compared. */
const MIN_STABLE_RATINGS = 50;
const MIN_RATING_VARIANCE = 0.000_4;
const MAX_LIKELIHOOD_STEP = 2;
const WINDOW = 5_000;

/** Running mean and variance of the stable version, with a prior. */
class Moments {
  #count = 0;
  #mean = 0;
  #squares = 0;

  get count(): number {
    return this.#count;
  }

  get mean(): number {
    return this.#mean;
  }

  get variance(): number {
    return this.#count < 2 ? 0 : this.#squares / (this.#count - 1);
  }

  add(value: number): void {
    this.#count += 1;
    const delta = value - this.#mean;
    this.#mean += delta / Math.min(this.#count, WINDOW);
    this.#squares += delta * (value - this.#mean);
    if (this.#count <= WINDOW) return;
    this.#squares *= (WINDOW - 1) / WINDOW;
    this.#count = WINDOW;
  }
}

/** Tests one rolling version against the stable one of its model. */
export class RolloutGuard {
  readonly #limits: GuardLimits;
  readonly #stableErrors = new Moments();
  readonly #stableRatings = new Moments();
  #samples = 0;
  #errorSum = 0;
  #ratingSum = 0;
  #verdict: GuardVerdict | undefined;

  constructor(limits: GuardLimits) {
    this.#limits = limits;
  }

  /** Set once the roll-out is stopped; it stays. */
  get verdict(): GuardVerdict | undefined {
    return this.#verdict;
  }

  /** Whether errors stand above the bound at this moment. */
  get isErrorBoundExceeded(): boolean {
    return this.#samples >= this.#limits.minSamples &&
      this.#errorSum >= STOP_BOUND;
  }

  recordStableOutcome(isError: boolean): void {
    this.#stableErrors.add(isError ? 1 : 0);
  }

  recordStableRating(score: number): void {
    this.#stableRatings.add(score);
  }

  /** Takes the outcome of a request on the rolling version. */
  recordRollingOutcome(isError: boolean): GuardVerdict | undefined {
    this.#samples += 1;
    if (this.#stableErrors.count < this.#limits.minSamples) {
      return this.#verdict;
    }
    const base = this.#estimateBase();
    const raised = Math.min(0.99, base + this.#limits.maxErrorIncrease);
    const step = isError
      ? Math.log(raised / base)
      : Math.log((1 - raised) / (1 - base));
    this.#errorSum = Math.max(SUM_FLOOR, this.#errorSum + step);
    return this.#decide("errors", this.#errorSum);
  }

  /** Takes a rating of a request on the rolling version. */
  recordRollingRating(score: number): GuardVerdict | undefined {
    if (this.#stableRatings.count < MIN_STABLE_RATINGS) {
      return this.#verdict;
    }
    const { mean } = this.#stableRatings;
    const variance = Math.max(
      MIN_RATING_VARIANCE,
      this.#stableRatings.variance,
    );
    const lowered = mean - this.#limits.maxRatingDecrease;
    const ratio = ((score - mean) ** 2 - (score - lowered) ** 2) /
      (2 * variance);
    // One rating alone may not decide.
    const step = Math.max(
      -MAX_LIKELIHOOD_STEP,
      Math.min(MAX_LIKELIHOOD_STEP, ratio),
    );
    this.#ratingSum = Math.max(SUM_FLOOR, this.#ratingSum + step);
    return this.#decide("ratings", this.#ratingSum);
  }

  /** Error rate of the stable version, leaning on a prior while it is young. */
  #estimateBase(): number {
    const { mean, count } = this.#stableErrors;
    return (mean * count + PRIOR_ERRORS) / (count + PRIOR_REQUESTS);
  }

  #decide(reason: GuardVerdict, sum: number): GuardVerdict | undefined {
    const isEnough = this.#samples >= this.#limits.minSamples;
    if (this.#verdict === undefined && isEnough && sum >= STOP_BOUND) {
      this.#verdict = reason;
    }
    return this.#verdict;
  }
}
