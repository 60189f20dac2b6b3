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
const MAX_RANKINGS = 4_096;

/** Owners by replica, from the announced peers. */
export class ReplicaOwners {
  readonly #self: string;
  readonly #peers = new Map<string, tables.PeerEndpoint>();
  /** Names of owner and deputy by replica key; emptied when peers change. */
  readonly #rankingByReplica = new Map<number, readonly string[]>();
  /** The same for places of this process; only few are asked for. */
  readonly #ownRankByReplica = new Map<number, number>();

  constructor(self: string) {
    this.#self = self;
  }

  put(endpoint: tables.PeerEndpoint): void {
    if (endpoint.name === this.#self) return;
    if (!this.#peers.has(endpoint.name)) this.#forgetRankings();
    this.#peers.set(endpoint.name, endpoint);
  }

  remove(name: string): void {
    if (this.#peers.delete(name)) this.#forgetRankings();
  }

  /** Endpoint of a replica's owner, or `undefined` if this process owns it. */
  find(replicaKey: number): tables.PeerEndpoint | undefined {
    const [owner = this.#self] = this.#rank(replicaKey);
    return this.#peers.get(owner);
  }

  /** Endpoint of the process that stands in for a silent owner; `undefined` if it is this one or none. */
  findDeputy(replicaKey: number): tables.PeerEndpoint | undefined {
    const [, deputy] = this.#rank(replicaKey);
    return deputy === undefined ? undefined : this.#peers.get(deputy);
  }

  /** Whether this process is the owner of a replica, its deputy, or neither. */
  findOwnRole(replicaKey: number): "owner" | "deputy" | undefined {
    const [owner, deputy] = this.#rank(replicaKey);
    if (owner === this.#self) return "owner";
    return deputy === this.#self ? "deputy" : undefined;
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
    decisions.trimOldest(this.#ownRankByReplica, MAX_RANKINGS);
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

  #forgetRankings(): void {
    this.#rankingByReplica.clear();
    this.#ownRankByReplica.clear();
  }

  #rank(replicaKey: number): readonly string[] {
    const known = this.#rankingByReplica.get(replicaKey);
    if (known !== undefined) return known;
    const ranking = decisions.rankByRendezvous(
      [this.#self, ...this.#peers.keys()],
      String(replicaKey),
    ).slice(0, RANKED_PROCESSES);
    this.#rankingByReplica.set(replicaKey, ranking);
    decisions.trimOldest(this.#rankingByReplica, MAX_RANKINGS);
    return ranking;
  }
}
