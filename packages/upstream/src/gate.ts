/**
 * The last gate beside one upstream: queues work fairly, checks it at the
 * moment of hand-over, runs it, and answers for what was and was not run.
 */
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import type * as backends from "./backend.ts";
import * as claimTasks from "./claim_task.ts";
import type * as peerTasks from "./peers.ts";
import * as sinks from "./sink.ts";

const QUEUE_PER_SLOT = 8;
const MIN_QUEUE_ITEMS = 8;
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

/** Messages of refusals that need more than "not handed over". */
const REFUSAL_MESSAGES: Partial<Record<kernel.ErrorKind, string>> = {
  "key-reused": "this idempotency key was used with another request",
  "key-in-flight": "a request with this idempotency key is still running",
  "already-run":
    "the request with this idempotency key has run; its answer is no longer held",
  "outcome-unknown":
    "a request with this idempotency key may have run; its end is not known",
  "claim-unavailable":
    "the idempotency key could not be claimed; nothing was handed over",
  "account-over-share": "the queue is full and this account is over its share",
};
const NOT_HANDED_OVER = "refused before any byte went to the upstream";

/** Work between its arrival and its end. */
interface ActiveWork {
  readonly frame: mesh.FrameOf<"work">;
  readonly connection: mesh.MeshConnection;
  readonly deadlineAtMs: number;
  readonly abort: AbortController;
  readonly sink: sinks.AttemptSink;
  phase: "claiming" | "queued" | "reserved" | "running" | "ended";
  claimTask: claimTasks.ClaimTask | undefined;
  onCommit: (() => void) | undefined;
}

/** What the gate needs from its process. */
export interface GateOptions {
  readonly holder: config.BundleHolder;
  readonly peers: peerTasks.Peers;
  readonly backend: backends.Backend;
  readonly store: stores.Store;
  readonly type: "model" | "service";
}

/** Task that owns the queue, the slots and the claim journals. */
export class Gate {
  readonly #services: kernel.KernelServices;
  readonly #options: GateOptions;
  readonly #active = new Map<string, ActiveWork>();
  /** Work that waits for its entry to answer a ping. */
  readonly #held = new Map<mesh.MeshConnection, ActiveWork[]>();
  readonly #claimTasks = new Map<string, claimTasks.ClaimTask>();
  #queue = new decisions.FairQueue<ActiveWork>(MIN_QUEUE_ITEMS);
  #state: backends.BackendState = { serves: [], capacity: 0 };
  #running = 0;
  #serviceMs = FIRST_SERVICE_MS;
  #isLeaving = false;
  #handOvers = 0;

  constructor(services: kernel.KernelServices, options: GateOptions) {
    this.#services = services;
    this.#options = options;
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
    let writes = 0;
    for (const task of this.#claimTasks.values()) writes += task.writes;
    return writes;
  }

  buildStatus(dataCentre: string): mesh.UpstreamStatus {
    return {
      type: this.#options.type,
      serves: this.#state.serves,
      capacity: this.#state.capacity,
      running: this.#running,
      queued: this.#queue.length,
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
    if (isChanged) this.#resizeQueue(state.capacity);
    this.#pump();
    return isChanged;
  }

  /** Closes the gate: what waits is refused, what runs goes on. */
  startLeaving(reason: string): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.#services.timeline.record("gate.leaving", { detail: reason });
    for (const item of this.#queue.remove(() => true)) {
      this.#refuse(item.value, "leaving");
    }
    for (const works of this.#held.values()) {
      for (const work of works) this.#refuse(work, "leaving");
    }
    this.#held.clear();
  }

  /** Waits until nothing runs, or the time is over. */
  async waitIdle(timeoutMs: number): Promise<boolean> {
    const endAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (!this.isIdle && this.#services.clock.monotonicMs() < endAtMs) {
      await kernel.sleep(IDLE_CHECK_MS);
    }
    for (const task of this.#claimTasks.values()) {
      await task.flush(CLAIM_TIMEOUT_MS);
    }
    return this.isIdle;
  }

  close(): void {
    for (const work of this.#active.values()) work.abort.abort();
    for (const task of this.#claimTasks.values()) task.close();
  }

  /** Takes a work frame from an entry. */
  async takeWork(
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

  takeCommit(attemptId: string): void {
    const work = this.#active.get(attemptId);
    work?.onCommit?.();
  }

  takeCredit(attemptId: string, frames: number): void {
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
    this.#queue.remove((other) => other === work);
    this.#refuse(work, "cancelled");
  }

  /** An entry's connection closed. */
  dropConnection(connection: mesh.MeshConnection): void {
    this.#held.delete(connection);
    for (const work of [...this.#active.values()]) {
      if (work.connection === connection) this.cancel(work.frame.attemptId);
    }
  }

  #openWork(
    connection: mesh.MeshConnection,
    frame: mesh.FrameOf<"work">,
  ): ActiveWork {
    const work: ActiveWork = {
      frame,
      connection,
      deadlineAtMs: this.#services.clock.monotonicMs() + frame.deadlineInMs,
      abort: new AbortController(),
      sink: new sinks.AttemptSink(connection, frame.attemptId),
      phase: "claiming",
      claimTask: undefined,
      onCommit: undefined,
    };
    this.#active.set(frame.attemptId, work);
    return work;
  }

  /** The effective revision is the higher of the two. */
  async #alignRevision(work: ActiveWork): Promise<boolean> {
    const { holder, peers } = this.#options;
    const theirs = work.frame.revision;
    peers.spreader.compare(work.connection, theirs);
    if (theirs <= holder.revision) return true;
    if (await peers.waitForRevision(theirs, REVISION_WAIT_MS)) return true;
    this.#refuse(work, "stale-configuration");
    return false;
  }

  /** Before a stale view refuses work, the entries are asked once. */
  async #checkFresh(work: ActiveWork): Promise<kernel.ErrorKind | undefined> {
    const refusal = this.#check(work);
    if (refusal !== "stale-configuration") return refusal;
    await this.#options.peers.confirmNow(CONFIRM_TIMEOUT_MS);
    return this.#check(work);
  }

  #check(work: ActiveWork): kernel.ErrorKind | undefined {
    const { call, account } = work.frame;
    const { deadlineAtMs } = work;
    const view: decisions.GateView = {
      index: this.#options.holder.index,
      isLeaving: this.#isLeaving,
      confirmedAgeMs: this.#options.holder.stalenessMs,
      loaded: this.#state.serves,
      nowMs: this.#services.clock.monotonicMs(),
    };
    if (call.type === "service") {
      const { service } = call;
      if (!this.#state.serves.includes(service)) return "no-upstream";
      return decisions.refuseWork(view, {
        type: "service",
        account,
        service,
        deadlineAtMs,
      });
    }
    const { model, version } = call;
    return decisions.refuseWork(view, {
      type: "model",
      account,
      model,
      version,
      deadlineAtMs,
    });
  }

  async #claimIfNeeded(work: ActiveWork): Promise<boolean> {
    const { call, attemptId } = work.frame;
    if (call.type !== "service" || call.claim === undefined) return true;
    const task = this.#openClaimTask(call.service, call.claim.partition);
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

  #openClaimTask(service: string, partition: number): claimTasks.ClaimTask {
    const name = `${service}/${partition}`;
    const held = this.#claimTasks.get(name);
    if (held !== undefined) return held;
    const { holder, store } = this.#options;
    const settings = holder.index?.serviceByName.get(service);
    kernel.invariant(
      settings !== undefined,
      "claims are made for services of the bundle",
    );
    const task = new claimTasks.ClaimTask(this.#services, {
      store,
      journal: { service, partition },
      retentionMs: settings.keyRetentionMs,
    });
    this.#claimTasks.set(name, task);
    return task;
  }

  #replay(work: ActiveWork, answer: decisions.KeptAnswer): void {
    if (work.phase === "ended") return;
    if (answer.body === undefined) {
      this.#refuse(work, "already-run");
      return;
    }
    const { body } = answer;
    this.#record("gate.replayed", work);
    this.#end(work);
    work.sink.onHead(
      answer.status,
      { "content-type": answer.contentType },
      true,
    );
    const sent = body.byteLength === 0
      ? Promise.resolve()
      : work.sink.onChunk(body);
    void sent.then(() =>
      work.sink.sendFinal({ promptTokens: 0, completionTokens: 0 })
    );
  }

  #enqueue(work: ActiveWork): void {
    if (work.phase === "ended") return;
    if (this.#isLeaving) {
      this.#refuse(work, "leaving");
      return;
    }
    work.phase = "queued";
    const { account, shareWeight, priority } = work.frame;
    const outcome = this.#queue.push({
      account,
      weight: shareWeight,
      priority,
      deadlineAtMs: work.deadlineAtMs,
      value: work,
    });
    if (!outcome.isAccepted) this.#refuse(work, "account-over-share");
    for (const item of outcome.evicted) {
      this.#refuse(item.value, "account-over-share");
    }
    this.#pump();
  }

  #resizeQueue(capacity: number): void {
    const queue = new decisions.FairQueue<ActiveWork>(
      Math.max(MIN_QUEUE_ITEMS, capacity * QUEUE_PER_SLOT),
    );
    for (const item of this.#queue.remove(() => true)) queue.push(item);
    this.#queue = queue;
  }

  /** An entry has answered: what waited for it goes back to the queue. */
  noteHeard(connection: mesh.MeshConnection): void {
    const works = this.#held.get(connection);
    if (works === undefined || !this.#isEntryCurrent(connection)) return;
    this.#held.delete(connection);
    for (const work of works) {
      if (work.phase !== "ended") this.#enqueue(work);
    }
  }

  /** Whether work of a connection waits or runs here. */
  isBusy(connection: mesh.MeshConnection): boolean {
    for (const work of this.#active.values()) {
      if (work.connection === connection) return true;
    }
    return false;
  }

  /** Hands work over while slots are free. */
  #pump(): void {
    while (this.#running < this.#state.capacity) {
      const { item, expired } = this.#queue.pop(
        this.#services.clock.monotonicMs(),
      );
      for (const late of expired) {
        this.#refuse(late.value, "deadline-before-run");
      }
      if (item === undefined) return;
      if (this.#isEntryCurrent(item.value.connection)) {
        void this.#serve(item.value);
      } else this.#hold(item.value);
    }
  }

  /**
   * After a pause, or behind a partition, a bundle may have been missed here or
   * at the entry, and nobody may be left to take the answer.
   */
  #isEntryCurrent(connection: mesh.MeshConnection): boolean {
    return this.#options.peers.readKnowledgeAgeMs(connection) <=
      MAX_KNOWLEDGE_AGE_MS;
  }

  #hold(work: ActiveWork): void {
    const { connection } = work;
    const works = this.#held.get(connection);
    if (works !== undefined) {
      works.push(work);
      return;
    }
    this.#held.set(connection, [work]);
    this.#options.peers.ping(connection);
    this.#record("gate.held", work);
  }

  async #serve(work: ActiveWork): Promise<void> {
    this.#running += 1;
    const startedAtMs = this.#services.clock.monotonicMs();
    if (await this.#reserve(work)) {
      await this.#run(work);
      this.#learnServiceTime(this.#services.clock.monotonicMs() - startedAtMs);
    }
    this.#running -= 1;
    this.#pump();
  }

  /** For a call that may not be repeated: nothing runs before the entry commits. */
  async #reserve(work: ActiveWork): Promise<boolean> {
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

  async #run(work: ActiveWork): Promise<void> {
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
  #overrun(work: ActiveWork): void {
    const { attemptId } = work.frame;
    const kind: kernel.ErrorKind = "deadline-after-run";
    work.connection.send({
      type: "refused",
      attemptId,
      kind,
      message: "the deadline passed",
    });
    work.sink.close();
    if (!work.frame.isTwoPhase) work.abort.abort();
  }

  #complete(work: ActiveWork, usage: mesh.Usage): void {
    work.claimTask?.finish(work.frame.attemptId, work.sink.buildKeptAnswer());
    this.#record("gate.completed", work);
    work.sink.sendFinal(usage);
    this.#end(work);
  }

  #failRun(work: ActiveWork, error: kernel.AppError): void {
    const { claimTask } = work;
    const { attemptId } = work.frame;
    const isUnreached = error.kind === "upstream-unreachable";
    if (isUnreached) claimTask?.abandon(attemptId);
    else claimTask?.lose(attemptId);
    const isLost = work.frame.isTwoPhase && !isUnreached;
    const kind = isLost ? "outcome-unknown" : error.kind;
    this.#record("gate.failed", work, error.kind);
    work.connection.send({
      type: "refused",
      attemptId,
      kind,
      message: error.message,
    });
    this.#end(work);
  }

  #refuse(work: ActiveWork, kind: kernel.ErrorKind): void {
    if (work.phase === "ended") return;
    const { attemptId } = work.frame;
    work.claimTask?.abandon(attemptId);
    this.#record("gate.refused", work, kind);
    work.connection.send({
      type: "refused",
      attemptId,
      kind,
      message: REFUSAL_MESSAGES[kind] ?? NOT_HANDED_OVER,
    });
    this.#services.metrics.increment("gate.refused", { kind });
    this.#end(work);
  }

  #end(work: ActiveWork): void {
    work.phase = "ended";
    this.#active.delete(work.frame.attemptId);
  }

  #learnServiceTime(tookMs: number): void {
    this.#serviceMs += (tookMs - this.#serviceMs) * SERVICE_TIME_WEIGHT;
  }

  #record(name: string, work: ActiveWork, detail?: string): void {
    const { requestId, attemptId, account, call } = work.frame;
    const target = call.type === "model"
      ? `${call.model}@${call.version}`
      : call.service;
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
