/**
 * Guard of a rolling version: sequential probability ratio tests of its errors and
 * ratings against the stable version. Each test adds up log-likelihood ratios and
 * stops the roll-out when the sum passes a bound. The sum does not fall below a
 * floor, so that a version that turns bad later is found as quickly.
 */

/** Limits from the bundle. */
export interface GuardLimits {
  readonly minSamples: number;
  /** Increase of the error rate, from 0 to 1, that the test detects. */
  readonly maxErrorIncrease: number;
  /** Decrease of the mean rating that the test detects. */
  readonly maxRatingDecrease: number;
  /** Error rate of the rolling version up to which it is not blamed, whatever the stable one has. */
  readonly minBaseRate?: number;
  /** Smallest error rate that the test detects. */
  readonly minRaisedRate?: number;
}

/** Why a roll-out was stopped. */
export type GuardVerdict = "errors" | "ratings";

/** Bound of a sum of log-likelihood ratios. The rate of false alarms falls exponentially with it. */
const STOP_BOUND = 6.2;
/** Low enough that a healthy version rarely rises from it to the bound by chance. */
const SUM_FLOOR = -4;
/** Prior of the stable version's error rate, so that a few early requests do not decide. */
const PRIOR_ERRORS = 2;
const PRIOR_REQUESTS = 100;
/** Ratings of the stable version that are needed before ratings are compared. */
const MIN_STABLE_RATINGS = 50;
const MIN_RATING_VARIANCE = 0.000_4;
/** Largest change of the sum by one rating. */
const MAX_RATING_STEP = 2;
/** Values after which the mean and variance become exponential, so that older ones lose weight. */
const MOMENTS_WINDOW = 5_000;

/** Running mean and variance of a series of values. */
class RunningMoments {
  #count = 0;
  #mean = 0;
  #squaredDeviations = 0;

  get count(): number {
    return this.#count;
  }

  get mean(): number {
    return this.#mean;
  }

  get variance(): number {
    return this.#count < 2 ? 0 : this.#squaredDeviations / (this.#count - 1);
  }

  add(value: number): void {
    this.#count += 1;
    const delta = value - this.#mean;
    this.#mean += delta / Math.min(this.#count, MOMENTS_WINDOW);
    this.#squaredDeviations += delta * (value - this.#mean);
    if (this.#count <= MOMENTS_WINDOW) return;
    this.#squaredDeviations *= (MOMENTS_WINDOW - 1) / MOMENTS_WINDOW;
    this.#count = MOMENTS_WINDOW;
  }
}

/** Tests one rolling version against the stable one of its model. */
export class RolloutGuard {
  readonly #limits: GuardLimits;
  readonly #stableErrors = new RunningMoments();
  readonly #stableRatings = new RunningMoments();
  #samples = 0;
  #errorSum = 0;
  #ratingSum = 0;
  #verdict: GuardVerdict | undefined;

  constructor(limits: GuardLimits) {
    this.#limits = limits;
  }

  /** Why the roll-out was stopped; never cleared once it is set. */
  get verdict(): GuardVerdict | undefined {
    return this.#verdict;
  }

  /** Whether the test of errors is above its bound now. Unlike the verdict, this may change back. */
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

  /** Records a request on the rolling version and returns the verdict. */
  recordRollingOutcome(isError: boolean): GuardVerdict | undefined {
    this.#samples += 1;
    if (this.#stableErrors.count < this.#limits.minSamples) {
      return this.#verdict;
    }
    const baseRate = this.#estimateStableErrorRate();
    const { maxErrorIncrease, minRaisedRate = 0 } = this.#limits;
    const raisedRate = Math.min(
      0.99,
      Math.max(minRaisedRate, baseRate + maxErrorIncrease),
    );
    const step = isError
      ? Math.log(raisedRate / baseRate)
      : Math.log((1 - raisedRate) / (1 - baseRate));
    this.#errorSum = Math.max(SUM_FLOOR, this.#errorSum + step);
    return this.#updateVerdict("errors", this.#errorSum);
  }

  /** Records a rating of the rolling version and returns the verdict. */
  recordRollingRating(score: number): GuardVerdict | undefined {
    if (this.#stableRatings.count < MIN_STABLE_RATINGS) {
      return this.#verdict;
    }
    const { mean } = this.#stableRatings;
    const variance = Math.max(
      MIN_RATING_VARIANCE,
      this.#stableRatings.variance,
    );
    const loweredMean = mean - this.#limits.maxRatingDecrease;
    const logRatio = ((score - mean) ** 2 - (score - loweredMean) ** 2) /
      (2 * variance);
    // A single rating must not decide.
    const step = Math.max(
      -MAX_RATING_STEP,
      Math.min(MAX_RATING_STEP, logRatio),
    );
    this.#ratingSum = Math.max(SUM_FLOOR, this.#ratingSum + step);
    return this.#updateVerdict("ratings", this.#ratingSum);
  }

  /** Error rate of the stable version, blended with the prior. */
  #estimateStableErrorRate(): number {
    const { mean, count } = this.#stableErrors;
    const rate = (mean * count + PRIOR_ERRORS) / (count + PRIOR_REQUESTS);
    const { minBaseRate = 0 } = this.#limits;
    return Math.max(minBaseRate, rate);
  }

  #updateVerdict(reason: GuardVerdict, sum: number): GuardVerdict | undefined {
    const hasEnoughSamples = this.#samples >= this.#limits.minSamples;
    if (this.#verdict === undefined && hasEnoughSamples && sum >= STOP_BOUND) {
      this.#verdict = reason;
    }
    return this.#verdict;
  }
}
