/** Replicas and requests as the choice of a replica sees them. */
import * as decisions from "@jackdawbank/decisions";
import type * as memories from "./engine_memories.ts";
import type * as groups from "./replica_group.ts";
import type * as speeds from "./replica_speeds.ts";
import type * as tableOptions from "./replica_table_options.ts";
import * as prefixes from "./prefix_memory.ts";
import * as queries from "./query_choice.ts";

/** What a process knows of its replicas. */
export interface CandidateOptions extends
  Pick<
    tableOptions.ReplicaTableOptions,
    "readPeerLoad" | "dataCentre"
  > {
  readonly speeds: speeds.ReplicaSpeeds;
  readonly memories: memories.EngineMemories;
}

/** A replica that may be chosen, with its state. */
export interface Candidate extends decisions.ReplicaCandidate {
  readonly state: groups.ReplicaState;
}

/** What a choice weighs. */
export interface WeighedReplicas {
  /** Replicas of the service that are neither draining nor evacuated. */
  readonly active: number;
  /** Those among them that may get this request. */
  readonly usable: number;
  /** The candidates that one draw would ask about, with their costs. */
  readonly costed: readonly decisions.CostedReplica<Candidate>[];
}

/** The prompt for which a replica is chosen. */
export function buildPlacement(
  request: groups.PlacementRequest,
): decisions.PromptPlacement {
  const sharedPrefix = prefixes.findSharedPrefix(request.parts);
  return {
    promptTokens: request.promptTokens,
    prefillMsPerToken: request.prefillMsPerToken,
    maxGapMs: request.maxGapMs,
    remainingTargetMs: request.remainingTargetMs,
    answerMs: request.answerMs,
    affinityKey: sharedPrefix.key === undefined
      ? undefined
      : prefixes.buildCacheKey(request.model, sharedPrefix.key),
    sharedTokens: sharedPrefix.tokens,
  };
}

/** What this process and its peers know of some replicas, for one request. */
export function buildCandidates(
  states: readonly groups.ReplicaState[],
  request: groups.PlacementRequest,
  options: CandidateOptions,
): readonly Candidate[] {
  return states.map((state) => buildCandidate(state, request, options));
}

/** Draws the replicas whose loads are asked for. */
export function drawQueried(
  states: readonly groups.ReplicaState[],
  request: groups.PlacementRequest,
  options:
    & CandidateOptions
    & Pick<tableOptions.ReplicaTableOptions, "random" | "rates">,
): readonly groups.ReplicaState[] {
  const placement = buildPlacement(request);
  const { random, rates } = options;
  const named = states.map((state) => ({
    id: state.entry.id,
    key: state.key,
    state,
  }));
  return queries.limitRatedCandidates(named, {
    choose: (from) =>
      decisions.chooseQueryCandidates(from, placement, {
        random,
        assess: ({ state }) => buildCandidate(state, request, options),
      }),
    hasRate: ({ key }) => rates.readRate(key) !== undefined,
  }).map(({ state }) => state);
}

function buildCandidate(
  state: groups.ReplicaState,
  request: groups.PlacementRequest,
  options: CandidateOptions,
): Candidate {
  const peerLoad = options.readPeerLoad(state.key);
  const evidence = decisions.addEvidence(
    state.evidence.read(request.nowMs),
    peerLoad.evidence,
  );
  const { dataCentre, slots } = state.entry;
  return {
    state,
    id: state.entry.id,
    key: state.key,
    isLocal: dataCentre === options.dataCentre,
    inFlight: state.inFlight + peerLoad.running,
    pendingMs: state.pendingMs + peerLoad.pendingMs,
    slots,
    cachedTokens: state.prefixes.countTokens(request),
    memoryShare: options.memories.readShare(
      state,
      request.neededTokens,
      peerLoad,
    ),
    ...options.speeds.compare(state, evidence, request.nowMs),
  };
}
