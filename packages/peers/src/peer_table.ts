/**
 * What was heard of each peer. A peer's newest report replaces the one before;
 * loads that are not confirmed soon are forgotten, so that a peer that died or
 * froze keeps no replica looking busy.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as reports from "./report.ts";

/** A process of this installation, as it announced itself. */
export interface PeerEndpoint {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Peers that one process sends to at most. */
const MAX_RECEIVERS = 32;
/** Loads are sent again well within this. */
const LOAD_TTL_MS = 800;
/** Counts of running requests are sent again well within this. */
const RUNNING_TTL_MS = 3_000;
/** After so long a silence a peer's numbers may begin anew. */
const PEER_TTL_MS = 3_500;

/** What all peers together have under way at a replica. */
export interface PeerLoad {
  readonly pendingMs: number;
  readonly running: number;
}

/** The load of a replica where no peer has anything. */
export const NO_LOAD: PeerLoad = { pendingMs: 0, running: 0 };

interface Heard {
  readonly report: reports.PeerReport;
  readonly atMs: number;
}

/** Peers by name. */
export class PeerTable {
  readonly #self: string;
  readonly #entries = new Map<string, PeerEndpoint>();
  /** Kept when an announcement lapses: late reports are still told apart. */
  readonly #heard = new Map<string, Heard>();
  /** When each peer's running requests were told, and which. */
  readonly #running = new Map<
    string,
    {
      readonly counts: readonly decisions.ReplicaCount[];
      readonly atMs: number;
    }
  >();
  readonly #sums = new Map<number, PeerLoad>();
  #receivers: readonly PeerEndpoint[] | undefined;
  #sumExpiresAtMs = -Infinity;

  constructor(self: string) {
    this.#self = self;
  }

  /** Takes a peer's announcement; its own is left out. */
  put(entry: PeerEndpoint): void {
    if (entry.name === this.#self) return;
    this.#entries.set(entry.name, entry);
    this.#receivers = undefined;
  }

  remove(name: string): void {
    this.#entries.delete(name);
    this.#receivers = undefined;
  }

  /** Peers that are announced. */
  get size(): number {
    return this.#entries.size;
  }

  /** Peers that were heard within so long. */
  countRecentlyHeard(withinMs: number, nowMs: number): number {
    let count = 0;
    for (const { atMs } of this.#heard.values()) {
      if (nowMs - atMs <= withinMs) count += 1;
    }
    return count;
  }

  /** Whom this process reports to: all peers, or a fixed part of a large fleet. */
  listReceivers(): readonly PeerEndpoint[] {
    this.#receivers ??= decisions.rankByRendezvous(
      [...this.#entries.keys()],
      this.#self,
    ).slice(0, MAX_RECEIVERS).flatMap((name) => {
      const entry = this.#entries.get(name);
      return entry === undefined ? [] : [entry];
    });
    return this.#receivers;
  }

  /** Takes a report that came from an address, unless it is late or foreign. */
  acceptReport(
    report: reports.PeerReport,
    host: string,
    nowMs: number,
  ): boolean {
    if (this.#entries.get(report.name)?.host !== host) return false;
    const held = this.#heard.get(report.name);
    // After a silence the sender's clock may have been set back.
    const isSilent = held === undefined || nowMs - held.atMs > PEER_TTL_MS;
    if (!isSilent && !isNewer(report, held.report)) return false;
    this.#heard.set(report.name, { report, atMs: nowMs });
    if (report.running !== undefined) {
      this.#running.set(report.name, { counts: report.running, atMs: nowMs });
    }
    this.#sumExpiresAtMs = -Infinity;
    return true;
  }

  /** What all peers have under way at a replica. */
  readLoad(replicaKey: number, nowMs: number): PeerLoad {
    if (nowMs >= this.#sumExpiresAtMs) this.#sumLoads(nowMs);
    return this.#sums.get(replicaKey) ?? NO_LOAD;
  }

  #sumLoads(nowMs: number): void {
    this.#sums.clear();
    this.#sumExpiresAtMs = Infinity;
    for (const { report, atMs } of this.#heard.values()) {
      if (!this.#isValid(atMs + LOAD_TTL_MS, nowMs)) continue;
      for (const { replicaKey, pendingMs } of report.loads) {
        this.#add(replicaKey, { pendingMs, running: 0 });
      }
    }
    for (const { counts, atMs } of this.#running.values()) {
      if (!this.#isValid(atMs + RUNNING_TTL_MS, nowMs)) continue;
      for (const { replicaKey, count } of counts) {
        this.#add(replicaKey, { pendingMs: 0, running: count });
      }
    }
  }

  /** What expires next ends the sums. */
  #isValid(expiresAtMs: number, nowMs: number): boolean {
    if (expiresAtMs <= nowMs) return false;
    this.#sumExpiresAtMs = Math.min(this.#sumExpiresAtMs, expiresAtMs);
    return true;
  }

  #add(replicaKey: number, load: PeerLoad): void {
    const held = this.#sums.get(replicaKey) ?? NO_LOAD;
    this.#sums.set(replicaKey, {
      pendingMs: held.pendingMs + load.pendingMs,
      running: held.running + load.running,
    });
  }
}

function isNewer(
  report: reports.PeerReport,
  held: reports.PeerReport,
): boolean {
  return report.startedAtMs > held.startedAtMs ||
    report.startedAtMs === held.startedAtMs && report.sequence > held.sequence;
}
