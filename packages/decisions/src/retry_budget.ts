/** Retry budget: retries are a bounded share of first attempts, so that they cannot feed a storm. */

const MAX_SAVED_RETRIES = 10;

/** Bucket that first attempts fill and retries empty. */
export class RetryBudget {
  #tokens = 1;

  /** Counts a first attempt. */
  recordFirstAttempt(retryRatio: number): void {
    this.#tokens = Math.min(MAX_SAVED_RETRIES, this.#tokens + retryRatio);
  }

  /** Takes a retry from the budget, if one is left. */
  takeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
