/**
 * Sends this process's reports at intervals and handles those of its peers. In a
 * large fleet each report goes to the next peers in rotation.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as tables from "./peer_table.ts";
import * as reports from "./report.ts";
import * as budgets from "./report_budget.ts";

/** Longest interval between reports. */
const REPORT_INTERVAL_MS = 1_000;
/** A new revision is reported after this time for each receiver, at most after the interval. */
const NEWS_DELAY_PER_RECEIVER_MS = 30;
const CHECK_INTERVAL_MS = 100;
/** Smaller loads are not reported, since they hardly delay other requests. */
const MIN_PENDING_MS = 10;
/** Number of reports that carry a session, since datagrams may be lost. */
const SESSION_REPEATS = 3;
/** A check that is late by more than this means that the process was paused. */
const MAX_CHECK_DELAY_MS = 300;
/** Views are ignored for this long after a pause, until buffered datagrams have been read. */
const DISTRUST_MS = 200;
/** Peers whose last report is newer than this count as confirming the view. */
const CONFIRMATION_WINDOW_MS = 2_000;
const MAX_QUEUED_SESSIONS = 2_000;
const MAX_TRACKED_OUTCOMES = 4_000;

/** Provides the content of reports. */
export interface ReportSource {
  /** Prompts that the replicas which this process owns have not finished prefilling. */
  listLoads(): readonly reports.ReplicaLoad[];
  /** Requests in flight at the replicas that this process owns. */
  listRunning(): readonly decisions.ReplicaCount[];
  /** This process's view of the control plane; `undefined` until it has one. */
  readView(): reports.ControlPlaneView | undefined;
  /** Outcomes of versions under trial, counted since the process started. */
  listVersionOutcomes(): readonly reports.VersionOutcomes[];
  /** Whether two revisions of orders are known to be of the same one, in different eras. */
  isSameOrder(service: string, first: number, second: number): boolean;
}

/** Receives the content of peers' reports. */
export interface ReportListener {
  onSession(session: reports.SessionVersion): void;
  onView(view: reports.ControlPlaneView): void;
  /** Called with the outcomes that a peer has counted since its previous report. */
  onVersionOutcomes(outcomes: reports.VersionOutcomes): void;
}

export interface PeerReporterOptions {
  readonly name: string;
  readonly clock: kernel.Clock;
  readonly channel: channels.PeerChannel;
  readonly source: ReportSource;
  readonly listener: ReportListener;
  /** Called for each report that was sent, and each datagram that was accepted or dropped. */
  readonly onReport: (what: "sent" | "taken" | "dropped") => void;
}

/** Sends and receives the reports of one process. */
export class PeerReporter {
  readonly table: tables.PeerTable;
  readonly #options: PeerReporterOptions;
  readonly #startedAtMs: number;
  readonly #budget: budgets.ReportBudget;
  readonly #timer: NodeJS.Timeout;
  readonly #queuedSessions = new Map<
    string,
    { readonly item: reports.SessionVersion; remainingSends: number }
  >();
  /** Newest outcomes by peer, service, roll-out order and route. */
  readonly #latestOutcomes = new Map<string, reports.VersionOutcomes>();
  #reportedFailures = 0;
  #reportedRevision: number | undefined;
  #number = 0;
  #checkedAt: decisions.ClockReading;
  #trustsViewsFromMs = -Infinity;
  #sentAtMs = -Infinity;

  constructor(options: PeerReporterOptions) {
    this.#options = options;
    const { clock, channel, name } = options;
    this.table = new tables.PeerTable(name);
    this.#startedAtMs = Math.max(0, Math.floor(clock.wallMs()));
    this.#budget = new budgets.ReportBudget(clock.monotonicMs());
    this.#checkedAt = decisions.readClocks(clock);
    channel.onDatagram = (bytes, host) => this.#handleDatagram(bytes, host);
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Returns the sum of all peers' load at a replica. */
  readLoad(replicaKey: number): tables.PeerLoad {
    return this.table.readLoad(replicaKey, this.#options.clock.monotonicMs());
  }

  /** Counts the peers whose reports confirm this process's view. */
  countConfirmingPeers(): number {
    return this.table.countRecentlyHeard(
      CONFIRMATION_WINDOW_MS,
      this.#options.clock.monotonicMs(),
    );
  }

  /** Queues a session's version for the next reports; dropped if the queue is full. */
  shareSession(item: reports.SessionVersion): void {
    if (!reports.isSessionAccepted(item)) return;
    const key = `${item.service}/${item.session}`;
    if (
      this.#queuedSessions.size >= MAX_QUEUED_SESSIONS &&
      !this.#queuedSessions.has(key)
    ) return;
    this.#queuedSessions.set(key, {
      item,
      remainingSends: SESSION_REPEATS * this.table.reportsPerRotation,
    });
  }

  /** Sends a report if one is due. */
  check(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#wasPaused()) this.#trustsViewsFromMs = nowMs + DISTRUST_MS;
    this.#checkedAt = decisions.readClocks(this.#options.clock);
    const outcomes = this.#options.source.listVersionOutcomes();
    const failures = sumFailures(outcomes);
    const hasNewFailures = failures > this.#reportedFailures;
    const receivers = this.table.listReceivers();
    const revision = this.#options.source.readView()?.revision;
    const intervalMs = revision === this.#reportedRevision
      ? REPORT_INTERVAL_MS
      : Math.min(
        REPORT_INTERVAL_MS,
        NEWS_DELAY_PER_RECEIVER_MS * receivers.length,
      );
    const isDue = nowMs - this.#sentAtMs >= intervalMs ||
      this.#queuedSessions.size > 0 || hasNewFailures;
    if (!isDue || receivers.length === 0) return;
    if (!this.#budget.canSend(nowMs)) return;
    const loads = this.#options.source.listLoads().filter((load) =>
      load.pendingMs >= MIN_PENDING_MS
    );
    this.#sentAtMs = nowMs;
    this.#reportedFailures = failures;
    this.#reportedRevision = revision;
    this.#send(receivers, {
      loads,
      running: this.#options.source.listRunning(),
      versionOutcomes: outcomes,
    });
    this.table.advanceRotation();
  }

  close(): void {
    clearInterval(this.#timer);
    this.#options.channel.close();
  }

  /**
   * Whether the process was paused since the last check. Reports may then have
   * been buffered in the socket, so that the ages in them are too low.
   */
  #wasPaused(): boolean {
    const sinceMs = decisions.measureAgeMs(
      this.#checkedAt,
      decisions.readClocks(this.#options.clock),
    );
    return sinceMs > CHECK_INTERVAL_MS + MAX_CHECK_DELAY_MS;
  }

  #send(
    receivers: readonly tables.PeerEndpoint[],
    content: Pick<reports.PeerReport, "loads" | "running" | "versionOutcomes">,
  ): void {
    this.#number += 1;
    // All peers in rotation get the same outcomes before the next ones take their turn.
    const turn = Math.floor(this.#number / this.table.reportsPerRotation);
    const report = reports.trimReport({
      name: this.#options.name,
      view: this.#options.source.readView(),
      startedAtMs: this.#startedAtMs,
      number: this.#number,
      ...content,
      versionOutcomes: reports.rotateOutcomes(content.versionOutcomes, turn),
      sessions: [...this.#queuedSessions.values()].map(({ item }) => item),
    });
    for (const { service, session } of report.sessions) {
      const key = `${service}/${session}`;
      const queued = this.#queuedSessions.get(key);
      if (queued === undefined) continue;
      queued.remainingSends -= 1;
      this.#queuedSessions.delete(key);
      // Moves to the end of the map, behind sessions that were sent less often.
      if (queued.remainingSends > 0) this.#queuedSessions.set(key, queued);
    }
    const bytes = reports.encodeReport(report);
    this.#budget.consume(bytes.byteLength, receivers.length);
    for (const { host, port } of receivers) {
      this.#options.channel.send(bytes, host, port);
    }
    this.#options.onReport("sent");
  }

  #handleDatagram(bytes: Uint8Array, host: string): void {
    const report = reports.decodeReport(bytes);
    const nowMs = this.#options.clock.monotonicMs();
    const isTaken = report !== undefined &&
      this.table.acceptReport(report, host, nowMs);
    this.#options.onReport(isTaken ? "taken" : "dropped");
    if (!isTaken) return;
    for (const item of report.sessions) {
      this.#options.listener.onSession(item);
    }
    const isTrusted = !this.#wasPaused() && nowMs >= this.#trustsViewsFromMs;
    if (report.view !== undefined && isTrusted) {
      this.#options.listener.onView(report.view);
    }
    this.#handleOutcomes(report.name, report.versionOutcomes);
  }

  /** Peers report totals since their start; only the increase is passed on. */
  #handleOutcomes(
    name: string,
    outcomes: readonly reports.VersionOutcomes[],
  ): void {
    for (const total of outcomes) {
      const key = `${name}/${total.service}/${total.route}`;
      const latest = this.#latestOutcomes.get(key);
      const isSameOrder = latest !== undefined &&
        (latest.orderRevision === total.orderRevision ||
          this.#options.source.isSameOrder(
            total.service,
            latest.orderRevision,
            total.orderRevision,
          ));
      const previous = isSameOrder ? latest : undefined;
      this.#latestOutcomes.delete(key);
      this.#latestOutcomes.set(key, total);
      const added = subtractOutcomes(total, previous);
      if (added.answers > 0) this.#options.listener.onVersionOutcomes(added);
    }
    while (this.#latestOutcomes.size > MAX_TRACKED_OUTCOMES) {
      const [oldest] = this.#latestOutcomes.keys();
      if (oldest === undefined) break;
      this.#latestOutcomes.delete(oldest);
    }
  }
}

function sumFailures(outcomes: readonly reports.VersionOutcomes[]): number {
  return outcomes.reduce(
    (sum, { failures }) =>
      sum + failures.reduce((part, { count }) => part + count, 0),
    0,
  );
}

/** Returns the increase since the previous report, or all outcomes after the peer's restart. */
function subtractOutcomes(
  total: reports.VersionOutcomes,
  previous: reports.VersionOutcomes | undefined,
): reports.VersionOutcomes {
  if (previous === undefined || previous.answers > total.answers) return total;
  const previousCounts = new Map(
    previous.failures.map((failure) => [failure.replicaKey, failure.count]),
  );
  return {
    ...total,
    answers: total.answers - previous.answers,
    failures: total.failures.flatMap((failure) => {
      const added = failure.count -
        (previousCounts.get(failure.replicaKey) ?? 0);
      return added > 0 ? [{ ...failure, count: added }] : [];
    }),
  };
}
