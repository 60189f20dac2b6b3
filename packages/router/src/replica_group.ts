/** Which replicas a request may be sent to: the group from which one is chosen. */
import * as decisions from "@jackdawbank/decisions";
import type * as peers from "@jackdawbank/peers";
import type * as connections from "./connections.ts";
import type * as ports from "./ports.ts";
import type * as prefixes from "./prefix_memory.ts";

/** Local state of one replica. */
export interface ReplicaState {
  readonly entry: ports.ReplicaEntry;
  /** Hash of the replica's ID, which identifies it in peer reports. */
  readonly key: number;
  readonly pool: connections.ConnectionPool;
  readonly health: decisions.ReplicaHealth;
  /** What this process tells others about the replica's answers. */
  readonly evidence: decisions.ReplicaEvidence;
  readonly demands: decisions.ReplicaDemandState;
  readonly prefixes: prefixes.PrefixMemory;
  inFlight: number;
  /** Predicted prefill time of this process's pending prompts, at the usual speed. */
  pendingMs: number;
  /** Predicted tokens that this process's requests take of the engine's memory. */
  heldTokens: number;
  /** Monotonic time at which the newest byte was received from the replica. */
  lastByteAtMs: number;
  avoidUntilMs: number;
  /** Its entry is missing, perhaps only because its lease expired in an outage. */
  isDoubtful: boolean;
  isRemoved: boolean;
}

/** What one attempt adds to the load of its replica. */
export interface SentLoad {
  /** Predicted prefill time of the prompt tokens that are not cached, at the usual speed. */
  readonly prefillMs: number;
  /** Predicted tokens of prompt and output. */
  readonly heldTokens: number;
}

/** A chosen replica, with the inputs of the choice for the log. */
export interface PickedReplica {
  readonly state: ReplicaState;
  /** Prompt tokens that are probably cached at the replica. */
  readonly cachedTokens: number;
  /** Number of replicas that were considered. */
  readonly candidates: number;
}

/** A request for which a replica is chosen. */
export interface PlacementRequest {
  readonly service: string;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Predicted prefill time of one token. */
  readonly prefillMsPerToken: number;
  /** Longest pause that the request's route accepts in a stream; absent if it is none. */
  readonly maxGapMs?: number | undefined;
  /** Time until the request's target latency is over. */
  readonly remainingTargetMs?: number | undefined;
  /** Predicted time of the answer at a usual replica; 0 for a prompt. */
  readonly answerMs: number;
  /** Tokens that the request takes of an engine's memory; 0 without an engine. */
  readonly neededTokens: number;
  readonly parts: readonly ports.PromptPart[];
  /** IDs of replicas that must not be used. */
  readonly excluded: ReadonlySet<string>;
  readonly needsNewConnection: boolean;
  readonly versionPreference: decisions.VersionPreference;
  /** Keys of the replicas whose load was asked for; others are used only if none of these can be. */
  readonly queriedKeys?: ReadonlySet<number> | undefined;
  /** Requests at a replica's rate that are left for more urgent ones. */
  readonly reserved: peers.ReservedRequests;
  /** Data centres in which the request may run; absent if it may run in any. */
  readonly homeDataCentres?: ReadonlySet<string> | undefined;
  /** Data centres to which load returns, but not this request unless the others are full. */
  readonly heldBackDataCentres?: ReadonlySet<string> | undefined;
  /** Replica with a rate at which the request has been granted. */
  readonly grantedKey?: number | undefined;
  /** Whether replicas with a rate are considered too, as one of them may grant the request. */
  readonly mayAskForRate?: boolean;
  readonly bodyBytes: number;
  /** Replica at which room is reserved for a large body. */
  readonly reservedKey?: number | undefined;
  /** Whether replicas are considered at which room may still be reserved. */
  readonly mayReserveRoom?: boolean;
  readonly nowMs: number;
}

/** The rates that replicas name, as all processes know them. */
export interface ReplicaRates {
  /** Requests per second that a replica takes; absent without a limit. */
  readRate(replicaKey: number): number | undefined;
  /** Time until a request may be asked for; 0 without a limit. */
  findWaitMs(replicaKey: number, reserved: peers.ReservedRequests): number;
  /** Keys of the replicas that name a rate. */
  listRated(): Iterable<number>;
  /** Called when a replica has started again. */
  reset(replicaKey: number): void;
}

/** What processes know of the bodies that are in flight to replicas. */
export interface ReplicaBodies {
  /** Largest body that callers may send. */
  readonly maxBodyBytes: number;
  /** What the replica's owner has told lately; absent if nothing. */
  readBodies(replicaKey: number): decisions.BodyAccount | undefined;
  buildSilentAccount(replicaKey: number): decisions.BodyAccount;
}

/** What is known of the replicas' rates and bodies, and of the load of peers. */
export interface LoadSources {
  readonly rates: ReplicaRates;
  readonly bodies: ReplicaBodies;
  readonly readPeerLoad: (replicaKey: number) => decisions.ReplicaLoadState;
}

/** Whether a replica is expected to answer soon. */
function isAvailable(state: ReplicaState, nowMs: number): boolean {
  return !state.health.isEjected(nowMs) && state.avoidUntilMs <= nowMs;
}

/** Whether a replica takes requests of this process at all. */
function isOpen(
  { demands }: Pick<ReplicaState, "demands">,
  nowMs: number,
): boolean {
  return !demands.isLeaving && demands.pausedUntilMs <= nowMs;
}

/** Whether a replica is expected to answer any request of this process soon. */
export function isUnrestricted(
  state: ReplicaState,
  rates: ReplicaRates,
  nowMs: number,
): boolean {
  return isAvailable(state, nowMs) && isOpen(state, nowMs) &&
    rates.readRate(state.key) === undefined;
}

function isWithinRate(
  { key }: ReplicaState,
  request: PlacementRequest,
  rates: ReplicaRates,
): boolean {
  if (rates.readRate(key) === undefined || key === request.grantedKey) {
    return true;
  }
  return request.mayAskForRate === true &&
    rates.findWaitMs(key, request.reserved) === 0;
}

/** Whether a replica is in one of the request's homes. */
export function isAtHome(
  { entry }: Pick<ReplicaState, "entry">,
  { homeDataCentres }: Pick<PlacementRequest, "homeDataCentres">,
): boolean {
  return homeDataCentres?.has(entry.dataCentre) ?? true;
}

/** Whether a replica has memory for the request's body, or may have it. */
export function hasBodyRoom(
  { key, pool }: ReplicaState,
  request: Pick<
    PlacementRequest,
    "bodyBytes" | "reservedKey" | "mayReserveRoom"
  >,
  bodies: ReplicaBodies,
): boolean {
  const { bodyBytes, reservedKey, mayReserveRoom } = request;
  const ownBytes = pool.bodyBytesInFlight;
  const body = { bodyBytes, ownBytes, maxBodyBytes: bodies.maxBodyBytes };
  if (decisions.isLargeBody(bodyBytes)) {
    if (mayReserveRoom !== true) return key === reservedKey;
    const known = bodies.readBodies(key) ??
      { type: "answered", othersBytes: 0 };
    return decisions.fitsReplica(body, known);
  }
  return decisions.fitsWithoutAccount(body) ||
    decisions.fitsReplica(
      body,
      bodies.readBodies(key) ?? bodies.buildSilentAccount(key),
    );
}

/**
 * The usable replicas of the preferred version that are expected to answer soon:
 * the best group, unless it is empty or perhaps held back.
 */
export function findFirstGroup(
  states: readonly ReplicaState[],
  request: PlacementRequest,
  sources: LoadSources,
): readonly ReplicaState[] {
  const { heldBackDataCentres, nowMs } = request;
  const group = states.filter((state) =>
    isUsable(state, request, sources) &&
    isPreferred(state, request) && isAvailable(state, nowMs)
  );
  if (heldBackDataCentres === undefined) return group;
  const others = group.filter(({ entry }) =>
    !heldBackDataCentres.has(entry.dataCentre)
  );
  return others.some((state) => hasRoom(state, sources, nowMs)) ? others : [];
}

/** The best group of usable replicas that is not empty. */
export function findGroup(
  states: readonly ReplicaState[],
  request: PlacementRequest,
  sources: LoadSources,
): readonly ReplicaState[] | undefined {
  const group = findBestGroup(states, request, sources);
  const { heldBackDataCentres, nowMs } = request;
  if (group === undefined || heldBackDataCentres === undefined) return group;
  // Within the group, so that a version or an available replica elsewhere goes first.
  const others = group.filter(({ entry }) =>
    !heldBackDataCentres.has(entry.dataCentre)
  );
  return others.some((state) => hasRoom(state, sources, nowMs))
    ? others
    : group;
}

function hasRoom(
  state: ReplicaState,
  { rates, readPeerLoad }: LoadSources,
  nowMs: number,
): boolean {
  const running = state.inFlight + readPeerLoad(state.key).running;
  return running < state.entry.slots && isUnrestricted(state, rates, nowMs);
}

function isUsable(
  state: ReplicaState,
  request: PlacementRequest,
  { rates, bodies }: LoadSources,
): boolean {
  return !request.excluded.has(state.entry.id) &&
    !request.versionPreference.banned.includes(state.entry.version) &&
    isAtHome(state, request) &&
    (request.needsNewConnection || !state.pool.isFull) &&
    isOpen(state, request.nowMs) && isWithinRate(state, request, rates) &&
    hasBodyRoom(state, request, bodies);
}

function isPreferred(
  { entry }: ReplicaState,
  { versionPreference: { target, prefersTarget } }: PlacementRequest,
): boolean {
  return target === undefined || (entry.version === target) === prefersTarget;
}

function findBestGroup(
  states: readonly ReplicaState[],
  request: PlacementRequest,
  sources: LoadSources,
): readonly ReplicaState[] | undefined {
  const { nowMs } = request;
  const usable = states.filter((state) => isUsable(state, request, sources));
  const preferred = usable.filter((state) => isPreferred(state, request));
  const groups = [
    preferred.filter((state) => isAvailable(state, nowMs)),
    // Keeping a session on its version matters more than avoiding an unavailable replica.
    preferred,
    usable.filter((state) => isAvailable(state, nowMs)),
    usable,
  ];
  return groups.find((group) => group.length > 0);
}

/** Time after which a replica would take a request that none takes now; absent if unknown. */
export function findRetryAfterMs(
  states: readonly ReplicaState[],
  request: PlacementRequest,
  rates: ReplicaRates,
): number | undefined {
  let shortestMs = Infinity;
  for (const state of states) {
    const { key, demands } = state;
    if (demands.isLeaving || !isAtHome(state, request)) continue;
    const waitMs = Math.max(
      demands.pausedUntilMs - request.nowMs,
      rates.findWaitMs(key, request.reserved),
    );
    shortestMs = Math.min(shortestMs, waitMs);
  }
  return Number.isFinite(shortestMs) && shortestMs > 0 ? shortestMs : undefined;
}
