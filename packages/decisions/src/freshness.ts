/**
 * Age of a process's view of the configuration: the time since the view was last
 * confirmed to be the newest. A read that is answered confirms the moment at which
 * it was sent; a watch (a read that waits for changes) that ends without changes
 * confirms the end of its wait. Two clocks are compared, because the monotonic
 * clock stops while a VM is suspended and the wall clock may be set.
 */
import type * as kernel from "@jackdawbank/kernel";

/** One reading of both clocks. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export function readClocks(clock: kernel.Clock): ClockReading {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}

/** Time since a reading, by the clock that shows the longer time, so that no pause is missed. */
export function measureAgeMs(start: ClockReading, now: ClockReading): number {
  return Math.max(
    now.monotonicMs - start.monotonicMs,
    now.wallMs - start.wallMs,
    0,
  );
}

export function addDuration(
  reading: ClockReading,
  durationMs: number,
): ClockReading {
  return {
    monotonicMs: reading.monotonicMs + durationMs,
    wallMs: reading.wallMs + durationMs,
  };
}

/** Wait of a watch without peers, where only the end of the watch confirms the view. */
export const DEFAULT_WATCH_WAIT_MS = 1_000;
/** Shortest wait of a watch where peers tell each other what they confirmed. */
const MIN_SHARED_WAIT_MS = 600;
/** With few peers, the longest wait grows by this for each process. */
const MAX_WAIT_PER_PROCESS_MS = 800;
/** With more processes than reach this wait, it grows by less for each further one. */
const SHORT_FLEET_WAIT_MS = 8_000;
const WAIT_PER_FURTHER_PROCESS_MS = 250;
const MAX_WATCH_WAIT_MS = 25_000;

/**
 * Chooses how long a watch waits, given the number of peers that share their
 * confirmations. A change ends the watches of all processes at once, so the waits
 * are drawn at random, to spread the next confirmations evenly.
 */
export function chooseWatchWaitMs(peers: number, random: number): number {
  if (peers === 0) return DEFAULT_WATCH_WAIT_MS;
  const processes = peers + 1;
  const fewProcesses = SHORT_FLEET_WAIT_MS / MAX_WAIT_PER_PROCESS_MS;
  const maxWaitMs = Math.min(
    MAX_WATCH_WAIT_MS,
    MAX_WAIT_PER_PROCESS_MS * Math.min(processes, fewProcesses) +
      WAIT_PER_FURTHER_PROCESS_MS * Math.max(0, processes - fewProcesses),
  );
  return Math.round(
    MIN_SHARED_WAIT_MS + random * (maxWaitMs - MIN_SHARED_WAIT_MS),
  );
}

/** Share of the bound for changes that a watch may pause, so that one call brings many changes. */
const WATCH_PAUSE_SHARE = 0.3;
const MIN_WATCH_PAUSE_MS = 200;
const MAX_WATCH_PAUSE_MS = 1_200;

/**
 * Pause after a watch that returned changes. A change that comes during the pause
 * is known at its end; the rest of the bound is kept for the call and its effect.
 */
export function computeWatchPauseMs(changeBoundMs: number): number {
  return Math.min(
    MAX_WATCH_PAUSE_MS,
    Math.max(MIN_WATCH_PAUSE_MS, WATCH_PAUSE_SHARE * changeBoundMs),
  );
}

/** Share of the bound for changes for which a watch may stay without the change that a peer knows. */
const WATCH_PATIENCE_SHARE = 0.15;

/**
 * Time after a peer's news of a change after which the watch that has not brought it
 * is sent again. The change comes in time even if the peer itself learnt of it after
 * a pause, its report took some time, and the first new watch is lost as well.
 */
export function computeWatchPatienceMs(changeBoundMs: number): number {
  return WATCH_PATIENCE_SHARE * changeBoundMs;
}

/** Bounds of the age of the view at which a process ends a long watch to confirm the view itself. */
const MIN_SELF_CONFIRM_AGE_MS = 1_600;
const MAX_SELF_CONFIRM_AGE_MS = 2_400;

/** Chooses the age within these bounds at random, so that processes do not all end their watches at once. */
export function chooseSelfConfirmAgeMs(random: number): number {
  return MIN_SELF_CONFIRM_AGE_MS +
    random * (MAX_SELF_CONFIRM_AGE_MS - MIN_SELF_CONFIRM_AGE_MS);
}

/** Share of the revocation bound that is reserved for delays between the check and the replica. */
const REVOCATION_MARGIN = 0.25;

/**
 * Returns the largest age of the view at which requests with an API key may still
 * be sent, so that a revoked key is not served beyond the bound.
 */
export function computeMaxKeyedAgeMs(revocationBoundMs: number): number {
  return revocationBoundMs * (1 - REVOCATION_MARGIN);
}
