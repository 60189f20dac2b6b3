/**
 * The last gate beside one upstream: queues work fairly, checks it at the
 * moment of hand-over, runs it, and answers for what was and was not run.
 */
import type * as config from "@jackdawbank/config";
import type * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import type * as backends from "./backend.ts";
import * as claimTasks from "./claim_tasks.ts";
import * as works from "./gate_work.ts";
import type * as peerTasks from "./entry_tracker.ts";
import * as waiting from "./waiting_work.ts";

const CLAIM_TIMEOUT_MS = 3_000;
const COMMIT_TIMEOUT_MS = 2_000;
const REVISION_WAIT_MS = 1_000;
/**
 * Work waits while what its entry knew of the store is older than this, so that
 * a withdrawal keeps its bound of 4 s also for whoever was paused or cut off.
 */
const MAX_KNOWLEDGE_AGE_MS = 3_500;
const CONFIRM_TIMEOUT_MS = 400;
const IDLE_CHECK_MS = 20;
const SERVICE_TIME_WEIGHT = 0.1;
const FIRST_SERVICE_MS = 100;

/** What the gate needs from its process. */
export interface GateOptions {
  readonly holder: config.BundleHolder;
  readonly peers: peerTasks.EntryTracker;
  readonly backend: backends.Backend;
  readonly store: stores.Store;
  readonly type: "model" | "service";
}

/** Task that owns the queue, the slots and the claim journals. */
export class Gate {
  readonly #services: kernel.KernelServices;
  readonly #options: GateOptions;
  readonly #active = new Map<string, works.ActiveWork>();
  readonly #claims: claimTasks.ClaimTasks;
  readonly #waiting = new waiting.WaitingWork();
  #state: backends.BackendState = { serves: [], capacity: 0 };
  #running = 0;
  #serviceMs = FIRST_SERVICE_MS;
  #isLeaving = false;
  #handOvers = 0;

  constructor(services: kernel.KernelServices, options: GateOptions) {
    this.#services = services;
    this.#options = options;
    this.#claims = new claimTasks.ClaimTasks(services, options);
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  get isIdle(): boolean {
    return this.#active.size === 0;
  }

  get handOvers(): number {
    return this.#handOvers;
  }

  /** Store writes made for claims. */
  get claimWrites(): number {
    return this.#claims.writes;
  }

  buildStatus(dataCentre: string): mesh.UpstreamStatus {
    return {
      type: this.#options.type,
      serves: this.#state.serves,
      capacity: this.#state.capacity,
      running: this.#running,
      queued: this.#waiting.queued,
      serviceMs: this.#serviceMs,
      isLeaving: this.#isLeaving,
      dataCentre,
    };
  }

  /** Takes a new report of the upstream; tells whether what it serves changed. */
  replaceState(state: backends.BackendState): boolean {
    const isChanged = state.capacity !== this.#state.capacity ||
      state.serves.join() !== this.#state.serves.join();
    this.#state = state;
    if (isChanged) this.#waiting.resize(state.capacity);
    this.#pump();
    return isChanged;
  }

  /** Closes the gate: what waits is refused, what runs goes on. */
  startLeaving(reason: string): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.#services.timeline.record("gate.leaving", { detail: reason });
    for (const work of this.#waiting.removeAll()) this.#refuse(work, "leaving");
  }

  /** Waits until nothing runs, or the time is over. */
  async waitIdle(timeoutMs: number): Promise<boolean> {
    const endAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (!this.isIdle && this.#services.clock.monotonicMs() < endAtMs) {
      await kernel.sleep(IDLE_CHECK_MS);
    }
    await this.#claims.flush(CLAIM_TIMEOUT_MS);
    return this.isIdle;
  }

  close(): void {
    for (const work of this.#active.values()) work.abort.abort();
    this.#claims.close();
  }

  /** Takes a work frame from an entry. */
  async handleWork(
    connection: mesh.MeshConnection,
    frame: mesh.FrameOf<"work">,
  ): Promise<void> {
    const work = this.#openWork(connection, frame);
    if (!await this.#alignRevision(work)) return;
    const refusal = await this.#checkFresh(work);
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

  /** The entry no longer wants the answer. A call that was committed runs on. */
  cancel(attemptId: string): void {
    const work = this.#active.get(attemptId);
    if (work === undefined) return;
    if (work.phase === "running") {
      if (!work.frame.isTwoPhase) work.abort.abort();
      work.sink.close();
      return;
    }
    this.#waiting.remove(work);
    this.#refuse(work, "cancelled");
  }

  /** An entry's connection closed. */
  handleConnectionClosed(connection: mesh.MeshConnection): void {
    this.#waiting.takeHeld(connection);
    for (const work of [...this.#active.values()]) {
      if (work.connection === connection) this.cancel(work.frame.attemptId);
    }
  }

  #openWork(
    connection: mesh.MeshConnection,
    frame: mesh.FrameOf<"work">,
  ): works.ActiveWork {
    const nowMs = this.#services.clock.monotonicMs();
    const work = works.openWork(connection, frame, nowMs);
    this.#active.set(frame.attemptId, work);
    return work;
  }

  /** The effective revision is the higher of the two. */
  async #alignRevision(work: works.ActiveWork): Promise<boolean> {
    const { holder, peers } = this.#options;
    const theirs = work.frame.revision;
    peers.distributor.reconcile(work.connection, theirs);
    if (theirs <= holder.revision) return true;
    if (await peers.waitForRevision(theirs, REVISION_WAIT_MS)) return true;
    this.#refuse(work, "stale-configuration");
    return false;
  }

  /** Before a stale view refuses work, the entries are asked once. */
  async #checkFresh(
    work: works.ActiveWork,
  ): Promise<kernel.ErrorKind | undefined> {
    const refusal = this.#check(work);
    if (refusal !== "stale-configuration") return refusal;
    await this.#options.peers.pingAllAndWait(CONFIRM_TIMEOUT_MS);
    return this.#check(work);
  }

  #check(work: works.ActiveWork): kernel.ErrorKind | undefined {
    return works.checkWork(work, {
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
    const task = this.#claims.open(call.service, call.claim.partition);
    const leftMs = work.deadlineAtMs - this.#services.clock.monotonicMs();
    const result = await task.claim(
      { claimId: attemptId, ...call.claim },
      Math.min(leftMs, CLAIM_TIMEOUT_MS),
    );
    if (result.type === "granted") {
      work.claimTask = task;
      if (work.phase !== "ended") return true;
      task.abandon(attemptId);
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
    this.#record("gate.replayed", work);
    this.#end(work);
    works.sendKeptAnswer(work, answer, answer.body);
  }

  #enqueue(work: works.ActiveWork): void {
    if (work.phase === "ended") return;
    if (this.#isLeaving) {
      this.#refuse(work, "leaving");
      return;
    }
    work.phase = "queued";
    const { isAccepted, evicted } = this.#waiting.push(work);
    if (!isAccepted) this.#refuse(work, "account-over-share");
    for (const other of evicted) this.#refuse(other, "account-over-share");
    this.#pump();
  }

  /** An entry has answered: what waited for it goes back to the queue. */
  releaseHeldWork(connection: mesh.MeshConnection): void {
    if (!this.#isEntryCurrent(connection)) return;
    for (const work of this.#waiting.takeHeld(connection)) this.#enqueue(work);
  }

  /** Whether work of a connection waits or runs here. */
  isBusy(connection: mesh.MeshConnection): boolean {
    return [...this.#active.values()].some((work) =>
      work.connection === connection
    );
  }

  /** Hands work over while slots are free. */
  #pump(): void {
    while (this.#running < this.#state.capacity) {
      const { work, expired } = this.#waiting.pop(
        this.#services.clock.monotonicMs(),
      );
      for (const late of expired) this.#refuse(late, "deadline-before-run");
      if (work === undefined) return;
      if (this.#isEntryCurrent(work.connection)) void this.#serve(work);
      else this.#hold(work);
    }
  }

  /**
   * After a pause, or behind a partition, a bundle may have been missed here or
   * at the entry, and nobody may be left to take the answer.
   */
  #isEntryCurrent(connection: mesh.MeshConnection): boolean {
    return this.#options.peers.readStoreCheckAgeMs(connection) <=
      MAX_KNOWLEDGE_AGE_MS;
  }

  #hold(work: works.ActiveWork): void {
    if (!this.#waiting.hold(work)) return;
    this.#options.peers.ping(work.connection);
    this.#record("gate.held", work);
  }

  async #serve(work: works.ActiveWork): Promise<void> {
    this.#running += 1;
    const startedAtMs = this.#services.clock.monotonicMs();
    if (await this.#reserve(work)) {
      await this.#run(work);
      const tookMs = this.#services.clock.monotonicMs() - startedAtMs;
      this.#serviceMs += (tookMs - this.#serviceMs) * SERVICE_TIME_WEIGHT;
    }
    this.#running -= 1;
    this.#pump();
  }

  /** For a call that may not be repeated: nothing runs before the entry commits. */
  async #reserve(work: works.ActiveWork): Promise<boolean> {
    if (!work.frame.isTwoPhase) return true;
    const refusal = this.#check(work);
    if (refusal !== undefined) {
      this.#refuse(work, refusal);
      return false;
    }
    work.phase = "reserved";
    const committed = new Promise<boolean>((resolve) => {
      work.onCommit = () => resolve(true);
      setTimeout(() => resolve(false), COMMIT_TIMEOUT_MS).unref();
    });
    work.connection.send({ type: "reserved", attemptId: work.frame.attemptId });
    if (await committed) return true;
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
    this.#record("gate.handed-over", work);
    const leftMs = work.deadlineAtMs - this.#services.clock.monotonicMs();
    const timer = setTimeout(() => this.#overrun(work), leftMs);
    const { frame } = work;
    const result = await this.#options.backend.run({
      requestId: frame.requestId,
      call: frame.call,
      body: frame.body,
      priority: frame.priority,
      signal: work.abort.signal,
    }, work.sink);
    clearTimeout(timer);
    if (result.isOk()) this.#complete(work, result.value);
    else this.#failRun(work, result.error);
  }

  /** The deadline passed in mid-run: the caller is told, a committed call runs on. */
  #overrun(work: works.ActiveWork): void {
    works.sendRefusal(work, "deadline-after-run", "the deadline passed");
    work.sink.close();
    if (!work.frame.isTwoPhase) work.abort.abort();
  }

  #complete(work: works.ActiveWork, usage: mesh.Usage): void {
    work.claimTask?.finish(work.frame.attemptId, work.sink.buildKeptAnswer());
    this.#record("gate.completed", work);
    work.sink.sendFinal(usage);
    this.#end(work);
  }

  #failRun(work: works.ActiveWork, error: kernel.AppError): void {
    const { claimTask } = work;
    const { attemptId } = work.frame;
    const isUnreached = error.kind === "upstream-unreachable";
    if (isUnreached) claimTask?.abandon(attemptId);
    else claimTask?.markOutcomeUnknown(attemptId);
    const isLost = work.frame.isTwoPhase && !isUnreached;
    const kind = isLost ? "outcome-unknown" : error.kind;
    this.#record("gate.failed", work, error.kind);
    works.sendRefusal(work, kind, error.message);
    this.#end(work);
  }

  #refuse(work: works.ActiveWork, kind: kernel.ErrorKind): void {
    if (work.phase === "ended") return;
    work.claimTask?.abandon(work.frame.attemptId);
    this.#record("gate.refused", work, kind);
    works.sendRefusal(work, kind, works.describeRefusal(kind));
    this.#services.metrics.increment("gate.refused", { kind });
    this.#end(work);
  }

  #end(work: works.ActiveWork): void {
    work.phase = "ended";
    this.#active.delete(work.frame.attemptId);
  }

  #record(name: string, work: works.ActiveWork, detail?: string): void {
    const { requestId, attemptId, account, call } = work.frame;
    const target = works.nameTarget(call);
    this.#services.timeline.record(name, {
      requestId,
      attemptId,
      account,
      target,
      revision: this.#options.holder.revision,
      ...(detail === undefined ? {} : { detail }),
    });
  }
}
