/**
 * Which process keeps the account of a replica's load: the first in rendezvous
 * order among this process and the announced ones. Processes that know the same
 * peers agree, and a join or leave moves only the replicas of that process.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as tables from "./peer_table.ts";

/** Owner and deputy. */
const RANKED_PROCESSES = 2;
/** Bounds the memory for keys of replicas that no longer exist, or never did. */
const MAX_RANKED_REPLICAS = 16_384;

/** Owners by replica, from the announced peers. */
export class ReplicaOwners {
  readonly #self: string;
  readonly #peers = new Map<string, tables.PeerEndpoint>();
  /** Owner and deputy by replica key; a change of the peers replaces only what it changes. */
  readonly #rankingByReplica = new Map<
    number,
    readonly decisions.RankedMember[]
  >();
  /** The same for places of this process; only few are asked for. */
  readonly #ownRankByReplica = new Map<number, number>();

  constructor(self: string) {
    this.#self = self;
  }

  put(endpoint: tables.PeerEndpoint): void {
    if (endpoint.name === this.#self) return;
    const isNew = !this.#peers.has(endpoint.name);
    if (isNew) this.#ownRankByReplica.clear();
    this.#peers.set(endpoint.name, endpoint);
    if (isNew) this.#rankNewPeer(endpoint.name);
  }

  remove(name: string): void {
    if (!this.#peers.delete(name)) return;
    this.#ownRankByReplica.clear();
    for (const [key, ranking] of this.#rankingByReplica) {
      if (ranking.some(({ id }) => id === name)) {
        this.#rankingByReplica.delete(key);
      }
    }
  }

  /** Endpoint of a replica's owner, or `undefined` if this process owns it. */
  find(replicaKey: number): tables.PeerEndpoint | undefined {
    const [owner] = this.#rank(replicaKey);
    return this.#peers.get(owner?.id ?? this.#self);
  }

  /** Endpoint of the process that stands in for a silent owner; `undefined` if it is this one or none. */
  findDeputy(replicaKey: number): tables.PeerEndpoint | undefined {
    const [, deputy] = this.#rank(replicaKey);
    return deputy === undefined ? undefined : this.#peers.get(deputy.id);
  }

  /** Whether this process is the owner of a replica, its deputy, or neither. */
  findOwnRole(replicaKey: number): "owner" | "deputy" | undefined {
    const [owner, deputy] = this.#rank(replicaKey);
    if (owner?.id === this.#self) return "owner";
    return deputy?.id === this.#self ? "deputy" : undefined;
  }

  /** Place of this process in a replica's order of all processes, 0 for its owner. */
  findOwnRank(replicaKey: number): number {
    const known = this.#ownRankByReplica.get(replicaKey);
    if (known !== undefined) return known;
    const rank = decisions.rankByRendezvous(
      [this.#self, ...this.#peers.keys()],
      String(replicaKey),
    ).indexOf(this.#self);
    this.#ownRankByReplica.set(replicaKey, rank);
    decisions.trimOldest(this.#ownRankByReplica, MAX_RANKED_REPLICAS);
    return rank;
  }

  /** All announced peers. */
  list(): readonly tables.PeerEndpoint[] {
    return [...this.#peers.values()];
  }

  /** Announced peer of a name, if its datagrams come from this host. */
  findSender(name: string, host: string): tables.PeerEndpoint | undefined {
    const peer = this.#peers.get(name);
    return peer?.host === host ? peer : undefined;
  }

  #rank(replicaKey: number): readonly decisions.RankedMember[] {
    const known = this.#rankingByReplica.get(replicaKey);
    if (known !== undefined) return known;
    const key = String(replicaKey);
    const ranking = [this.#self, ...this.#peers.keys()]
      .map((name) => decisions.weighMember(name, key))
      .toSorted(decisions.compareMembers).slice(0, RANKED_PROCESSES);
    this.#rankingByReplica.set(replicaKey, ranking);
    decisions.trimOldest(this.#rankingByReplica, MAX_RANKED_REPLICAS);
    return ranking;
  }

  #rankNewPeer(name: string): void {
    for (const [replicaKey, ranking] of this.#rankingByReplica) {
      const member = decisions.weighMember(name, String(replicaKey));
      const last = ranking.at(-1);
      const isRanked = ranking.length < RANKED_PROCESSES ||
        last !== undefined && decisions.compareMembers(member, last) < 0;
      if (!isRanked) continue;
      const members = [...ranking, member].toSorted(decisions.compareMembers);
      this.#rankingByReplica.set(
        replicaKey,
        members.slice(0, RANKED_PROCESSES),
      );
    }
  }
}
