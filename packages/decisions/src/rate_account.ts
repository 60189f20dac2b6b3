/**
 * Keeps to the rate of requests that a replica names for all processes together.
 * One process, the owner, keeps a token bucket and grants single requests. The
 * rate is in force from what was heard last, by whichever process.
 */

/** Rate and capacity of a token bucket. */
export interface TokenBucket {
  readonly ratePerS: number;
  readonly burstRequests: number;
}

/** Newest statement about a replica's rate, with the local time at which it was heard. */
export interface RateStatement {
  /** Requests per second; absent without a limit. */
  readonly rate: number | undefined;
  readonly heardAtMs: number;
}

export const NO_RATE_STATEMENT: RateStatement = {
  rate: undefined,
  heardAtMs: -Infinity,
};

/** Rate at which a replica that takes nothing is asked whether that is over. */
const MIN_RATE_PER_S = 0.25;
/** Requests that the bucket holds at any rate. */
const BURST_REQUESTS = 2;
/** Time for which unused requests are kept. */
const BURST_MS = 500;
/** Share of the rate that all processes use together without the owner. */
const UNOWNED_SHARE = 0.3;
const MS_PER_S = 1_000;

/** Ages of statements that others pass on are wrong by the time of their messages. */
const MAX_AGE_ERROR_MS = 50;

/** The newer of the known statement and one that another process passed on. */
export function chooseNewerStatement(
  known: RateStatement,
  passedOn: RateStatement,
): RateStatement {
  return passedOn.heardAtMs > known.heardAtMs + MAX_AGE_ERROR_MS
    ? passedOn
    : known;
}

function computeRatePerMs(ratePerS: number): number {
  return Math.max(MIN_RATE_PER_S, ratePerS) / MS_PER_S;
}

/** Token bucket of one replica, which grants requests at the rate of the moment. */
export class RateAccount {
  #tokens: number;
  #updatedAtMs: number;

  /** A new owner does not know what the one before has granted, so the bucket is not full. */
  constructor(nowMs: number, tokens = 1) {
    this.#tokens = tokens;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Takes a request; returns 0 if it is granted, or else the time in milliseconds
   * after which it would be. `reserved` requests are left for more urgent ones.
   */
  take(ratePerS: number, nowMs: number, reserved: number): number {
    const ratePerMs = computeRatePerMs(ratePerS);
    const limit = BURST_REQUESTS + ratePerMs * BURST_MS;
    return this.#take({ ratePerMs, limit, nowMs, needed: 1 + reserved });
  }

  /** Takes a request from this process's share of the rate, while the owner does not answer. */
  takeUnowned(ratePerS: number, nowMs: number, processes: number): number {
    const ratePerMs = UNOWNED_SHARE * computeRatePerMs(ratePerS) / processes;
    return this.#take({ ratePerMs, limit: 1, nowMs, needed: 1 });
  }

  /** Time after which a bucket would hold the needed tokens; 0 if it does. */
  findWaitMs(
    { ratePerS, burstRequests }: TokenBucket,
    nowMs: number,
    needed: number,
  ): number {
    const ratePerMs = ratePerS / MS_PER_S;
    this.#refill(ratePerMs, burstRequests, nowMs);
    return Math.max(0, needed - this.#tokens) / ratePerMs;
  }

  /** Takes a request that `findWaitMs` has found to be granted now. */
  takeOne(): void {
    this.#tokens -= 1;
  }

  #take(options: {
    readonly ratePerMs: number;
    readonly limit: number;
    readonly nowMs: number;
    readonly needed: number;
  }): number {
    const { ratePerMs, limit, nowMs, needed } = options;
    this.#refill(ratePerMs, limit, nowMs);
    const missing = needed - this.#tokens;
    if (missing > 0) return missing / ratePerMs;
    this.#tokens -= 1;
    return 0;
  }

  #refill(ratePerMs: number, limit: number, nowMs: number): void {
    const refilled = Math.max(0, nowMs - this.#updatedAtMs) * ratePerMs;
    this.#tokens = Math.min(limit, this.#tokens + refilled);
    this.#updatedAtMs = nowMs;
  }
}
