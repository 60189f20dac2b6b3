/**
 * The task that keeps this process's view of the control plane: route table,
 * replicas and roll-outs. It holds the newest version of each and never goes
 * back, and it knows until when its view was surely current.
 */
import * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import * as neverthrow from "neverthrow";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as removals from "./removal_delay.ts";
import type * as telemetry from "./telemetry.ts";
import * as ages from "./view_age.ts";

const QUIET_CHECK_MS = 100;
/** A watch that waits so long confirms the view as soon as it can. */
const CONFIRM_WAIT_MS = 100;
/** A peer knows more for so long: this process's watch has gone dead. */
const MAX_BEHIND_MS = 1_500;
/** Pause after a watch that brought changes, so that many come in one call. */
const WATCH_PAUSE_MS = 400;
/** While the store fails, a short watch finds its return; a slow store still answers it. */
const PROBE_WAIT_MS = 50;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 500;
/** Start-ups of many processes at once are spread over this. */
const START_JITTER_MS = 100;
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
  /** Other processes that tell how current their views are. */
  readonly countConfirming: () => number;
}

/** Owner of the watch. */
export class ControlTask {
  readonly #options: ControlTaskOptions;
  readonly #abort = new AbortController();
  readonly #replicas = new Map<string, ports.ReplicaEntry>();
  readonly #orders = new Map<string, ports.RolloutOrder>();
  readonly #records = new Map<string, ports.RolloutRecord>();
  readonly #removals: removals.RemovalDelay;
  #index: bundle.RouteIndex | undefined;
  readonly #age: ages.ViewAge;
  #failingSinceMs: number | undefined;
  #hasRead = false;
  #endFirstRead = () => {};
  /** Settled by the first read, also by one that failed. */
  readonly #firstRead = new Promise<void>((resolve) => {
    this.#endFirstRead = resolve;
  });
  /** Newest revision of the control plane that was taken. */
  #revision: number | undefined;
  #behindSinceMs: number | undefined;
  #interruptWatch: ((reason: string) => void) | undefined;
  /** The next watch confirms the view soon. */
  #needsConfirmation = false;
  #loop: Promise<void> | undefined;

  constructor(options: ControlTaskOptions) {
    this.#options = options;
    this.#age = new ages.ViewAge(options.clock);
    this.#removals = new removals.RemovalDelay(options.clock);
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
    return this.#age.ageMs;
  }

  /** What other processes may be told; absent before the first read. */
  get view(): peers.ControlPlaneView | undefined {
    return this.#revision === undefined || !this.#hasRead
      ? undefined
      : { revision: this.#revision, confirmedAgeMs: this.ageMs };
  }

  start(): void {
    this.#loop = this.#run();
  }

  /** Waits for the first read; there is no waiting while the control plane fails. */
  async waitForView(timeoutMs: number): Promise<void> {
    if (this.#hasRead || this.#failingSinceMs !== undefined) return;
    const wait = new AbortController();
    await Promise.race([
      this.#firstRead,
      kernel.sleep(timeoutMs, wait.signal),
    ]);
    wait.abort();
  }

  /**
   * Takes what another process says of its view. If it had taken no more than
   * this process holds, nothing newer existed at the moment that it confirmed.
   */
  takePeerView(view: peers.ControlPlaneView): void {
    if (this.#revision === undefined || !this.#hasRead) return;
    const nowMs = this.#options.clock.monotonicMs();
    if (view.revision > this.#revision) {
      this.#behindSinceMs ??= nowMs;
      if (nowMs - this.#behindSinceMs <= MAX_BEHIND_MS) return;
      this.#behindSinceMs = undefined;
      this.#interruptWatch?.("a peer knows more");
      return;
    }
    this.#age.confirmFromPeer(view.confirmedAgeMs);
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
      this.#options.log.addNotable("rollout.known", {
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
    this.#removals.close();
    await this.#options.plane.close();
    await this.#loop;
  }

  async #run(): Promise<void> {
    const { signal } = this.#abort;
    await kernel.sleep(this.#options.random() * START_JITTER_MS, signal);
    let retryMs = FIRST_RETRY_MS;
    while (!signal.aborted) {
      const step = this.#revision === undefined
        ? await this.#readAll()
        : await this.#watch(this.#revision);
      if (signal.aborted) return;
      if (step.isOk()) {
        retryMs = FIRST_RETRY_MS;
        if (step.value.hadChanges) await kernel.sleep(WATCH_PAUSE_MS, signal);
        continue;
      }
      if (step.error.kind === "history-lost") {
        this.#options.log.addNotable("control.history-lost", {
          revision: this.#revision,
        });
        this.#revision = undefined;
        continue;
      }
      this.#noteFailure(step.error);
      await kernel.sleep(retryMs * (0.5 + this.#options.random()), signal);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  async #readAll(): Promise<
    kernel.Outcome<{ readonly hadChanges: boolean }>
  > {
    const sentAt = decisions.readClocks(this.#options.clock);
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
      this.#endFirstRead();
      this.#revision = revision;
      this.#age.confirm(sentAt);
      return { hadChanges: true };
    });
  }

  async #watch(afterRevision: number): Promise<
    kernel.Outcome<{ readonly hadChanges: boolean }>
  > {
    const sentAt = decisions.readClocks(this.#options.clock);
    const waitMs = this.#chooseWaitMs();
    const interruption = new AbortController();
    const stop = this.#superviseWatch(waitMs, interruption);
    const changes = await this.#options.plane.waitForChanges(
      afterRevision,
      waitMs,
      interruption.signal,
    );
    stop();
    if (interruption.signal.aborted) {
      this.#needsConfirmation = true;
      return neverthrow.ok({ hadChanges: false });
    }
    return changes.map(({ items, revision }) => {
      this.#noteSuccess();
      this.#needsConfirmation = false;
      for (const item of items) this.#takeItem(item);
      const waitedMs = decisions.readClocks(this.#options.clock).monotonicMs -
        sentAt.monotonicMs;
      const isFullWait = items.length === 0 && waitedMs >= waitMs;
      this.#age.confirm(
        isFullWait ? decisions.addDuration(sentAt, waitMs) : sentAt,
      );
      this.#revision = Math.max(afterRevision, revision);
      this.#behindSinceMs = undefined;
      return { hadChanges: items.length > 0 || !isFullWait };
    });
  }

  #chooseWaitMs(): number {
    if (this.#failingSinceMs !== undefined) return PROBE_WAIT_MS;
    const { countConfirming, random } = this.#options;
    return this.#needsConfirmation
      ? CONFIRM_WAIT_MS
      : decisions.chooseWatchWaitMs(countConfirming(), random());
  }

  /** Ends a long watch when no peer confirms the view, or one knows more. */
  #superviseWatch(
    waitMs: number,
    interruption: AbortController,
  ): () => void {
    const quietAgeMs = decisions.chooseSelfConfirmAgeMs(this.#options.random());
    const interrupt = (reason: string) => {
      if (interruption.signal.aborted) return;
      this.#options.log.addNotable("control.watch-interrupted", {
        reason,
        viewAgeMs: Math.round(this.ageMs),
      });
      interruption.abort();
    };
    this.#interruptWatch = interrupt;
    const endsSoon = waitMs <= decisions.DEFAULT_WATCH_WAIT_MS;
    const timer = setInterval(() => {
      if (!endsSoon && this.ageMs > quietAgeMs) {
        interrupt("nobody confirms the view");
      }
    }, QUIET_CHECK_MS);
    return () => {
      clearInterval(timer);
      this.#interruptWatch = undefined;
    };
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
        log.addNotable("replica.unreadable", {
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
        log.addNotable("control.unreadable", { reason: item.reason });
        return;
      case "other":
        return;
    }
  }

  #takeTable(table: bundle.RouteTable): void {
    const held = this.#index?.table.revision ?? -Infinity;
    if (table.revision <= held) return;
    this.#index = bundle.indexRoutes(table);
    this.#options.log.addNotable("config.taken", {
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
    this.#options.log.addNotable("rollout.ordered", {
      service: order.service,
      targetVersion: order.targetVersion,
      durationMs: order.durationMs,
      orderRevision: order.revision,
    });
  }

  #takeReplica(replica: ports.ReplicaEntry): void {
    const held = this.#replicas.get(replica.id);
    this.#removals.cancel(replica.id);
    this.#replicas.set(replica.id, replica);
    if (held === undefined || held.isDraining !== replica.isDraining) {
      this.#options.log.addNotable("replica.known", {
        replica: replica.id,
        service: replica.service,
        version: replica.version,
        dataCentre: replica.dataCentre,
        isDraining: replica.isDraining,
      });
    }
    this.#options.listener.onReplica(replica);
  }

  #removeReplica(id: string, reason: string): void {
    if (!this.#replicas.has(id) || this.#removals.isPending(id)) return;
    this.#removals.schedule(id, () => {
      this.#replicas.delete(id);
      this.#options.log.addNotable("replica.gone", { replica: id, reason });
      this.#options.listener.onReplicaGone(id);
    });
  }

  #noteFailure(error: kernel.AppError): void {
    this.#options.telemetry.countEvent("control.failed");
    if (this.#failingSinceMs !== undefined) return;
    this.#failingSinceMs = this.#options.clock.monotonicMs();
    this.#endFirstRead();
    this.#options.log.addNotable("control.lost", {
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
    if (lostMs >= OUTAGE_MS) this.#removals.noteRestored();
    this.#options.log.addNotable("control.regained", {
      lostMs: Math.round(lostMs),
    });
  }
}
