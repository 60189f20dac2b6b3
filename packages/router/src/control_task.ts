/**
 * The task that keeps this process's view of the control plane: route table,
 * replicas and roll-outs. It holds the newest version of each and never goes
 * back, and it knows until when its view was surely current.
 */
import * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as telemetry from "./telemetry.ts";

/** Longest wait of one watch: its end confirms that the view is current. */
const WATCH_WAIT_MS = 1_000;
/** Pause after a watch that brought changes, so that many come in one call. */
const WATCH_PAUSE_MS = 400;
/** While the store fails, a short watch finds its return; a slow store still answers it. */
const PROBE_WAIT_MS = 50;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 500;
/** Start-ups of many processes at once are spread over this. */
const START_JITTER_MS = 100;
/** Entries that lapsed in an outage are back within this after its end. */
const LAPSED_RETURN_MS = 2_000;
/** Failures for so long make an outage, in which entries may have lapsed. */
const OUTAGE_MS = 600;

/** Called with each replica that came, changed or left. */
export interface ControlListener {
  onReplica(replica: ports.ReplicaEntry): void;
  onReplicaGone(id: string): void;
  onTable(index: bundle.RouteIndex): void;
  onPeer(peer: ports.PeerEntry): void;
  onPeerGone(name: string): void;
}

/** What the task needs. */
export interface ControlTaskOptions {
  readonly clock: kernel.Clock;
  readonly plane: ports.ControlPlane;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly listener: ControlListener;
  readonly random: () => number;
}

/** Owner of the watch. */
export class ControlTask {
  readonly #options: ControlTaskOptions;
  readonly #abort = new AbortController();
  readonly #replicas = new Map<string, ports.ReplicaEntry>();
  readonly #orders = new Map<string, ports.RolloutOrder>();
  readonly #records = new Map<string, ports.RolloutRecord>();
  /** Removals that wait for entries to come back after an outage. */
  readonly #pendingRemovals = new Map<string, NodeJS.Timeout>();
  #index: bundle.RouteIndex | undefined;
  #confirmedAt: decisions.ClockReading | undefined;
  #failingSinceMs: number | undefined;
  #restoredAtMs = -Infinity;
  #hasRead = false;
  #loop: Promise<void> | undefined;

  constructor(options: ControlTaskOptions) {
    this.#options = options;
  }

  get index(): bundle.RouteIndex | undefined {
    return this.#index;
  }

  /** The first full read has come. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  get orders(): ReadonlyMap<string, ports.RolloutOrder> {
    return this.#orders;
  }

  get records(): ReadonlyMap<string, ports.RolloutRecord> {
    return this.#records;
  }

  /** Time since the view was surely current. */
  get ageMs(): number {
    return this.#confirmedAt === undefined
      ? Infinity
      : decisions.measureAgeMs(this.#confirmedAt, this.#readClocks());
  }

  start(): void {
    this.#loop = this.#run();
  }

  /** Takes a record that this process has written itself. */
  takeRecord(record: ports.RolloutRecord): void {
    const held = this.#records.get(record.service);
    if (held !== undefined && held.revision >= record.revision) return;
    this.#records.set(record.service, record);
    if (
      held?.state !== record.state ||
      held.orderRevision !== record.orderRevision
    ) {
      const { service, state, targetVersion, revision, reason } = record;
      this.#options.log.notable("rollout.known", {
        service,
        state,
        targetVersion,
        recordRevision: revision,
        reason,
      });
    }
  }

  async close(): Promise<void> {
    this.#abort.abort();
    for (const timer of this.#pendingRemovals.values()) clearTimeout(timer);
    await this.#options.plane.close();
    await this.#loop;
  }

  async #run(): Promise<void> {
    const { signal } = this.#abort;
    await kernel.sleep(this.#options.random() * START_JITTER_MS, signal);
    let revision: number | undefined;
    let retryMs = FIRST_RETRY_MS;
    while (!signal.aborted) {
      const step = revision === undefined
        ? await this.#readAll()
        : await this.#watch(revision);
      if (signal.aborted) return;
      if (step.isOk()) {
        revision = step.value.revision;
        retryMs = FIRST_RETRY_MS;
        if (step.value.hadChanges) await kernel.sleep(WATCH_PAUSE_MS, signal);
        continue;
      }
      if (step.error.kind === "history-lost") {
        this.#options.log.notable("control.history-lost", { revision });
        revision = undefined;
        continue;
      }
      this.#noteFailure(step.error);
      await kernel.sleep(retryMs * (0.5 + this.#options.random()), signal);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  async #readAll(): Promise<
    kernel.Outcome<{ readonly revision: number; readonly hadChanges: boolean }>
  > {
    const sentAt = this.#readClocks();
    const snapshot = await this.#options.plane.readAll();
    return snapshot.map(({ items, revision }) => {
      this.#noteSuccess();
      const named = new Set(
        items.flatMap((item) =>
          item.type === "replica" ? [item.replica.id] : []
        ),
      );
      for (const item of items) this.#takeItem(item);
      for (const id of this.#replicas.keys()) {
        if (!named.has(id)) this.#removeReplica(id, "missing from a full read");
      }
      this.#hasRead = true;
      this.#confirmedAt = sentAt;
      return { revision, hadChanges: true };
    });
  }

  async #watch(afterRevision: number): Promise<
    kernel.Outcome<{ readonly revision: number; readonly hadChanges: boolean }>
  > {
    const sentAt = this.#readClocks();
    const waitMs = this.#failingSinceMs === undefined
      ? WATCH_WAIT_MS
      : PROBE_WAIT_MS;
    const changes = await this.#options.plane.waitForChanges(
      afterRevision,
      waitMs,
    );
    return changes.map(({ items, revision }) => {
      this.#noteSuccess();
      for (const item of items) this.#takeItem(item);
      const waitedMs = this.#readClocks().steadyMs - sentAt.steadyMs;
      const isFullWait = items.length === 0 && waitedMs >= waitMs;
      this.#confirmedAt = isFullWait
        ? decisions.addWait(sentAt, waitMs)
        : sentAt;
      return {
        revision: Math.max(afterRevision, revision),
        hadChanges: items.length > 0 || !isFullWait,
      };
    });
  }

  #takeItem(item: ports.ControlItem): void {
    const { log } = this.#options;
    switch (item.type) {
      case "route-table":
        return this.#takeTable(item.table);
      case "replica":
        return this.#takeReplica(item.replica);
      case "replica-gone":
        return this.#removeReplica(item.id, "its entry was removed");
      case "unreadable-replica":
        log.notable("replica.unreadable", {
          replica: item.id,
          reason: item.reason,
        });
        return this.#removeReplica(item.id, "its entry is unreadable");
      case "peer":
        return this.#options.listener.onPeer(item.peer);
      case "peer-gone":
        return this.#options.listener.onPeerGone(item.name);
      case "rollout-order":
        return this.#takeOrder(item.order);
      case "rollout-record":
        return this.takeRecord(item.record);
      case "unreadable":
        log.notable("control.unreadable", { reason: item.reason });
        return;
      case "other":
        return;
    }
  }

  #takeTable(table: bundle.RouteTable): void {
    const held = this.#index?.table.revision ?? -Infinity;
    if (table.revision <= held) return;
    this.#index = bundle.indexRoutes(table);
    this.#options.log.notable("config.taken", {
      tableRevision: table.revision,
      replaced: Number.isFinite(held) ? held : undefined,
      routes: table.routes.length,
      accounts: table.accounts.length,
    });
    this.#options.listener.onTable(this.#index);
  }

  #takeOrder(order: ports.RolloutOrder): void {
    const held = this.#orders.get(order.service);
    if (held !== undefined && held.revision >= order.revision) return;
    this.#orders.set(order.service, order);
    this.#options.log.notable("rollout.ordered", {
      service: order.service,
      targetVersion: order.targetVersion,
      durationMs: order.durationMs,
      orderRevision: order.revision,
    });
  }

  #takeReplica(replica: ports.ReplicaEntry): void {
    const held = this.#replicas.get(replica.id);
    this.#keepReplica(replica.id);
    this.#replicas.set(replica.id, replica);
    if (held === undefined || held.isDraining !== replica.isDraining) {
      this.#options.log.notable("replica.known", {
        replica: replica.id,
        service: replica.service,
        version: replica.version,
        dataCentre: replica.dataCentre,
        isDraining: replica.isDraining,
      });
    }
    this.#options.listener.onReplica(replica);
  }

  #keepReplica(id: string): void {
    clearTimeout(this.#pendingRemovals.get(id));
    this.#pendingRemovals.delete(id);
  }

  /** After an outage an entry may only have lapsed; it then has a while to come back. */
  #removeReplica(id: string, reason: string): void {
    if (!this.#replicas.has(id) || this.#pendingRemovals.has(id)) return;
    const sinceMs = this.#options.clock.monotonicMs() - this.#restoredAtMs;
    const remove = () => {
      this.#pendingRemovals.delete(id);
      this.#replicas.delete(id);
      this.#options.log.notable("replica.gone", { replica: id, reason });
      this.#options.listener.onReplicaGone(id);
    };
    if (sinceMs >= LAPSED_RETURN_MS) {
      remove();
      return;
    }
    this.#pendingRemovals.set(
      id,
      setTimeout(remove, LAPSED_RETURN_MS - sinceMs),
    );
  }

  #noteFailure(error: kernel.AppError): void {
    this.#options.telemetry.countEvent("control.failed");
    if (this.#failingSinceMs !== undefined) return;
    this.#failingSinceMs = this.#options.clock.monotonicMs();
    this.#options.log.notable("control.lost", {
      kind: error.kind,
      reason: error.message,
      viewAgeMs: Math.round(this.ageMs),
    });
  }

  #noteSuccess(): void {
    this.#options.telemetry.countEvent("control.answered");
    if (this.#failingSinceMs === undefined) return;
    const nowMs = this.#options.clock.monotonicMs();
    const lostMs = nowMs - this.#failingSinceMs;
    this.#failingSinceMs = undefined;
    if (lostMs >= OUTAGE_MS) this.#restoredAtMs = nowMs;
    this.#options.log.notable("control.regained", {
      lostMs: Math.round(lostMs),
    });
  }

  #readClocks(): decisions.ClockReading {
    const { clock } = this.#options;
    return { steadyMs: clock.monotonicMs(), wallMs: clock.wallMs() };
  }
}
