/**
 * Budget of extra sends over a sliding window: sends beyond the first of
 * each request stay under a share of the requests, so that failures or
 * escalations cannot multiply the load of a service.
 */

/** Buckets into which the window is divided. */
const BUCKET_COUNT = 10;

interface Bucket {
  /** Number of the bucket's time slot since time 0. */
  slot: number;
  requests: number;
  extraSends: number;
}

export interface SlidingRetryBudgetOptions {
  readonly windowMs: number;
  /** Extra sends allowed for each request. */
  readonly ratio: number;
  /** Extra sends allowed in a window regardless of the number of requests. */
  readonly slack: number;
}

/** Counts requests and extra sends of one service at one process. */
export class SlidingRetryBudget {
  readonly #options: SlidingRetryBudgetOptions;
  readonly #buckets: Bucket[] = [];

  constructor(options: SlidingRetryBudgetOptions) {
    this.#options = options;
  }

  recordRequest(nowMs: number): void {
    this.#getOrCreateBucket(nowMs).requests += 1;
  }

  recordExtraSend(nowMs: number): void {
    this.#getOrCreateBucket(nowMs).extraSends += 1;
  }

  /** Whether another extra send stays within the budget. */
  canSendExtra(
    nowMs: number,
    options: {
      /** Part of the whole budget that this send may use. */
      readonly share: number;
      /** Part of the slack that this process may use. */
      readonly slackShare: number;
    },
  ): boolean {
    const oldest = this.#computeSlot(nowMs) - BUCKET_COUNT;
    let requests = 0;
    let extraSends = 0;
    for (const bucket of this.#buckets) {
      if (bucket.slot <= oldest) continue;
      requests += bucket.requests;
      extraSends += bucket.extraSends;
    }
    const { ratio, slack } = this.#options;
    return extraSends + 1 <=
      options.share * (ratio * requests + slack * options.slackShare);
  }

  #computeSlot(nowMs: number): number {
    return Math.floor(nowMs / (this.#options.windowMs / BUCKET_COUNT));
  }

  #getOrCreateBucket(nowMs: number): Bucket {
    const slot = this.#computeSlot(nowMs);
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.slot >= slot) return last;
    const bucket = { slot, requests: 0, extraSends: 0 };
    this.#buckets.push(bucket);
    if (this.#buckets.length > BUCKET_COUNT) this.#buckets.shift();
    return bucket;
  }
}
