/**
 * Chooses among the replicas that may be used for a request, by their loads and
 * the prompt prefixes in their caches. The cost of a choice does not grow with
 * the number of replicas, except where few of them are usable.
 */
import * as decisions from "@jackdawbank/decisions";
import * as contenders from "./contenders.ts";
import * as prefixes from "./prefix_memory.ts";
import * as queries from "./query_choice.ts";
import type * as memories from "./engine_memories.ts";
import * as groups from "./replica_group.ts";
import * as members from "./replica_members.ts";
import type * as speeds from "./replica_speeds.ts";
import type * as tableOptions from "./replica_table_options.ts";

/** With fewer usable replicas in a sample, all are looked at. */
const MIN_CONTENDERS = 4;

/** Dependencies and settings. */
export interface ReplicaChooserOptions extends
  Pick<
    tableOptions.ReplicaTableOptions,
    | "dataCentre"
    | "prefixReuseWindowMs"
    | "random"
    | "rates"
    | "bodies"
    | "readPeerLoad"
    | "onFullScan"
  > {
  readonly members: members.ReplicaMembers;
  readonly speeds: speeds.ReplicaSpeeds;
  readonly memories: memories.EngineMemories;
  readonly find: (replicaKey: number) => groups.ReplicaState | undefined;
}

interface Candidate extends decisions.ReplicaCandidate {
  readonly state: groups.ReplicaState;
}

/** Choices of one process. */
export class ReplicaChooser {
  readonly #options: ReplicaChooserOptions;

  constructor(options: ReplicaChooserOptions) {
    this.#options = options;
  }

  /** Picks a replica of the preferred version, or else of another permitted one. */
  pick(request: groups.PlacementRequest): groups.PickedReplica | undefined {
    const asked = this.#listAsked(request);
    const first = groups.findFirstGroup(asked, request, this.#options);
    const group = first.length > 0 ? first : this.#findGroup(request);
    if (group === undefined) return undefined;
    const granted = group.filter(({ key }) => key === request.grantedKey);
    const queried = group.filter(({ key }) => request.queriedKeys?.has(key));
    const preferred = granted.length > 0 ? granted : queried;
    return this.#choose(
      preferred.length > 0 ? preferred : this.#limit(group, request),
      request,
    );
  }

  /** The active replicas that `pick` prefers, as they were asked or have granted the request. */
  #listAsked(
    { service, queriedKeys, grantedKey }: groups.PlacementRequest,
  ): readonly groups.ReplicaState[] {
    const { members, find } = this.#options;
    const active = members.findActive(service).states;
    return [...new Set([...queriedKeys ?? [], grantedKey])].flatMap((key) => {
      const state = key === undefined ? undefined : find(key);
      return state !== undefined && active.includes(state) ? [state] : [];
    });
  }

  /** Keys of the replicas whose load should be asked for before `pick`. */
  listQueryKeys(request: groups.PlacementRequest): readonly number[] {
    const group = this.#findGroup(request) ?? [];
    if (group.length < 2) return [];
    const candidates = this.#limit(group, request).map((state) =>
      this.#buildCandidate(state, request)
    );
    return queries.limitRatedCandidates(candidates, {
      choose: (from) =>
        decisions.chooseQueryCandidates(
          from,
          this.#buildPlacement(request),
          this.#options.random,
        ),
      hasRate: ({ state }) =>
        this.#options.rates.readRate(state.key) !== undefined,
    }).map(({ state }) => state.key);
  }

  /** Looks at a sample of many replicas, if enough of it is usable. */
  #findGroup(
    request: groups.PlacementRequest,
  ): readonly groups.ReplicaState[] | undefined {
    const { service } = request;
    const known = this.#options.members;
    const preferred = known.findPreferred(service, request);
    if (!contenders.areAllWeighed(preferred.states.length)) {
      const drawn = this.#draw(preferred, request);
      const group = groups.findFirstGroup(drawn, request, this.#options);
      if (group.length >= MIN_CONTENDERS) return group;
      this.#options.onFullScan?.();
    }
    const { states } = known.findActive(service);
    return groups.findGroup(states, request, this.#options);
  }

  /** The replicas of a group that are weighed. */
  #limit(
    group: readonly groups.ReplicaState[],
    request: groups.PlacementRequest,
  ): readonly groups.ReplicaState[] {
    if (contenders.areAllWeighed(group.length)) return group;
    return this.#draw(members.buildList(group), request);
  }

  #draw(
    list: members.MemberList,
    request: groups.PlacementRequest,
  ): readonly groups.ReplicaState[] {
    const { affinityKey } = this.#buildPlacement(request);
    return contenders.drawContenders(list, affinityKey, this.#options.random);
  }

  #choose(
    states: readonly groups.ReplicaState[],
    request: groups.PlacementRequest,
  ): groups.PickedReplica | undefined {
    const candidates = states.map((state) =>
      this.#buildCandidate(state, request)
    );
    const chosen = decisions.chooseReplica(
      candidates,
      this.#buildPlacement(request),
      this.#options.random,
    );
    return chosen && {
      state: chosen.state,
      cachedTokens: chosen.cachedTokens,
      candidates: candidates.length,
    };
  }

  #buildPlacement(request: groups.PlacementRequest): decisions.PromptPlacement {
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

  #buildCandidate(
    state: groups.ReplicaState,
    request: groups.PlacementRequest,
  ): Candidate {
    const peerLoad = this.#options.readPeerLoad(state.key);
    const evidence = decisions.addEvidence(
      state.evidence.read(request.nowMs),
      peerLoad.evidence,
    );
    return {
      state,
      id: state.entry.id,
      isLocal: state.entry.dataCentre === this.#options.dataCentre,
      inFlight: state.inFlight + peerLoad.running,
      pendingMs: state.pendingMs + peerLoad.pendingMs,
      slots: state.entry.slots,
      cachedTokens: state.prefixes.countTokens(
        request,
        this.#options.prefixReuseWindowMs,
      ),
      memoryShare: this.#options.memories.readShare(
        state,
        request.neededTokens,
        peerLoad,
      ),
      ...this.#options.speeds.compare(state, evidence, request.nowMs),
    };
  }
}
