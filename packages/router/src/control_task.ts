/**
 * Maintains this process's view of the control plane: route table, replicas,
 * peers and roll-outs. It keeps the newest revision of each item and ignores
 * older ones, and it tracks the last time at which the view was confirmed as
 * current.
 */
import * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import * as neverthrow from "neverthrow";
import type * as listeners from "./control_listener.ts";
import * as appliers from "./item_applier.ts";
import * as tables from "./lost_table.ts";
import type * as ports from "./ports.ts";
import * as entries from "./replica_entries.ts";
import * as rollouts from "./rollout_states.ts";
import * as ages from "./view_age.ts";
import * as supervisors from "./watch_supervisor.ts";

/** Wait of a watch whose only purpose is to confirm the view soon. */
const CONFIRM_WAIT_MS = 100;
/** Wait of a watch while the control plane fails; short, so that even a slow answer is in time. */
const PROBE_WAIT_MS = 50;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 500;
/** Spreads the full reads of processes that start or lose the history at the same time. */
const START_JITTER_MS = 100;
/** Failures that last this long are an outage, in which entries may have expired. */
const MIN_OUTAGE_MS = 600;

type ReadResult = kernel.Outcome<{ readonly needsPause: boolean }>;

/** Reads and watches the control plane. */
export class ControlTask {
  readonly #options: listeners.ControlTaskOptions;
  readonly #abort = new AbortController();
  readonly #replicas: entries.ReplicaEntries;
  readonly #rollouts: rollouts.RolloutStates;
  readonly #items: appliers.ItemApplier;
  #routeIndex: bundle.RouteIndex | undefined;
  readonly #viewAge: ages.ViewAge;
  #failingSinceMs: number | undefined;
  #hasView = false;
  #resolveFirstRead = () => {};
  /** Resolved after the first read, whether it succeeded or failed. */
  readonly #firstRead = new Promise<void>((resolve) => {
    this.#resolveFirstRead = resolve;
  });
  #revision: number | undefined;
  /** Revision of the view when the history was lost. */
  #lostRevision: number | undefined;
  readonly #lostTable: tables.LostTable;
  /** Whether the items of the first read since a restoration are being applied. */
  #isRestored = false;
  readonly #supervisor: supervisors.WatchSupervisor;
  /** The next watch waits only briefly, to confirm the view. */
  #needsConfirmation = false;
  #loop: Promise<void> | undefined;

  constructor(options: listeners.ControlTaskOptions) {
    this.#options = options;
    this.#rollouts = new rollouts.RolloutStates(options.log);
    this.#lostTable = new tables.LostTable(options.clock, options.log);
    this.#viewAge = new ages.ViewAge(options.clock);
    this.#replicas = new entries.ReplicaEntries(options);
    this.#items = new appliers.ItemApplier({
      ...options,
      replicas: this.#replicas,
      rollouts: this.#rollouts,
      applyRouteTable: (table) => this.#applyRouteTable(table),
    });
    this.#supervisor = new supervisors.WatchSupervisor({
      ...options,
      readViewAgeMs: () => this.#viewAge.ageMs,
    });
  }

  get routeIndex(): bundle.RouteIndex | undefined {
    return this.#routeIndex;
  }

  /** Whether the first full read has succeeded. */
  get hasView(): boolean {
    return this.#hasView;
  }

  get orders(): ReadonlyMap<string, ports.RolloutOrder> {
    return this.#rollouts.orders;
  }

  get records(): ReadonlyMap<string, ports.RolloutRecord> {
    return this.#rollouts.records;
  }

  /** Records that the control plane lost, to be written again. */
  get unwrittenRecords(): readonly ports.RolloutRecord[] {
    return this.#rollouts.unwrittenRecords;
  }

  /**
   * Time since the view was last confirmed as current; infinite while a peer has a newer
   * route table than the control plane, which then has lost that table.
   */
  get viewAgeMs(): number {
    return this.#lostTable.isNewerThan(this.#tableRevision)
      ? Infinity
      : this.#viewAge.ageMs;
  }

  /** View reported to peers; absent before the first read. */
  get view(): peers.ControlPlaneView | undefined {
    const confirmedAgeMs = this.#viewAge.directAgeMs;
    return this.#revision === undefined || !Number.isFinite(confirmedAgeMs)
      ? undefined
      : {
        revision: this.#revision,
        confirmedAgeMs,
        tableRevision: this.#routeIndex?.table.revision,
      };
  }

  start(): void {
    this.#loop = this.#run();
  }

  /** Waits for the first read; returns at once while the control plane fails. */
  async waitForView(timeoutMs: number): Promise<void> {
    if (this.#hasView || this.#failingSinceMs !== undefined) return;
    const timeout = new AbortController();
    const slept = kernel.sleep(timeoutMs, timeout.signal);
    await Promise.race([this.#firstRead, slept]);
    timeout.abort();
  }

  /**
   * Applies a peer's report of its view. If the peer's revision is not newer than
   * the local one, nothing newer existed when the peer confirmed its view, so
   * the local view is confirmed for that time as well. A view of an earlier era of the
   * control plane confirms nothing.
   */
  applyPeerView(view: peers.ControlPlaneView): void {
    if (this.#revision === undefined || !this.#hasView) return;
    if (view.revision > this.#revision) {
      return this.#supervisor.recordNews(view.revision);
    }
    if (!kernel.isSameEra(view.revision, this.#revision)) return;
    // The local view holds all that the peer's does, except for a table that was lost.
    this.#lostTable.record(
      view.tableRevision ?? -Infinity,
      this.#tableRevision,
    );
    this.#viewAge.confirmFromPeer(view.confirmedAgeMs);
  }

  get #tableRevision(): number {
    return this.#routeIndex?.table.revision ?? -Infinity;
  }

  /** Applies a roll-out record, read from the control plane or just written. */
  applyRecord(record: ports.RolloutRecord): void {
    this.#rollouts.applyRecord(record);
  }

  async close(): Promise<void> {
    this.#abort.abort();
    this.#replicas.close();
    this.#rollouts.close();
    await this.#options.controlPlane.close();
    await this.#loop;
  }

  async #run(): Promise<void> {
    const { signal } = this.#abort;
    const { random, changeBoundMs } = this.#options;
    const pauseMs = decisions.computeWatchPauseMs(changeBoundMs);
    await kernel.sleep(random() * START_JITTER_MS, signal);
    let retryMs = FIRST_RETRY_MS;
    while (!signal.aborted) {
      const result = await this.#read().catch((thrown) =>
        kernel.fail("internal", kernel.describeThrown(thrown))
      );
      if (signal.aborted) return;
      if (result.isOk()) {
        retryMs = FIRST_RETRY_MS;
        if (result.value.needsPause) await kernel.sleep(pauseMs, signal);
        continue;
      }
      if (result.error.kind === "history-lost") {
        this.#options.log.addNotable("control.history-lost", {
          revision: kernel.describePosition(this.#revision ?? 0),
          reason: result.error.message,
        });
        this.#lostRevision = this.#revision;
        this.#revision = undefined;
        await kernel.sleep(random() * START_JITTER_MS, signal);
        continue;
      }
      this.#recordFailure(result.error);
      await kernel.sleep(retryMs * (0.5 + random()), signal);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  #read(): Promise<ReadResult> {
    return this.#revision === undefined
      ? this.#readAll()
      : this.#watch(this.#revision);
  }

  async #readAll(): Promise<ReadResult> {
    const sentAt = decisions.readClocks(this.#options.clock);
    const snapshot = await this.#options.controlPlane.readAll();
    return snapshot.map(({ items, revision }) => {
      this.#recordSuccess();
      const previous = this.#lostRevision;
      this.#isRestored = previous !== undefined &&
        !kernel.isSameEra(previous, revision);
      if (this.#isRestored) this.#replicas.recordRecovery();
      const found = new Set(
        items.flatMap((item) =>
          item.type === "replica" ? [item.replica.id] : []
        ),
      );
      for (const item of items) this.#items.apply(item, this.#isRestored);
      this.#replicas.removeMissing(found);
      if (this.#isRestored) {
        this.#applyRestoration(items, previous ?? 0, revision);
      }
      this.#options.listener.onFullRead(items, this.#isRestored);
      this.#isRestored = false;
      this.#hasView = true;
      this.#resolveFirstRead();
      this.#revision = revision;
      this.#supervisor.recordAnswer(revision);
      this.#viewAge.confirm(sentAt);
      return { needsPause: true };
    });
  }

  /** Keeps what the control plane has lost; replicas that are missing have been marked. */
  #applyRestoration(
    items: readonly ports.ControlItem[],
    previous: number,
    revision: number,
  ): void {
    this.#rollouts.keepMissing(
      new Set(
        items.flatMap((item) =>
          item.type === "rollout-record" ? [item.record.service] : []
        ),
      ),
    );
    this.#options.telemetry.countEvent("control.restored");
    this.#options.log.addNotable("control.restored", {
      lostRevision: kernel.describePosition(previous),
      revision: kernel.describePosition(revision),
      missingReplicas: this.#replicas.doubtfulCount,
      unwrittenRecords: this.unwrittenRecords.length,
    });
  }

  async #watch(afterRevision: number): Promise<ReadResult> {
    const sentAt = decisions.readClocks(this.#options.clock);
    const isConfirmation = this.#needsConfirmation ||
      this.#failingSinceMs !== undefined;
    const waitMs = this.#chooseWaitMs();
    const interruption = new AbortController();
    const { controlPlane } = this.#options;
    const confirmsAfterMs = controlPlane.isRelayed && !isConfirmation
      ? Infinity
      : waitMs;
    const stop = this.#supervisor.supervise(confirmsAfterMs, interruption);
    const changes = await controlPlane.waitForChanges(
      afterRevision,
      waitMs,
      interruption.signal,
      isConfirmation,
    ).finally(stop);
    if (interruption.signal.aborted && changes.isErr()) {
      this.#needsConfirmation = true;
      return neverthrow.ok({ needsPause: false });
    }
    return changes.map(({ items, revision, isRelayed }) => {
      if (isRelayed) return this.#applyRelayed(afterRevision, items, revision);
      this.#recordSuccess();
      this.#needsConfirmation = false;
      for (const item of items) this.#items.apply(item, this.#isRestored);
      const waitedMs = decisions.readClocks(this.#options.clock).monotonicMs -
        sentAt.monotonicMs;
      const isFullWait = items.length === 0 && waitedMs >= waitMs;
      this.#viewAge.confirm(
        isFullWait ? decisions.addDuration(sentAt, waitMs) : sentAt,
      );
      this.#revision = Math.max(afterRevision, revision);
      this.#supervisor.recordAnswer(this.#revision);
      return { needsPause: items.length > 0 || !isFullWait };
    });
  }

  /** Relayed changes confirm nothing; reports of peers tell how current the view is. */
  #applyRelayed(
    afterRevision: number,
    items: readonly ports.ControlItem[],
    revision: number,
  ): { readonly needsPause: boolean } {
    for (const item of items) this.#items.apply(item, this.#isRestored);
    this.#revision = Math.max(afterRevision, revision);
    this.#supervisor.recordAnswer(this.#revision);
    return { needsPause: false };
  }

  #chooseWaitMs(): number {
    if (this.#failingSinceMs !== undefined) return PROBE_WAIT_MS;
    const { countConfirmingPeers, random } = this.#options;
    return this.#needsConfirmation
      ? CONFIRM_WAIT_MS
      : decisions.chooseWatchWaitMs(countConfirmingPeers(), random());
  }

  #applyRouteTable(table: bundle.RouteTable): void {
    const heldRevision = this.#tableRevision;
    if (table.revision <= heldRevision) return;
    this.#routeIndex = bundle.indexRoutes(table);
    this.#options.log.addNotable("config.taken", {
      tableRevision: table.revision,
      replaced: Number.isFinite(heldRevision) ? heldRevision : undefined,
      routes: table.routes.length,
      storedChars: table.storedChars,
      accounts: table.accounts.length,
    });
    this.#options.listener.onRouteTable(this.#routeIndex);
  }

  #recordFailure(error: kernel.AppError): void {
    this.#options.telemetry.countEvent("control.failed");
    if (this.#failingSinceMs !== undefined) return;
    this.#failingSinceMs = this.#options.clock.monotonicMs();
    this.#resolveFirstRead();
    this.#options.log.addNotable("control.lost", {
      kind: error.kind,
      reason: error.message,
      viewAgeMs: Math.round(this.#viewAge.ageMs),
    });
  }

  #recordSuccess(): void {
    this.#options.telemetry.countEvent("control.answered");
    if (this.#failingSinceMs === undefined) return;
    const nowMs = this.#options.clock.monotonicMs();
    const lostMs = nowMs - this.#failingSinceMs;
    this.#failingSinceMs = undefined;
    if (lostMs >= MIN_OUTAGE_MS) this.#replicas.recordRecovery();
    this.#options.log.addNotable("control.regained", {
      lostMs: Math.round(lostMs),
    });
  }
}
