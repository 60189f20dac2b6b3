/** Retry budget: retries are a bounded share of first attempts, which prevents retry storms. */

const MAX_SAVED_RETRIES = 10;

/** Token bucket that first attempts fill and retries empty. */
export class RetryBudget {
  #tokens = 1;

  /** Counts a first attempt. */
  recordFirstAttempt(retryRatio: number): void {
    this.#tokens = Math.min(MAX_SAVED_RETRIES, this.#tokens + retryRatio);
  }

  /** Takes a retry from the budget; returns false if none is left. */
  takeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
