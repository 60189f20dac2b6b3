/**
 * How long ago a process surely held the newest configuration. A read that was
 * answered confirms the moment at which it was sent; a watch that ran out
 * empty confirms the end of its wait. Both clocks are compared: a steady clock
 * stops while a VM is suspended, and the time of day may be set.
 */
import type * as kernel from "@jackdawbank/kernel";

/** One reading of both clocks. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Reads both clocks. */
export function readClocks(clock: kernel.Clock): ClockReading {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/** Time since a reading: the larger of both clocks, so that no pause is missed. */
export function measureAgeMs(since: ClockReading, now: ClockReading): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
    0,
  );
}

/** Adds a wait to a reading. */
export function addDuration(
  reading: ClockReading,
  waitMs: number,
): ClockReading {
  return {
    monotonicMs: reading.monotonicMs + waitMs,
    wallMs: reading.wallMs + waitMs,
  };
}

/** Wait of a watch where nobody else confirms the view; its end does. */
export const DEFAULT_WATCH_WAIT_MS = 1_000;
/** With peers that confirm each other, one of them confirms at least about so often. */
const SHARED_WAIT_MS = 600;
/** Longest wait for each process that shares. */
const LONGEST_SHARE_MS = 800;
const MAX_WATCH_WAIT_MS = 8_000;

/**
 * How long a watch may wait where so many peers share what they confirm. A
 * change ends the watches of all processes at once, so the next ends are spread
 * evenly from the shortest wait on.
 */
export function chooseWatchWaitMs(peers: number, random: number): number {
  if (peers === 0) return DEFAULT_WATCH_WAIT_MS;
  const longestMs = Math.min(MAX_WATCH_WAIT_MS, LONGEST_SHARE_MS * (peers + 1));
  return Math.round(SHARED_WAIT_MS + random * (longestMs - SHARED_WAIT_MS));
}

/** A watch that waits longer is ended once nobody has confirmed the view for so long. */
const MIN_QUIET_AGE_MS = 1_600;
const MAX_QUIET_AGE_MS = 2_400;

/** The age at which this process confirms its view itself; processes draw unlike ones. */
export function chooseSelfConfirmAgeMs(random: number): number {
  return MIN_QUIET_AGE_MS + random * (MAX_QUIET_AGE_MS - MIN_QUIET_AGE_MS);
}

/** Share of the bound that is kept free for delays on the way to a replica. */
const REVOCATION_MARGIN = 0.25;

/** Largest age at which requests with a key may still be sent on. */
export function computeMaxKeyedAgeMs(revocationBoundMs: number): number {
  return revocationBoundMs * (1 - REVOCATION_MARGIN);
}
