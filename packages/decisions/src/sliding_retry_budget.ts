/**
 * Budget of repeated sends over a sliding window: sends beyond the first of
 * each request stay under a share of the requests, so that failures or
 * escalations cannot multiply the load of a service.
 */

const BUCKETS = 10;

interface Bucket {
  slot: number;
  requests: number;
  extras: number;
}

/** Settings of a budget. */
export interface SlidingRetryBudgetOptions {
  readonly windowMs: number;
  /** Extra sends allowed for each request. */
  readonly ratio: number;
  /** Extra sends allowed beside them. */
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
    this.#bucket(nowMs).requests += 1;
  }

  recordExtraSend(nowMs: number): void {
    this.#bucket(nowMs).extras += 1;
  }

  /** Whether another extra send stays within a share of the budget. */
  canSendExtra(
    nowMs: number,
    options: {
      readonly share: number;
      /** Part of the slack that this process may use. */
      readonly slackShare: number;
    },
  ): boolean {
    const oldest = this.#slot(nowMs) - BUCKETS;
    let requests = 0;
    let extras = 0;
    for (const bucket of this.#buckets) {
      if (bucket.slot <= oldest) continue;
      requests += bucket.requests;
      extras += bucket.extras;
    }
    const { ratio, slack } = this.#options;
    return extras + 1 <=
      options.share * (ratio * requests + slack * options.slackShare);
  }

  #slot(nowMs: number): number {
    return Math.floor(nowMs / (this.#options.windowMs / BUCKETS));
  }

  #bucket(nowMs: number): Bucket {
    const slot = this.#slot(nowMs);
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.slot >= slot) return last;
    const bucket = { slot, requests: 0, extras: 0 };
    this.#buckets.push(bucket);
    if (this.#buckets.length > BUCKETS) this.#buckets.shift();
    return bucket;
  }
}
