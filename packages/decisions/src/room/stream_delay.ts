/**
 * Predicts which running streams a prompt makes late. An engine prefills prompts in
 * chunks between two steps of its streams, so that their events come slowly for as
 * long as prompts are prefilled without a break: hardly noticed for a short time,
 * but longer than callers accept for a long one. Long prompts are therefore sent
 * where few streams run, by the account of all processes.
 */

/** A prompt and the streams beside it. */
export interface StreamInterruption {
  /** Predicted prefill time of the prompts already pending at the replica. */
  readonly pendingMs: number;
  /** Predicted prefill time of this prompt. */
  readonly prefillMs: number;
  /** Requests that run at the replica. */
  readonly running: number;
  /** Longest pause between two events that the prompt's route accepts; absent if it is no stream. */
  readonly maxGapMs: number | undefined;
  /** Time until the prompt's own target latency is over; absent if it has none. */
  readonly remainingTargetMs: number | undefined;
}

/** Share of the longest accepted pause from which prefill without a break makes some streams late. */
const FIRST_LATE_SHARE = 0.6;
/** The same from which it makes all of them late. */
const ALL_LATE_SHARE = 1.2;
/** Cost of a stream that is made late, as a share of the longest accepted pause. */
const LATE_STREAM_COST_SHARE = 0.4;
/** An engine that also serves running streams prefills at about this part of its rate. */
const SHARED_PREFILL_RATE = 0.5;
/** Weight of the time by which the prompt's own answer is late. */
const OWN_LATENESS_WEIGHT = 4;

/** Share of the running streams that are late after prefill without a break, from 0 to 1. */
function predictLateShare(prefillMs: number, maxGapMs: number): number {
  const share = (prefillMs / maxGapMs - FIRST_LATE_SHARE) /
    (ALL_LATE_SHARE - FIRST_LATE_SHARE);
  return Math.max(0, Math.min(1, share));
}

/** Time by which a prompt itself is expected to be answered late, behind those that are pending. */
function predictOwnLatenessMs(
  { pendingMs, prefillMs, remainingTargetMs = Infinity }: StreamInterruption,
): number {
  const answeredMs = (pendingMs + prefillMs) / SHARED_PREFILL_RATE;
  return Math.max(0, answeredMs - Math.max(0, remainingTargetMs));
}

/**
 * Cost of the streams that a prompt makes late beyond those that pending prompts do,
 * and of its own lateness: it is not sent to wait behind others until it is late itself.
 */
export function predictInterruptionCostMs(
  interruption: StreamInterruption,
): number {
  const { pendingMs, prefillMs, running, maxGapMs } = interruption;
  if (maxGapMs === undefined || !interruptsStreams(prefillMs, maxGapMs)) {
    return 0;
  }
  const addedShare = predictLateShare(pendingMs + prefillMs, maxGapMs) -
    predictLateShare(pendingMs, maxGapMs);
  return running * addedShare * LATE_STREAM_COST_SHARE * maxGapMs +
    OWN_LATENESS_WEIGHT * predictOwnLatenessMs(interruption);
}

/** Whether a prompt alone makes running streams late, so that it is worth a wider search. */
export function interruptsStreams(
  prefillMs: number,
  maxGapMs: number | undefined,
): boolean {
  return maxGapMs !== undefined && predictLateShare(prefillMs, maxGapMs) > 0;
}
