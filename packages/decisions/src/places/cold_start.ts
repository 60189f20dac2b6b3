/**
 * Cold replicas: how an entry tells that its replica is cold, and how many requests
 * each process that grants them may let through, so that the sum stays within the
 * bound also while processes disagree on who grants.
 */
import * as rates from "../rate_account.ts";

/** Requests that a cold replica bears in a second: `requestsPerS` times `factor`, and `extraRequests` more. */
export interface ColdLimit {
  readonly requestsPerS: number;
  readonly factor: number;
  readonly extraRequests: number;
}

/** Who grants requests to a cold replica: its owner, or the deputy while the owner is silent. */
export type GrantorRole = "owner" | "deputy";

/**
 * Share of the bound that one grantor lets through in any second. Two processes
 * that both believe they own the replica and a deputy stay within it together; the
 * rest is for requests that arrive later than they were sent.
 */
const BOUND_SHARE: Readonly<Record<GrantorRole, number>> = {
  owner: 0.4,
  deputy: 0.16,
};
/** Requests that a grantor's bucket holds. */
const BURST_REQUESTS = 1.5;
/** Part of a request that must stay in the bucket for prompts that belong to the replica. */
const RESERVE_REQUESTS = 0.5;
/** Bounds that leave a grantor less than this are left to the owner alone. */
const MIN_DEPUTY_REQUESTS = 2;
/** Of a small bound, the share of the rate that the owner grants. */
const SMALL_BOUND_SHARE = 0.25;
/** Prompts that take longer to prefill than this give way to others at a cold replica. */
const MAX_PREFERRED_PREFILL_MS = 400;
/** Clocks of other machines may be off by this. */
const CLOCK_TOLERANCE_MS = 500;

/** Requests that all processes together may send in one second. */
export function computeColdBound(limit: ColdLimit): number {
  return limit.requestsPerS * limit.factor + limit.extraRequests;
}

/** Token bucket of one grantor; absent if it may grant nothing. */
export function computeGrantorBucket(
  limit: ColdLimit,
  role: GrantorRole,
): rates.TokenBucket | undefined {
  const bound = computeColdBound(limit);
  const requests = BOUND_SHARE[role] * bound;
  if (requests >= MIN_DEPUTY_REQUESTS) {
    const ratePerS = Math.min(limit.requestsPerS, requests - BURST_REQUESTS);
    return { ratePerS, burstRequests: BURST_REQUESTS };
  }
  if (role === "deputy" || bound < 1) return undefined;
  return {
    ratePerS: SMALL_BOUND_SHARE * Math.min(limit.requestsPerS, bound),
    burstRequests: 1,
  };
}

/** Tokens that the bucket must hold to grant a request. */
export function computeNeededTokens(
  { burstRequests }: rates.TokenBucket,
  isPreferred: boolean,
): number {
  const needed = isPreferred ? 1 : 1 + RESERVE_REQUESTS;
  return Math.min(burstRequests, needed);
}

/** Whether a prompt goes first at a cold replica: its prefix belongs there, and it is not long. */
export function isPreferredWhileCold(prompt: {
  readonly isHome: boolean;
  readonly prefillMs: number;
}): boolean {
  return prompt.isHome && prompt.prefillMs <= MAX_PREFERRED_PREFILL_MS;
}

/** What an entry says about its replica's start and coldness. */
export interface ColdStatement {
  readonly coldForMs: number;
  /** Wall-clock time of the replica's start; absent if unknown. */
  readonly startedAtMs: number | undefined;
}

/** Why a replica is taken for cold. */
export type ColdEvidence = "entry" | "started";

export interface ColdFinding {
  readonly remainingMs: number;
  readonly evidence: ColdEvidence;
}

/** Longest time for which a replica that started at a known time may still be cold. */
function estimateRemainingMs(
  startedAtMs: number | undefined,
  durationMs: number,
  wallMs: number,
): number {
  if (startedAtMs === undefined) return durationMs;
  const ageMs = wallMs - startedAtMs - CLOCK_TOLERANCE_MS;
  return Math.min(durationMs, durationMs - ageMs);
}

/**
 * Whether an entry shows that its replica is cold from now on. An unchanged
 * statement is no new evidence, and a replica of the first view whose start is
 * unknown counts as warm.
 */
export function findColdness(
  entry: ColdStatement,
  context: {
    /** The entry as it was known before; absent if it was not. */
    readonly previous: ColdStatement | undefined;
    /** Time for which a replica is cold after its start. */
    readonly durationMs: number;
    /** Whether the entry belongs to the first view of this process. */
    readonly isFirstView: boolean;
    readonly wallMs: number;
  },
): ColdFinding | undefined {
  const { previous, durationMs, isFirstView, wallMs } = context;
  const { startedAtMs, coldForMs } = entry;
  const isStart = previous?.startedAtMs !== startedAtMs ||
    previous === undefined;
  const stated = isStart || previous.coldForMs !== coldForMs ? coldForMs : 0;
  const isKnownStart = startedAtMs !== undefined || !isFirstView;
  const assumed = isStart && isKnownStart
    ? estimateRemainingMs(startedAtMs, durationMs, wallMs)
    : 0;
  if (stated > 0) return { remainingMs: stated, evidence: "entry" };
  return assumed > 0
    ? { remainingMs: assumed, evidence: "started" }
    : undefined;
}
