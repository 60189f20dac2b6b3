/**
 * Which process keeps the account of a replica's load: the first in rendezvous
 * order among this process and the announced ones. Processes that know the same
 * peers agree, and a join or leave moves only the replicas of that process.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as tables from "./peer_table.ts";

/** Owners by replica, from the announced peers. */
export class ReplicaOwners {
  readonly #self: string;
  readonly #peers = new Map<string, tables.PeerEndpoint>();
  /** Names of the owners by replica key; emptied when peers change. */
  readonly #ownerByReplica = new Map<number, string>();

  constructor(self: string) {
    this.#self = self;
  }

  put(endpoint: tables.PeerEndpoint): void {
    if (endpoint.name === this.#self) return;
    if (!this.#peers.has(endpoint.name)) this.#ownerByReplica.clear();
    this.#peers.set(endpoint.name, endpoint);
  }

  remove(name: string): void {
    if (this.#peers.delete(name)) this.#ownerByReplica.clear();
  }

  /** Endpoint of a replica's owner, or `undefined` if this process owns it. */
  find(replicaKey: number): tables.PeerEndpoint | undefined {
    return this.#peers.get(this.#findName(replicaKey));
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

  #findName(replicaKey: number): string {
    const known = this.#ownerByReplica.get(replicaKey);
    if (known !== undefined) return known;
    const [owner = this.#self] = decisions.rankByRendezvous(
      [this.#self, ...this.#peers.keys()],
      String(replicaKey),
    );
    this.#ownerByReplica.set(replicaKey, owner);
    return owner;
  }
}
