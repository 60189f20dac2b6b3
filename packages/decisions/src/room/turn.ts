/**
 * Decides when a prompt may be sent to replicas that prefill prompts in the order
 * of their arrival. A prompt is sent while the backlog is below its own ceiling,
 * which is low for long and less urgent prompts and for accounts over their share.
 * Long prompts so wait in the processes of this system, and short ones pass them.
 */

/** Work at a replica, of all processes together. */
export interface ReplicaRoom {
  /** Predicted time until the prompts in flight there are prefilled. */
  readonly backlogMs: number;
  readonly running: number;
  readonly slots: number;
  /** Requests of mean size that must end before the memory holds one more; 0 while it does. */
  readonly missingRequests: number;
}

/** What the routes of a service ask of its engines. */
export interface RoomPolicy {
  /** Shortest target latency of the service's routes. */
  readonly shortestTargetMs: number;
  /** Rank of the most urgent requests; 0 is the most urgent one that can be configured. */
  readonly firstRank: number;
}

/** A prompt that is ready to be sent. */
export interface RoomRequest {
  /** Predicted prefill time of the prompt. */
  readonly prefillMs: number;
  /** Mean prefill time of the service's prompts. */
  readonly meanPrefillMs: number;
  /** Rank of its account or route; 0 is the most urgent. */
  readonly rank: number;
  /** Ratio of its account's use of the engines to its share; at most 1 within the share. */
  readonly shareRatio: number;
  /** Time since the request arrived. */
  readonly elapsedMs: number;
  /** Target latency of its route, counted from the arrival. */
  readonly targetMs: number;
  /** Time from the arrival until the caller gives up. */
  readonly deadlineMs: number;
}

/** Why a prompt is sent or held. */
export type TurnReason =
  | "no-shortage"
  | "below-ceiling"
  | "latest-start"
  | "longest-hold"
  | "above-ceiling"
  | "over-share";

/** Whether a prompt is sent now, with the inputs of the decision for the log. */
export interface RoomTurn {
  readonly type: "now" | "wait";
  readonly reason: TurnReason;
  readonly ceilingMs: number;
  /** Time after which the room should be read again; 0 for a prompt that is sent now. */
  readonly waitMs: number;
  /** Time after which it must be read again, so that the prompt is not held too long. */
  readonly longestMs: number;
}

/** Backlog below which every prompt is sent; keeps engines busy between two readings. */
const MIN_FLOOR_MS = 80;
/** Ceiling of a prompt of mean length, as a share of the shortest target latency. */
const CEILING_SHARE = 0.3;
/** Relative rise of the ceiling until the longest hold, so that older prompts go first. */
const AGE_RISE = 2;
/** Share of the target latency that is kept for the answer's way back. */
const TARGET_RESERVE_SHARE = 0.1;
/** A prompt that would miss its target by more than this share is late anyway. */
const LATE_TOLERANCE_SHARE = 0.1;
/** Longest hold, as a share of the target latency. */
const MAX_HOLD_TARGET_SHARE = 0.75;
/** Longest hold of an account that is over its share, as a share of the time to the deadline. */
const MAX_HOLD_DEADLINE_SHARE = 0.5;
/** Delay by each running request beyond the slots or the memory of a replica. */
const SLOT_WAIT_MS = 120;
const MIN_WAIT_MS = 40;
const MAX_WAIT_MS = 250;

/** Reads what competes for the engines of a service; `undefined` if nothing does. */
export function buildRoomPolicy(
  routes: readonly {
    readonly targetLatencyMs: number;
    readonly priority: number;
  }[],
  accounts: readonly { readonly priority: number | undefined }[],
): RoomPolicy | undefined {
  const ranks = [...routes, ...accounts].flatMap(({ priority }) =>
    priority === undefined ? [] : [priority]
  );
  const targetsMs = routes.map(({ targetLatencyMs }) => targetLatencyMs);
  const hasCompetitors = accounts.length > 1 || new Set(ranks).size > 1 ||
    new Set(targetsMs).size > 1;
  if (routes.length === 0 || !hasCompetitors) return undefined;
  return {
    shortestTargetMs: Math.min(...targetsMs),
    firstRank: Math.min(...ranks),
  };
}

/** Predicted wait at the replica at which it is shortest; 0 if none is known. */
export function findBacklogMs(rooms: readonly ReplicaRoom[]): number {
  if (rooms.length === 0) return 0;
  return Math.min(
    ...rooms.map(({ backlogMs, running, slots, missingRequests }) =>
      backlogMs +
      Math.max(0, running + 1 - slots, missingRequests) * SLOT_WAIT_MS
    ),
  );
}

/** Whether prompts have to wait for each other at a backlog. */
export function isRoomShort(backlogMs: number, meanPrefillMs: number): boolean {
  return backlogMs > computeFloorMs(meanPrefillMs);
}

/** Decides whether a prompt is sent at a backlog. */
export function decideTurn(
  request: RoomRequest,
  backlogMs: number,
  policy: RoomPolicy,
): RoomTurn {
  const { prefillMs, elapsedMs, targetMs } = request;
  const floorMs = computeFloorMs(request.meanPrefillMs);
  const ceilingMs = Math.max(floorMs, computeCeilingMs(request, policy));
  const sendNow = (reason: TurnReason): RoomTurn => ({
    type: "now",
    reason,
    ceilingMs,
    waitMs: 0,
    longestMs: 0,
  });
  if (backlogMs <= floorMs) return sendNow("no-shortage");
  if (backlogMs <= ceilingMs) return sendNow("below-ceiling");
  const isOverShare = request.shareRatio > 1;
  const maxHoldMs = computeMaxHoldMs(request);
  if (elapsedMs >= maxHoldMs) return sendNow("longest-hold");
  // Time for which the prompt could still be held at this backlog.
  const slackMs = targetMs * (1 - TARGET_RESERVE_SHARE) - elapsedMs -
    backlogMs - prefillMs;
  const isLate = slackMs < -LATE_TOLERANCE_SHARE * targetMs;
  if (slackMs <= 0 && !isLate && !isOverShare) return sendNow("latest-start");
  const longestMs = Math.max(
    1,
    Math.min(
      maxHoldMs - elapsedMs,
      isLate || isOverShare ? Infinity : slackMs,
    ),
  );
  const expectedMs = Math.max(
    MIN_WAIT_MS,
    Math.min(MAX_WAIT_MS, backlogMs - ceilingMs),
  );
  return {
    type: "wait",
    reason: isOverShare ? "over-share" : "above-ceiling",
    ceilingMs,
    waitMs: Math.min(expectedMs, longestMs),
    longestMs,
  };
}

function computeFloorMs(meanPrefillMs: number): number {
  return Math.max(MIN_FLOOR_MS, meanPrefillMs);
}

/** Time from the arrival after which a prompt is sent at any backlog. */
function computeMaxHoldMs(
  { shareRatio, targetMs, deadlineMs }: RoomRequest,
): number {
  return Math.min(
    MAX_HOLD_DEADLINE_SHARE * deadlineMs,
    shareRatio > 1 ? Infinity : MAX_HOLD_TARGET_SHARE * targetMs,
  );
}

/** Backlog up to which a prompt is sent. */
function computeCeilingMs(request: RoomRequest, policy: RoomPolicy): number {
  const { prefillMs, meanPrefillMs, rank, shareRatio } = request;
  const ageShare = Math.min(1, request.elapsedMs / computeMaxHoldMs(request));
  const relativeLength = prefillMs / Math.max(1, meanPrefillMs);
  return CEILING_SHARE * policy.shortestTargetMs * (1 + AGE_RISE * ageShare) /
    (Math.max(0.01, relativeLength) * (1 + rank - policy.firstRank) *
      Math.max(1, shareRatio) ** 2);
}
