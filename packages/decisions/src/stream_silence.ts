/**
 * When a silent stream counts as stalled and continues on another replica. A
 * replica that prefills a long prompt sends nothing on any stream meanwhile, so
 * the prefill time known to be pending there is added to the limits.
 */

/** State of a stream that delivers no events. */
export interface StreamStallInput {
  /** Time since its newest event, or since it was sent. */
  readonly waitedMs: number;
  /** Longest usual wait at this point: for the start of the stream, or for its next event. */
  readonly limitMs: number;
  /** Time since the replica sent anything to any process, at most since the stream was sent. */
  readonly replicaSilentMs: number;
  /** Predicted time until the prompts known to wait there are prefilled. */
  readonly pendingPrefillMs: number;
}

/** A replica that sent nothing on any stream for longer than this counts as silent. */
const REPLICA_SILENCE_MS = 900;
/** Multiple of `limitMs` after which a stream is stalled even if its replica is not silent. */
const MAX_LIMIT_FACTOR = 2.5;
/** Pending prefill beyond this is ignored: a replica that takes longer counts as hanging. */
const MAX_PREFILL_MS = 4_000;

/** Whether the stream should continue on another replica. */
export function isStreamStalled(input: StreamStallInput): boolean {
  const prefillMs = Math.min(MAX_PREFILL_MS, input.pendingPrefillMs);
  const waitedMs = input.waitedMs - prefillMs;
  if (waitedMs <= input.limitMs) return false;
  return input.replicaSilentMs - prefillMs > REPLICA_SILENCE_MS ||
    waitedMs > input.limitMs * MAX_LIMIT_FACTOR;
}
