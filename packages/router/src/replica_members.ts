/**
 * The replicas of each service that may be used, as lists that are rebuilt when an
 * entry or an evacuation changes rather than at each request.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as groups from "./replica_group.ts";

/** With a smaller share of certain replicas, the doubtful ones are used as well. */
const MIN_CERTAIN_SHARE = 0.5;
/** Lists by version and homes that are kept for one service. */
const MAX_LISTS = 64;

/** Replicas with the hashes of their IDs, in the same order. */
export interface MemberList {
  readonly states: readonly groups.ReplicaState[];
  readonly keys: Uint32Array;
}

const NO_MEMBERS: MemberList = { states: [], keys: new Uint32Array() };

/** The part of a request that decides which entries suit it, whatever their load is. */
export type MemberLimits = Pick<
  groups.PlacementRequest,
  "versionPreference" | "homeDataCentres"
>;

interface ServiceMembers {
  readonly all: Set<groups.ReplicaState>;
  readonly dataCentres: Set<string>;
  /** Evacuated data centres that `active` leaves out. */
  evacuated: string;
  active: MemberList | undefined;
  /** Lists for requests with limits, emptied when `active` changes. */
  readonly lists: Map<string, MemberList>;
}

export function buildList(states: readonly groups.ReplicaState[]): MemberList {
  return { states, keys: Uint32Array.from(states, ({ key }) => key) };
}

/** Members of all services. */
export class ReplicaMembers {
  readonly #isEvacuated: (dataCentre: string) => boolean;
  readonly #members = new Map<string, ServiceMembers>();

  constructor(isEvacuated: (dataCentre: string) => boolean) {
    this.#isEvacuated = isEvacuated;
  }

  /** Adds a replica, or notes that its entry has changed. */
  put(state: groups.ReplicaState): void {
    const { service, dataCentre } = state.entry;
    const members = this.#members.get(service) ?? {
      all: new Set(),
      dataCentres: new Set(),
      evacuated: "",
      active: undefined,
      lists: new Map(),
    };
    members.all.add(state);
    members.dataCentres.add(dataCentre);
    members.active = undefined;
    this.#members.set(service, members);
  }

  remove(state: groups.ReplicaState): void {
    const { service } = state.entry;
    const members = this.#members.get(service);
    if (members === undefined) return;
    members.all.delete(state);
    members.active = undefined;
    if (members.all.size === 0) this.#members.delete(service);
  }

  /**
   * Replicas of a service that are neither draining nor evacuated. Doubtful ones are left out unless
   * so many are that an outage must be the reason.
   */
  findActive(service: string): MemberList {
    const members = this.#members.get(service);
    return members === undefined ? NO_MEMBERS : this.#refresh(members);
  }

  /** The active ones in a request's homes whose version it prefers. */
  findPreferred(service: string, limits: MemberLimits): MemberList {
    const members = this.#members.get(service);
    if (members === undefined) return NO_MEMBERS;
    const active = this.#refresh(members);
    const { versionPreference, homeDataCentres } = limits;
    const { target, prefersTarget, banned } = versionPreference;
    const isLimited = target !== undefined || banned.length > 0 ||
      homeDataCentres !== undefined;
    if (!isLimited) return active;
    const homes = homeDataCentres && [...homeDataCentres].toSorted();
    const key = JSON.stringify([target, prefersTarget, banned, homes]);
    const known = members.lists.get(key);
    if (known !== undefined) return known;
    const list = buildList(
      active.states.filter(({ entry }) =>
        !banned.includes(entry.version) &&
        (homeDataCentres?.has(entry.dataCentre) ?? true) &&
        (target === undefined || (entry.version === target) === prefersTarget)
      ),
    );
    members.lists.set(key, list);
    decisions.trimOldest(members.lists, MAX_LISTS);
    return list;
  }

  #refresh(members: ServiceMembers): MemberList {
    const evacuated = [...members.dataCentres].filter(this.#isEvacuated)
      .join("\n");
    if (members.active !== undefined && members.evacuated === evacuated) {
      return members.active;
    }
    members.evacuated = evacuated;
    members.active = this.#listActive(members);
    members.lists.clear();
    return members.active;
  }

  #listActive({ all }: ServiceMembers): MemberList {
    const active = [...all].filter(({ entry }) =>
      !entry.isDraining && !this.#isEvacuated(entry.dataCentre)
    );
    const certain = active.filter(({ isDoubtful }) => !isDoubtful);
    return buildList(
      certain.length >= MIN_CERTAIN_SHARE * active.length ? certain : active,
    );
  }
}
