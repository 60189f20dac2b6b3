/** What one process knows of a replica that names a rate. */
import type * as decisions from "@jackdawbank/decisions";

/** Requests to be left for more urgent ones: one, except by the most urgent. */
export type ReservedRequests = 0 | 1;

/** What is known of a replica that names a rate, or did lately. */
export interface KnownRate {
  statement: decisions.RateStatement;
  /** When the owner was last told. */
  toldAtMs: number;
  /** Times before which no request is asked for, by the question's rank. */
  readonly waitUntilMs: [number, number];
  /** Kept by the owner. */
  account: decisions.RateAccount | undefined;
  /** This process's share while the owner does not answer. */
  share: decisions.RateAccount | undefined;
  /** Requests that the owner has refused since it last granted one. */
  refusedAsks: number;
}

/** Where a more urgent request was refused, a less urgent one would be, too. */
export function delayAsks(
  { waitUntilMs }: KnownRate,
  rank: ReservedRequests,
  untilMs: number,
): void {
  if (rank === 0) waitUntilMs[0] = untilMs;
  waitUntilMs[1] = Math.max(waitUntilMs[1], untilMs);
}
