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

/** Longest wait of one watch: its end confirms that the view is current. */
const WATCH_WAIT_MS = 1_000;
/** With peers that confirm each other, one of them confirms about so often. */
const SHARED_WAIT_MS = 600;
const MAX_WATCH_WAIT_MS = 8_000;
/** Share by which waits differ, so that they do not end together. */
const WAIT_SPREAD = 0.3;

/** How long a watch may wait where so many peers share what they confirm. */
export function chooseWatchWaitMs(peers: number, random: number): number {
  if (peers === 0) return WATCH_WAIT_MS;
  const sharedMs = Math.min(MAX_WATCH_WAIT_MS, SHARED_WAIT_MS * (peers + 1));
  const spread = 1 - WAIT_SPREAD + 2 * WAIT_SPREAD * random;
  return Math.max(WATCH_WAIT_MS, Math.round(sharedMs * spread));
}

/** Share of the bound that is kept free for delays on the way to a replica. */
const REVOCATION_MARGIN = 0.25;

/** Largest age at which requests with a key may still be sent on. */
export function limitKeyedAgeMs(revocationBoundMs: number): number {
  return revocationBoundMs * (1 - REVOCATION_MARGIN);
}
