/**
 * Sends this process's reports and takes those of its peers. A prompt that
 * takes long to read is reported at once, since others would queue behind it;
 * the rest follows at an interval.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as tables from "./peer_table.ts";
import * as reports from "./report.ts";
import * as budgets from "./report_budget.ts";

/** Loads are reported at least so often while there are any. */
const LOAD_INTERVAL_MS = 300;
/** Full reports also tell what changes slowly: running requests, answers of a trial. */
const FULL_INTERVAL_MS = 1_000;
/** A process without load is heard at least so often. */
const IDLE_INTERVAL_MS = 1_000;
const CHECK_INTERVAL_MS = 100;
/** Prompts that are sent together are reported together. */
const URGENT_DELAY_MS = 3;
/** A replica whose load rose by so much since the last report is reported at once. */
const URGENT_RISE_MS = 40;
/** Smaller loads delay nobody and are left out. */
const MIN_PENDING_MS = 10;
/** Each session is told so many times: datagrams get lost. */
const SESSION_REPEATS = 3;
/** A check that is later than this tells that the process was paused. */
const MAX_CHECK_DELAY_MS = 300;
/** What waited in the socket through a pause is read within this. */
const DISTRUST_MS = 200;
/** Peers that were heard within this confirm each other's views. */
const CONFIRMING_MS = 2_000;
const MAX_WAITING_SESSIONS = 2_000;
const MAX_HEARD_COUNTS = 4_000;

/** What the task asks of its process. */
export interface ReportSource {
  /** Prompts that replicas have still to read. */
  listLoads(): readonly reports.ReplicaLoad[];
  /** Requests under way at the replicas. */
  listRunning(): readonly decisions.ReplicaCount[];
  /** How current this process's view is; absent before it has one. */
  readView(): reports.ControlPlaneView | undefined;
  /** What was seen of versions under trial. */
  listVersionOutcomes(): readonly reports.VersionOutcomes[];
}

/** Called with what peers tell. */
export interface ReportListener {
  onSession(session: reports.SessionVersion): void;
  onView(view: reports.ControlPlaneView): void;
  /** Answers and failures of a version that a peer has seen since its last report. */
  onVersionOutcomes(count: reports.VersionOutcomes): void;
}

/** What the task needs. */
export interface PeerReporterOptions {
  readonly name: string;
  readonly clock: kernel.Clock;
  readonly channel: channels.PeerChannel;
  readonly source: ReportSource;
  readonly listener: ReportListener;
  /** Tells whether datagrams were sent, taken or dropped, for the counters. */
  readonly onReport: (what: "sent" | "taken" | "dropped") => void;
}

/** Owner of the reports. */
export class PeerReporter {
  readonly table: tables.PeerTable;
  readonly #options: PeerReporterOptions;
  readonly #startedAtMs: number;
  readonly #budget: budgets.ReportBudget;
  readonly #timer: NodeJS.Timeout;
  #urgent: NodeJS.Timeout | undefined;
  readonly #waiting = new Map<
    string,
    { readonly item: reports.SessionVersion; left: number }
  >();
  /** Newest counts by peer, order and route. */
  readonly #heardCounts = new Map<string, reports.VersionOutcomes>();
  /** Loads of the newest report, to see what rose since. */
  #reported = new Map<number, number>();
  #reportedFailures = 0;
  #number = 0;
  #checkedAt: decisions.ClockReading;
  #trustsViewsFromMs = -Infinity;
  #sentAtMs = -Infinity;
  #fullSentAtMs = -Infinity;

  constructor(options: PeerReporterOptions) {
    this.#options = options;
    const { clock, channel, name } = options;
    this.table = new tables.PeerTable(name);
    this.#startedAtMs = Math.max(0, Math.floor(clock.wallMs()));
    this.#budget = new budgets.ReportBudget(clock.monotonicMs());
    this.#checkedAt = decisions.readClocks(clock);
    channel.onDatagram = (bytes, host) => this.#take(bytes, host);
    this.#timer = setInterval(() => this.sendIfDue(), CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** What all peers have under way at a replica. */
  readLoad(replicaKey: number): tables.PeerLoad {
    return this.table.readLoad(replicaKey, this.#options.clock.monotonicMs());
  }

  /** A prompt was sent that takes so long to read. */
  notePromptSent(readMs: number): void {
    if (readMs < URGENT_RISE_MS) return;
    this.#urgent ??= setTimeout(() => {
      this.#urgent = undefined;
      this.sendIfDue();
    }, URGENT_DELAY_MS);
  }

  /** Peers that confirm this process's view. */
  countConfirmingPeers(): number {
    return this.table.countRecentlyHeard(
      CONFIRMING_MS,
      this.#options.clock.monotonicMs(),
    );
  }

  /** Tells peers which version a session ran on. */
  announceSession(item: reports.SessionVersion): void {
    const key = `${item.service}/${item.session}`;
    if (
      this.#waiting.size >= MAX_WAITING_SESSIONS && !this.#waiting.has(key)
    ) return;
    this.#waiting.set(key, { item, left: SESSION_REPEATS });
  }

  /** Sends a report if one is due. */
  sendIfDue(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#wasPaused()) this.#trustsViewsFromMs = nowMs + DISTRUST_MS;
    this.#checkedAt = decisions.readClocks(this.#options.clock);
    const loads = this.#options.source.listLoads().filter((load) =>
      load.pendingMs >= MIN_PENDING_MS
    );
    const counts = this.#options.source.listVersionOutcomes();
    const intervalMs = loads.length > 0 || this.#reported.size > 0
      ? LOAD_INTERVAL_MS
      : IDLE_INTERVAL_MS;
    const failures = sumFailures(counts);
    const hasNewFailures = failures > this.#reportedFailures;
    const isDue = nowMs - this.#sentAtMs >= intervalMs ||
      this.#waiting.size > 0 || this.#hasRisen(loads) || hasNewFailures;
    const receivers = this.table.listReceivers();
    if (!isDue || receivers.length === 0) return;
    if (!this.#budget.canSend(nowMs)) return;
    this.#sentAtMs = nowMs;
    const isFull = hasNewFailures ||
      nowMs - this.#fullSentAtMs >= FULL_INTERVAL_MS;
    if (isFull) {
      this.#fullSentAtMs = nowMs;
      this.#reportedFailures = failures;
    }
    this.#send(receivers, {
      loads,
      running: isFull ? this.#options.source.listRunning() : undefined,
      versionOutcomes: isFull ? counts : [],
    });
  }

  close(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#urgent);
    this.#options.channel.close();
  }

  /** Reports may then have waited in the socket: their ages are too low. */
  #wasPaused(): boolean {
    const sinceMs = decisions.measureAgeMs(
      this.#checkedAt,
      decisions.readClocks(this.#options.clock),
    );
    return sinceMs > CHECK_INTERVAL_MS + MAX_CHECK_DELAY_MS;
  }

  #hasRisen(loads: readonly reports.ReplicaLoad[]): boolean {
    return loads.some(({ replicaKey, pendingMs }) =>
      pendingMs - (this.#reported.get(replicaKey) ?? 0) >= URGENT_RISE_MS
    );
  }

  #send(
    receivers: readonly tables.PeerEndpoint[],
    told: Pick<reports.PeerReport, "loads" | "running" | "versionOutcomes">,
  ): void {
    this.#number += 1;
    const report = reports.trimReport({
      name: this.#options.name,
      view: this.#options.source.readView(),
      startedAtMs: this.#startedAtMs,
      sequence: this.#number,
      ...told,
      sessions: [...this.#waiting.values()].map(({ item }) => item),
    });
    for (const { service, session } of report.sessions) {
      const key = `${service}/${session}`;
      const waiting = this.#waiting.get(key);
      if (waiting === undefined) continue;
      waiting.left -= 1;
      this.#waiting.delete(key);
      // Behind those that were not told yet.
      if (waiting.left > 0) this.#waiting.set(key, waiting);
    }
    this.#reported = new Map(
      report.loads.map((load) => [load.replicaKey, load.pendingMs]),
    );
    const bytes = reports.encodeReport(report);
    this.#budget.consume(bytes.byteLength, receivers.length);
    for (const { host, port } of receivers) {
      this.#options.channel.send(bytes, host, port);
    }
    this.#options.onReport("sent");
  }

  #take(bytes: Uint8Array, host: string): void {
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
    this.#takeCounts(report.name, report.versionOutcomes);
  }

  /** Counts add up over a peer's life: only what is new is passed on. */
  #takeCounts(name: string, counts: readonly reports.VersionOutcomes[]): void {
    for (const count of counts) {
      const key =
        `${name}/${count.service}/${count.orderRevision}/${count.route}`;
      const held = this.#heardCounts.get(key);
      this.#heardCounts.delete(key);
      this.#heardCounts.set(key, count);
      const fresh = subtractCount(count, held);
      if (fresh.answers > 0) this.#options.listener.onVersionOutcomes(fresh);
    }
    while (this.#heardCounts.size > MAX_HEARD_COUNTS) {
      const [oldest] = this.#heardCounts.keys();
      if (oldest === undefined) break;
      this.#heardCounts.delete(oldest);
    }
  }
}

function sumFailures(counts: readonly reports.VersionOutcomes[]): number {
  return counts.reduce(
    (sum, { failures }) =>
      sum + failures.reduce((part, { count }) => part + count, 0),
    0,
  );
}

/** What a count has more than the one heard before; a restart begins anew. */
function subtractCount(
  count: reports.VersionOutcomes,
  held: reports.VersionOutcomes | undefined,
): reports.VersionOutcomes {
  if (held === undefined || held.answers > count.answers) return count;
  const before = new Map(
    held.failures.map((failure) => [failure.replicaKey, failure.count]),
  );
  return {
    ...count,
    answers: count.answers - held.answers,
    failures: count.failures.flatMap((failure) => {
      const fresh = failure.count - (before.get(failure.replicaKey) ?? 0);
      return fresh > 0 ? [{ ...failure, count: fresh }] : [];
    }),
  };
}
