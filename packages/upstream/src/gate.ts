/**
 * Admission gate in front of one upstream: checks work, queues it fairly between
 * accounts, checks it again before it is sent, and reports whether it was run.
 */
import type * as config from "@jackdawbank/config";
import type * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import type * as backends from "./backend.ts";
import * as claimJournals from "./claim_journals.ts";
import * as works from "./gate_work.ts";
import type * as entryTrackers from "./entry_tracker.ts";
import * as workQueues from "./work_queue.ts";

const CLAIM_TIMEOUT_MS = 3_000;
const COMMIT_TIMEOUT_MS = 2_000;
const REVISION_WAIT_MS = 1_000;
const PING_TIMEOUT_MS = 400;
const IDLE_POLL_INTERVAL_MS = 20;
/** Well below the time that an entry waits for a refusal after the deadline. */
const EXPIRY_CHECK_INTERVAL_MS = 50;
const SERVICE_EWMA_WEIGHT = 0.1;
const INITIAL_SERVICE_MS = 100;

export interface GateOptions {
  readonly holder: config.BundleHolder;
  readonly entries: entryTrackers.EntryTracker;
  readonly backend: backends.Backend;
  readonly store: stores.Store;
  readonly type: "model" | "service";
}

/** Owns the queue, the slots and the claim journals of one upstream. */
export class Gate {
  readonly #services: kernel.KernelServices;
  readonly #options: GateOptions;
  readonly #active = new Map<string, works.ActiveWork>();
  readonly #claimJournals: claimJournals.ClaimJournals;
  readonly #queue = new workQueues.WorkQueue();
  readonly #expiryTimer: NodeJS.Timeout;
  #state: backends.BackendState = { serves: [], capacity: 0 };
  #running = 0;
  #serviceMs = INITIAL_SERVICE_MS;
  #isLeaving = false;
  #handOvers = 0;

  constructor(services: kernel.KernelServices, options: GateOptions) {
    this.#services = services;
    this.#options = options;
    this.#claimJournals = new claimJournals.ClaimJournals(services, options);
    this.#expiryTimer = setInterval(
      () => this.#refuseExpired(),
      EXPIRY_CHECK_INTERVAL_MS,
    );
    this.#expiryTimer.unref();
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  get isIdle(): boolean {
    return this.#active.size === 0;
  }

  /** Requests sent to the upstream so far. */
  get handOvers(): number {
    return this.#handOvers;
  }

  /** Store writes made for claims so far. */
  get claimWrites(): number {
    return this.#claimJournals.writes;
  }

  buildStatus(dataCentre: string): mesh.UpstreamStatus {
    return {
      type: this.#options.type,
      serves: this.#state.serves,
      capacity: this.#state.capacity,
      running: this.#running,
      queued: this.#queue.queued,
      serviceMs: this.#serviceMs,
      isLeaving: this.#isLeaving,
      dataCentre,
    };
  }

  /** Replaces the upstream's state; returns whether served names or capacity changed. */
  replaceState(state: backends.BackendState): boolean {
    const isChanged = state.capacity !== this.#state.capacity ||
      state.serves.join() !== this.#state.serves.join();
    this.#state = state;
    if (isChanged) {
      for (const work of this.#queue.resize(state.capacity)) {
        this.#refuse(work, "account-over-share");
      }
    }
    this.#dispatchQueued();
    return isChanged;
  }

  /** Refuses waiting and new work; running work continues. */
  startLeaving(reason: string): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.#services.timeline.record("gate.leaving", { detail: reason });
    for (const work of this.#queue.removeAll()) this.#refuse(work, "leaving");
  }

  /** Waits until no work is left, then stores queued claim records; returns whether none is left. */
  async waitIdle(timeoutMs: number): Promise<boolean> {
    const endAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (!this.isIdle && this.#services.clock.monotonicMs() < endAtMs) {
      await kernel.sleep(IDLE_POLL_INTERVAL_MS);
    }
    await this.#claimJournals.flush(CLAIM_TIMEOUT_MS);
    return this.isIdle;
  }

  close(): void {
    clearInterval(this.#expiryTimer);
    for (const work of this.#active.values()) work.abort.abort();
    this.#claimJournals.close();
  }

  /** Checks, claims and queues work that an entry sent. */
  async handleWork(
    connection: mesh.MeshConnection,
    frame: mesh.FrameOf<"work">,
  ): Promise<void> {
    const nowMs = this.#services.clock.monotonicMs();
    const work = works.createWork(connection, frame, nowMs);
    this.#active.set(frame.attemptId, work);
    if (!await this.#waitForEntryRevision(work)) return;
    const refusal = await this.#findRefusalWithFreshView(work);
    if (refusal !== undefined) {
      this.#refuse(work, refusal);
      return;
    }
    if (!await this.#claimIfNeeded(work)) return;
    this.#enqueue(work);
  }

  handleCommit(attemptId: string): void {
    this.#active.get(attemptId)?.onCommit?.();
  }

  addCredit(attemptId: string, frames: number): void {
    this.#active.get(attemptId)?.sink.addCredit(frames);
  }

  /** Cancels work on behalf of its entry. A running two-phase call is not aborted. */
  cancel(attemptId: string): void {
    const work = this.#active.get(attemptId);
    if (work === undefined) return;
    if (work.phase === "running") {
      if (!work.frame.isTwoPhase) work.abort.abort();
      work.sink.close();
      return;
    }
    this.#queue.remove(work);
    this.#refuse(work, "cancelled");
  }

  /** Cancels all work of a connection that has closed. */
  handleConnectionClosed(connection: mesh.MeshConnection): void {
    this.#queue.removeHeld(connection);
    for (const work of [...this.#active.values()]) {
      if (work.connection === connection) this.cancel(work.frame.attemptId);
    }
  }

  /** Waits until the bundle is at least as new as the entry's; refuses the work on a timeout. */
  async #waitForEntryRevision(work: works.ActiveWork): Promise<boolean> {
    const { holder, entries } = this.#options;
    const revision = work.frame.revision;
    entries.distributor.reconcile(work.connection, revision);
    if (revision <= holder.revision) return true;
    if (await entries.waitForRevision(revision, REVISION_WAIT_MS)) return true;
    this.#refuse(work, "stale-configuration");
    return false;
  }

  /** Pings the entries once before work is refused for a stale bundle. */
  async #findRefusalWithFreshView(
    work: works.ActiveWork,
  ): Promise<kernel.ErrorKind | undefined> {
    const refusal = this.#check(work);
    if (refusal !== "stale-configuration") return refusal;
    await this.#options.entries.pingAllAndWait(PING_TIMEOUT_MS);
    return this.#check(work);
  }

  #check(work: works.ActiveWork): kernel.ErrorKind | undefined {
    return works.findRefusal(work, {
      index: this.#options.holder.index,
      isLeaving: this.#isLeaving,
      confirmedAgeMs: this.#options.holder.stalenessMs,
      loaded: this.#state.serves,
      nowMs: this.#services.clock.monotonicMs(),
    });
  }

  async #claimIfNeeded(work: works.ActiveWork): Promise<boolean> {
    const { call, attemptId } = work.frame;
    if (call.type !== "service" || call.claim === undefined) return true;
    const driver = this.#claimJournals.open(call.service, call.claim.partition);
    const remainingMs = work.deadlineAtMs - this.#services.clock.monotonicMs();
    const result = await driver.claim(
      { claimId: attemptId, ...call.claim },
      Math.min(remainingMs, CLAIM_TIMEOUT_MS),
    );
    if (result.type === "granted") {
      work.driver = driver;
      if (work.phase !== "ended") return true;
      driver.abandon(attemptId);
      return false;
    }
    if (result.type === "replay") this.#replay(work, result.answer);
    else this.#refuse(work, result.kind);
    return false;
  }

  #replay(work: works.ActiveWork, answer: decisions.StoredAnswer): void {
    if (work.phase === "ended") return;
    if (answer.body === undefined) {
      this.#refuse(work, "already-run");
      return;
    }
    this.#recordEvent("gate.replayed", work);
    this.#markEnded(work);
    works.sendStoredAnswer(work, answer, answer.body);
  }

  #enqueue(work: works.ActiveWork): void {
    if (work.phase === "ended") return;
    if (this.#isLeaving) {
      this.#refuse(work, "leaving");
      return;
    }
    work.phase = "queued";
    const { isAccepted, evicted } = this.#queue.push(work);
    if (!isAccepted) this.#refuse(work, "account-over-share");
    for (const item of evicted) this.#refuse(item, "account-over-share");
    this.#dispatchQueued();
  }

  /** Queues the work held for an entry again if the entry has now checked the store. */
  releaseHeldWork(connection: mesh.MeshConnection): void {
    if (!this.#options.entries.isFresh(connection)) return;
    for (const work of this.#queue.removeHeld(connection)) this.#enqueue(work);
  }

  /** Whether work of a connection is waiting or running here. */
  isBusy(connection: mesh.MeshConnection): boolean {
    return [...this.#active.values()].some((work) =>
      work.connection === connection
    );
  }

  /** Refuses expired work even while no slot is free, so that its entry learns that it did not run. */
  #refuseExpired(): void {
    const nowMs = this.#services.clock.monotonicMs();
    for (const work of this.#queue.removeExpired(nowMs)) {
      this.#refuse(work, "deadline-before-run");
    }
  }

  /** Starts queued work while slots are free. */
  #dispatchQueued(): void {
    while (this.#running < this.#state.capacity) {
      const { work, expired } = this.#queue.pop(
        this.#services.clock.monotonicMs(),
      );
      for (const item of expired) this.#refuse(item, "deadline-before-run");
      if (work === undefined) return;
      if (this.#options.entries.isFresh(work.connection)) {
        void this.#reserveAndRun(work);
      } else this.#hold(work);
    }
  }

  #hold(work: works.ActiveWork): void {
    if (!this.#queue.hold(work)) return;
    this.#options.entries.ping(work.connection);
    this.#recordEvent("gate.held", work);
  }

  async #reserveAndRun(work: works.ActiveWork): Promise<void> {
    this.#running += 1;
    const startedAtMs = this.#services.clock.monotonicMs();
    if (await this.#reserve(work)) {
      await this.#run(work);
      const elapsedMs = this.#services.clock.monotonicMs() - startedAtMs;
      this.#serviceMs += (elapsedMs - this.#serviceMs) * SERVICE_EWMA_WEIGHT;
    }
    this.#running -= 1;
    this.#dispatchQueued();
  }

  /** Asks the entry to commit a call that must not be repeated; returns whether it may be run. */
  async #reserve(work: works.ActiveWork): Promise<boolean> {
    if (!work.frame.isTwoPhase) return true;
    const refusal = this.#check(work);
    if (refusal !== undefined) {
      this.#refuse(work, refusal);
      return false;
    }
    work.phase = "reserved";
    const commitReceived = new Promise<boolean>((resolve) => {
      work.onCommit = () => resolve(true);
      setTimeout(() => resolve(false), COMMIT_TIMEOUT_MS).unref();
    });
    work.connection.send({ type: "reserved", attemptId: work.frame.attemptId });
    if (await commitReceived) return true;
    this.#refuse(work, "deadline-before-run");
    return false;
  }

  async #run(work: works.ActiveWork): Promise<void> {
    const refusal = this.#check(work);
    if (refusal !== undefined || work.phase === "ended") {
      this.#refuse(work, refusal ?? "cancelled");
      return;
    }
    work.phase = "running";
    this.#handOvers += 1;
    this.#recordEvent("gate.handed-over", work);
    const remainingMs = work.deadlineAtMs - this.#services.clock.monotonicMs();
    const timer = setTimeout(() => this.#handleDeadline(work), remainingMs);
    const { frame } = work;
    const result = await this.#options.backend.run({
      requestId: frame.requestId,
      call: frame.call,
      body: frame.body,
      priority: frame.priority,
      signal: work.abort.signal,
      findRefusal: () =>
        this.#options.entries.isFresh(work.connection)
          ? this.#check(work)
          : "stale-configuration",
    }, work.sink);
    clearTimeout(timer);
    if (result.isOk()) this.#complete(work, result.value);
    else this.#handleRunFailure(work, result.error);
  }

  /** Reports that the deadline passed during the run. A two-phase call is not aborted. */
  #handleDeadline(work: works.ActiveWork): void {
    works.sendRefusal(work, "deadline-after-run", "the deadline passed");
    work.sink.close();
    if (!work.frame.isTwoPhase) work.abort.abort();
  }

  #complete(work: works.ActiveWork, usage: mesh.Usage): void {
    work.driver?.finish(work.frame.attemptId, work.sink.buildStoredAnswer());
    this.#recordEvent("gate.completed", work);
    work.sink.sendFinal(usage);
    this.#markEnded(work);
  }

  #handleRunFailure(work: works.ActiveWork, error: kernel.AppError): void {
    const { driver } = work;
    const { attemptId } = work.frame;
    const isUpstreamUnreached =
      kernel.findErrorResponse(error.kind).notRun === true;
    if (isUpstreamUnreached) driver?.abandon(attemptId);
    else driver?.markOutcomeUnknown(attemptId);
    const isOutcomeUnknown = work.frame.isTwoPhase && !isUpstreamUnreached;
    const kind = isOutcomeUnknown ? "outcome-unknown" : error.kind;
    this.#recordEvent("gate.failed", work, error.kind);
    works.sendRefusal(work, kind, error.message);
    this.#markEnded(work);
  }

  #refuse(work: works.ActiveWork, kind: kernel.ErrorKind): void {
    if (work.phase === "ended") return;
    work.driver?.abandon(work.frame.attemptId);
    this.#recordEvent("gate.refused", work, kind);
    works.sendRefusal(work, kind, works.describeRefusal(kind));
    this.#services.metrics.increment("gate.refused", { kind });
    this.#markEnded(work);
  }

  #markEnded(work: works.ActiveWork): void {
    work.phase = "ended";
    this.#active.delete(work.frame.attemptId);
  }

  #recordEvent(name: string, work: works.ActiveWork, detail?: string): void {
    const { revision } = this.#options.holder;
    this.#services.timeline.record(
      name,
      works.describeEvent(work, revision, detail),
    );
  }
}
