/**
 * How long ago a process surely held the newest configuration. A read that was
 * answered confirms the moment at which it was sent; a watch that ran out
 * empty confirms the end of its wait. Both clocks are compared: a steady clock
 * stops while a VM is suspended, and the time of day may be set.
 */

/** One reading of both clocks. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** Time since a reading: the larger of both clocks, so that no pause is missed. */
export function measureAgeMs(since: ClockReading, now: ClockReading): number {
  return Math.max(
    now.steadyMs - since.steadyMs,
    now.wallMs - since.wallMs,
    0,
  );
}

/** Adds a wait to a reading. */
export function addWait(reading: ClockReading, waitMs: number): ClockReading {
  return {
    steadyMs: reading.steadyMs + waitMs,
    wallMs: reading.wallMs + waitMs,
  };
}

/** Share of the bound that is kept free for delays on the way to a replica. */
const REVOCATION_MARGIN = 0.25;

/** Largest age at which requests with a key may still be sent on. */
export function limitKeyedAgeMs(revocationBoundMs: number): number {
  return revocationBoundMs * (1 - REVOCATION_MARGIN);
}
