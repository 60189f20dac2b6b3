/**
 * When a stream is taken as silent and goes on elsewhere. A replica that reads
 * a long prompt sends nothing to anybody meanwhile: what is known to be left to
 * read there is waited for.
 */

/** What is known of a stream that brings nothing. */
export interface StreamStallInput {
  /** Time since its newest event, or since it was sent. */
  readonly waitedMs: number;
  /** Longest wait that is usual at this point. */
  readonly limitMs: number;
  /** Time since the replica sent anything to this process. */
  readonly replicaSilentMs: number;
  /** Time that prompts which are known to wait there take to be read. */
  readonly pendingPrefillMs: number;
}

/** A replica that sent nothing to anybody for so long is silent. */
const REPLICA_SILENCE_MS = 900;
/** Wait, in usual longest waits, beyond which any replica is given up. */
const MAX_LIMITS = 2.5;
/** A prompt that takes longer than this is not read any more. */
const MAX_READING_MS = 4_000;

/** Whether the stream should go on at another replica. */
export function isStreamStalled(input: StreamStallInput): boolean {
  const readingMs = Math.min(MAX_READING_MS, input.pendingPrefillMs);
  const waitedMs = input.waitedMs - readingMs;
  if (waitedMs <= input.limitMs) return false;
  return input.replicaSilentMs - readingMs > REPLICA_SILENCE_MS ||
    waitedMs > input.limitMs * MAX_LIMITS;
}
