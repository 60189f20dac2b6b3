/** Decides when the running attempt of a stream is given up. */
import * as decisions from "@jackdawbank/decisions";
import type * as dispatchers from "./dispatcher.ts";
import type * as requests from "./request.ts";
import * as streamAttempts from "./stream_attempt.ts";

/** Share of a stream's time-out after which the load of its replica is watched closely. */
const LOAD_QUERY_SHARE = 0.5;

/** What bounds an attempt beside its request. */
export interface StreamWatch {
  /** Whether another run may follow it. */
  readonly hasRunsLeft: boolean;
  /** The caller has all events as it seems; the attempt is to confirm that. */
  readonly isConfirming: boolean;
  readonly triedReplicaIds: ReadonlySet<string>;
}

/** Why an attempt whose caller keeps up must be given up now; absent if it may go on. */
export function findReasonToGiveUp(
  dispatcher: dispatchers.Dispatcher,
  request: requests.AdmittedRequest,
  current: streamAttempts.StreamAttempt,
  watch: StreamWatch,
): string | undefined {
  const { nowMs } = dispatcher;
  const { sent, headAtMs, lastEventAtMs, startedAtMs } = current;
  const waitedMs = nowMs - lastEventAtMs;
  const firstByteTimeoutMs = streamAttempts.computeFirstByteTimeoutMs(request);
  if (watch.isConfirming && waitedMs >= firstByteTimeoutMs) {
    return "no response within the time-out";
  }
  const limitMs = headAtMs === undefined
    ? firstByteTimeoutMs
    : request.route.maxGapMs;
  if (
    !watch.hasRunsLeft || sent === undefined ||
    waitedMs < LOAD_QUERY_SHARE * limitMs
  ) return undefined;
  const replica = dispatcher.observeReplica(sent.state, startedAtMs);
  const isStalled = decisions.isStreamStalled({
    waitedMs,
    limitMs,
    replicaSilentMs: replica.silentMs,
    pendingPrefillMs: replica.pendingPrefillMs,
  });
  if (!isStalled) return undefined;
  const excluded = new Set([...watch.triedReplicaIds, sent.state.entry.id]);
  // A stalled stream is kept unless it can be resumed at another replica.
  return dispatcher.canReroute(request, excluded) ? "stalled" : undefined;
}
