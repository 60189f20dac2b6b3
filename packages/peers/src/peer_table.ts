/**
 * The newest report of each peer. Loads expire unless they are reported again
 * soon, so that a peer that crashed or hangs does not make a replica look busy.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as reports from "./report.ts";

/** Name and address that a process of this installation has announced. */
export interface PeerEndpoint {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Largest number of peers that one report is sent to. */
const MAX_RECEIVERS = 32;
/** Lifetime of a reported load; senders repeat loads at a much shorter interval. */
const LOAD_TTL_MS = 800;
/** Lifetime of the reported counts of requests in flight; repeated like loads. */
const RUNNING_TTL_MS = 3_000;
/** Time for which sums over more than `MAX_RECEIVERS` peers are used, whatever is heard meanwhile. */
const TOTALS_REUSE_MS = 100;
const MAX_FORMER_PEERS = 4_096;
/** Senders whose reports are kept, those of ended announcements included. */
const MAX_REPORTS = 4_096;
/** A report is accepted regardless of its number after a silence longer than this. */
const RESTART_DETECTION_MS = 3_500;

/** Sum of all peers' load at a replica. */
export interface PeerLoad {
  /** Predicted time until the peers' prompts are prefilled. */
  readonly pendingMs: number;
  /** Requests in flight. */
  readonly running: number;
}

/** Load of a replica at which no peer has requests. */
export const NO_LOAD: PeerLoad = { pendingMs: 0, running: 0 };

interface ReceivedReport {
  readonly report: reports.PeerReport;
  readonly atMs: number;
}

/** Announced peers and their newest reports. */
export class PeerTable {
  readonly #self: string;
  /** Announced peers by name. */
  readonly #entries = new Map<string, PeerEndpoint>();
  /**
   * Hosts of peers whose announcements have ended. One that is stopping still serves
   * for a while, and what it has seen ends with it unless it is heard until then.
   */
  readonly #formerHosts = new Map<string, string>();
  /** Kept after an announcement expires, so that late reports are still recognised. */
  readonly #received = new Map<string, ReceivedReport>();
  /** Newest counts of requests in flight by peer; not every report carries them. */
  readonly #running = new Map<
    string,
    {
      readonly counts: readonly decisions.ReplicaCount[];
      readonly atMs: number;
    }
  >();
  readonly #totals = new Map<number, PeerLoad>();
  /** Announced peers in the order in which they get reports. */
  #rotation: readonly PeerEndpoint[] | undefined;
  #rotationIndex = 0;
  #totalsAtMs = -Infinity;
  #totalsExpireAtMs = -Infinity;

  constructor(self: string) {
    this.#self = self;
  }

  /** Adds or replaces a peer; this process's own announcement is ignored. */
  put(endpoint: PeerEndpoint): void {
    if (endpoint.name === this.#self) return;
    this.#entries.set(endpoint.name, endpoint);
    this.#formerHosts.delete(endpoint.name);
    this.#rotation = undefined;
  }

  /** Removes a peer; its reports are still taken while they do not pause. */
  remove(name: string): void {
    const endpoint = this.#entries.get(name);
    if (endpoint !== undefined) this.#formerHosts.set(name, endpoint.host);
    if (this.#formerHosts.size > MAX_FORMER_PEERS) this.#formerHosts.clear();
    this.#entries.delete(name);
    this.#rotation = undefined;
  }

  /** Number of announced peers. */
  get size(): number {
    return this.#entries.size;
  }

  /** Counts the peers that sent a report within `withinMs`. */
  countRecentlyHeard(withinMs: number, nowMs: number): number {
    let count = 0;
    for (const { atMs } of this.#received.values()) {
      if (nowMs - atMs <= withinMs) count += 1;
    }
    return count;
  }

  /** Number of consecutive reports that together reach every peer. */
  get reportsPerRotation(): number {
    return Math.max(1, Math.ceil(this.#entries.size / MAX_RECEIVERS));
  }

  /** Lists the peers that the next report goes to: all of them, or the next ones in rotation. */
  listReceivers(): readonly PeerEndpoint[] {
    this.#rotation ??= decisions.rankByRendezvous(
      [...this.#entries.keys()],
      this.#self,
    ).flatMap((name) => {
      const endpoint = this.#entries.get(name);
      return endpoint === undefined ? [] : [endpoint];
    });
    const count = Math.ceil(this.#rotation.length / this.reportsPerRotation);
    const first = (this.#rotationIndex % this.reportsPerRotation) * count;
    return this.#rotation.slice(first, first + count);
  }

  /** Moves on to the next peers in rotation, after a report was sent. */
  advanceRotation(): void {
    this.#rotationIndex += 1;
  }

  /** Stores a report unless it is late or its sender is unknown; returns whether it was stored. */
  acceptReport(
    report: reports.PeerReport,
    host: string,
    nowMs: number,
  ): boolean {
    const previous = this.#received.get(report.name);
    // After a silence the sender may have restarted with its clock set back.
    const wasSilent = previous === undefined ||
      nowMs - previous.atMs > RESTART_DETECTION_MS;
    const knownHost = this.#entries.get(report.name)?.host ??
      (wasSilent ? undefined : this.#formerHosts.get(report.name));
    if (knownHost !== host) return false;
    if (!wasSilent && !isNewer(report, previous.report)) return false;
    this.#received.delete(report.name);
    this.#received.set(report.name, { report, atMs: nowMs });
    decisions.trimOldest(this.#received, MAX_REPORTS);
    if (report.running !== undefined) {
      this.#running.delete(report.name);
      this.#running.set(report.name, { counts: report.running, atMs: nowMs });
      decisions.trimOldest(this.#running, MAX_REPORTS);
    }
    const reuseMs = this.#received.size > MAX_RECEIVERS ? TOTALS_REUSE_MS : 0;
    this.#totalsExpireAtMs = Math.min(
      this.#totalsExpireAtMs,
      this.#totalsAtMs + reuseMs,
    );
    return true;
  }

  /** Returns the sum of all peers' load at a replica. */
  readLoad(replicaKey: number, nowMs: number): PeerLoad {
    if (nowMs >= this.#totalsExpireAtMs) this.#computeTotals(nowMs);
    return this.#totals.get(replicaKey) ?? NO_LOAD;
  }

  #computeTotals(nowMs: number): void {
    this.#totals.clear();
    this.#totalsAtMs = nowMs;
    this.#totalsExpireAtMs = Infinity;
    for (const { report, atMs } of this.#received.values()) {
      if (!this.#isValid(atMs + LOAD_TTL_MS, nowMs)) continue;
      for (const { replicaKey, pendingMs } of report.loads) {
        this.#addToTotals(replicaKey, { pendingMs, running: 0 });
      }
    }
    for (const { counts, atMs } of this.#running.values()) {
      if (!this.#isValid(atMs + RUNNING_TTL_MS, nowMs)) continue;
      for (const { replicaKey, count } of counts) {
        this.#addToTotals(replicaKey, { pendingMs: 0, running: count });
      }
    }
  }

  /** Whether a report is still valid; if so, the totals expire no later than it. */
  #isValid(expiresAtMs: number, nowMs: number): boolean {
    if (expiresAtMs <= nowMs) return false;
    this.#totalsExpireAtMs = Math.min(this.#totalsExpireAtMs, expiresAtMs);
    return true;
  }

  #addToTotals(replicaKey: number, load: PeerLoad): void {
    const total = this.#totals.get(replicaKey) ?? NO_LOAD;
    this.#totals.set(replicaKey, {
      pendingMs: total.pendingMs + load.pendingMs,
      running: total.running + load.running,
    });
  }
}

function isNewer(
  report: reports.PeerReport,
  previous: reports.PeerReport,
): boolean {
  return report.startedAtMs > previous.startedAtMs ||
    report.startedAtMs === previous.startedAtMs &&
      report.number > previous.number;
}
