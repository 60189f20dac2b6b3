/**
 * Chooses among the replicas that may be used for a request, by their loads and
 * the prompt prefixes in their caches. The cost of a choice does not grow with
 * the number of replicas, except where few of them are usable.
 */
import * as decisions from "@jackdawbank/decisions";
import * as candidates from "./candidate.ts";
import * as contenders from "./contenders.ts";
import * as groups from "./replica_group.ts";
import * as members from "./replica_members.ts";
import type * as tableOptions from "./replica_table_options.ts";

/** With fewer usable replicas in a sample, all are looked at. */
const MIN_CONTENDERS = 4;

/** Dependencies and settings. */
export interface ReplicaChooserOptions
  extends
    candidates.CandidateOptions,
    Pick<
      tableOptions.ReplicaTableOptions,
      | "dataCentre"
      | "random"
      | "rates"
      | "bodies"
      | "readPeerLoad"
      | "onFullScan"
    > {
  readonly members: members.ReplicaMembers;
  readonly find: (replicaKey: number) => groups.ReplicaState | undefined;
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
    return this.#drawQueried(group, request).map(({ key }) => key);
  }

  /** The candidates and costs of a choice, by the loads known now; changes nothing. */
  weigh(request: groups.PlacementRequest): candidates.WeighedReplicas {
    const group = this.#findGroup(request) ?? [];
    const drawn = this.#drawQueried(group, request);
    return {
      active: this.#options.members.findActive(request.service).states.length,
      usable: group.length,
      costed: decisions.costReplicas(
        candidates.buildCandidates(drawn, request, this.#options),
        candidates.buildPlacement(request),
      ),
    };
  }

  #drawQueried(
    group: readonly groups.ReplicaState[],
    request: groups.PlacementRequest,
  ): readonly groups.ReplicaState[] {
    const limited = this.#limit(group, request);
    return limited.length < 2
      ? limited
      : candidates.drawQueried(limited, request, this.#options);
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
    const { affinityKey } = candidates.buildPlacement(request);
    return contenders.drawContenders(list, affinityKey, this.#options.random);
  }

  #choose(
    states: readonly groups.ReplicaState[],
    request: groups.PlacementRequest,
  ): groups.PickedReplica | undefined {
    const options = this.#options;
    const among = candidates.buildCandidates(states, request, options);
    const chosen = decisions.chooseReplica(
      among,
      candidates.buildPlacement(request),
      options.random,
    );
    return chosen && {
      state: chosen.state,
      cachedTokens: chosen.cachedTokens,
      candidates: among.length,
    };
  }
}
