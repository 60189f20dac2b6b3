/**
 * Sends admitted requests to replicas: the choices of version and replica, the
 * budget of repeated sends, and what each attempt teaches.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as admissions from "./admission.ts";
import * as attempts from "./attempt.ts";
import type * as control from "./control_task.ts";
import type * as fleets from "./fleet.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as replicas from "./replica_table.ts";
import type * as requests from "./request.ts";
import type * as rollouts from "./rollout_task.ts";
import type * as sessions from "./sessions.ts";
import type * as telemetry from "./telemetry.ts";

/** Share of the retry slack that one process may use while none other has announced itself. */
const SOLE_PROCESS_SLACK_SHARE = 0.1;
/** First rank that the engines are asked for; a request that waited goes one before. */
const BASE_ENGINE_PRIORITY = 2;
const MAX_ENGINE_PRIORITY = 9;

/** What the dispatcher works with. */
export interface DispatcherDependencies {
  readonly clock: kernel.Clock;
  readonly codec: ports.MessageCodec;
  readonly settings: ports.RouterSettings;
  readonly control: control.ControlTask;
  readonly admission: admissions.Admission;
  readonly table: replicas.ReplicaTable;
  readonly rollouts: rollouts.RolloutTask;
  readonly fleet: fleets.Fleet;
  readonly sessions: sessions.SessionTable;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly random: () => number;
}

/** How to send. */
export interface SendOptions {
  readonly model: string | undefined;
  readonly lastEventId: string | undefined;
  readonly excluded: ReadonlySet<string>;
  /** Sends of this request before this one. */
  readonly earlierSends: number;
}

/** An attempt under way at a replica. */
export interface SentAttempt {
  readonly attempt: attempts.Attempt;
  readonly state: replicas.ReplicaState;
  readonly sentAtMs: number;
  readonly cachedTokens: number;
  /** Time that reading the rest of the prompt is expected to take. */
  readonly prefillMs: number;
}

/** What an attempt that ran tells. */
export interface RunOutcome
  extends Pick<decisions.VersionOutcome, "model" | "result" | "paceMs"> {
  /** Time to the first byte; absent where none came. */
  readonly delayMs: number | undefined;
  /** This process was slow itself. */
  readonly isLagging: boolean;
}

/** Sends requests of one process. */
export class Dispatcher {
  readonly dependencies: DispatcherDependencies;
  readonly #retryWindowByService = new Map<string, decisions.SlidingRetryBudget>();
  readonly #paceByService = new Map<string, decisions.EngineLatencyTracker>();

  constructor(dependencies: DispatcherDependencies) {
    this.dependencies = dependencies;
  }

  get nowMs(): number {
    return this.dependencies.clock.monotonicMs();
  }

  /** Whether a repeated send would find budget, a current view and another replica. */
  canRetryElsewhere(
    request: requests.AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): boolean {
    if (!this.canRetry(request.service)) return false;
    if (
      this.dependencies.admission.checkConfigurationAge(request) !== undefined
    ) return false;
    const side = this.#chooseSide(request);
    const { table } = this.dependencies;
    return table.hasAvailable(request.service, {
      excluded,
      side,
      nowMs: this.nowMs,
    });
  }

  /** Sends a request to the best replica left. */
  send(
    request: requests.AdmittedRequest,
    options: SendOptions,
    listener: attempts.AttemptListener,
  ): neverthrow.Result<SentAttempt, admissions.Refusal> {
    const { table, codec, clock } = this.dependencies;
    const refusal = this.dependencies.admission.checkConfigurationAge(request);
    if (refusal !== undefined) return neverthrow.err(refusal);
    const nowMs = this.nowMs;
    const needsNewConnection = request.route.kind === "non-idempotent";
    const { fields, service } = request;
    const side = this.#chooseSide(request);
    const pace = this.getPace(service);
    const pick = table.pick({
      service,
      model: options.model,
      promptTokens: fields.promptTokens,
      prefillMsPerToken: pace.predictPrefillMs(options.model, 1),
      parts: fields.promptParts,
      excluded: options.excluded,
      needsNewConnection: needsNewConnection,
      side,
      nowMs,
    });
    const connection = pick?.state.pool.acquire(needsNewConnection);
    if (pick === undefined || connection === undefined) {
      return neverthrow.err(admissions.makeNoReplicaRefusal(service));
    }
    const { state } = pick;
    const remainingMs = request.deadlineAtMs - nowMs;
    const headers = codec.encodeReplicaRequest(fields, {
      deadlineMs: remainingMs,
      replicaId: state.entry.id,
      account: request.account?.name,
      model: options.model,
      enginePriority: this.#chooseEnginePriority(request, options),
      lastEventId: options.lastEventId,
    });
    this.#recordSend(service, options.earlierSends);
    const prefillMs = pace.predictPrefillMs(
      options.model,
      Math.max(0, fields.promptTokens - pick.cachedTokens),
    );
    table.recordSent(state, prefillMs);
    this.dependencies.fleet.recordSent(prefillMs);
    this.#recordSession(request, state.entry.version);
    const peerLoad = this.dependencies.fleet.readLoad(state.key);
    this.dependencies.log.addRoutine("attempt.sent", {
      requestId: request.requestId,
      route: request.route.name,
      account: request.account?.name,
      replica: state.entry.id,
      version: state.entry.version,
      model: options.model,
      earlierSends: options.earlierSends,
      promptTokens: fields.promptTokens,
      candidates: pick.candidates,
      cachedTokens: pick.cachedTokens,
      inFlight: state.inFlight,
      pendingMs: Math.round(state.pendingMs),
      peerPendingMs: Math.round(peerLoad.pendingMs),
      peerRunning: peerLoad.running,
      session: fields.session,
      rolloutTarget: side.target,
      tableRevision: this.dependencies.control.index?.table.revision,
      viewAgeMs: Math.round(this.dependencies.control.viewAgeMs),
      leftMs: Math.round(remainingMs),
    });
    const attempt = new attempts.Attempt(state.pool, connection, {
      method: request.method,
      path: request.target,
      headers,
      body: request.body,
    }, listener);
    return neverthrow.ok({
      attempt,
      state,
      sentAtMs: clock.monotonicMs(),
      cachedTokens: pick.cachedTokens,
      prefillMs,
    });
  }

  /** Whether a repeated send stays within a share of the service's budget. */
  canRetry(service: string, share = 1): boolean {
    const processes = this.dependencies.fleet.size;
    return this.#getRetryWindow(service).canSendExtra(this.nowMs, {
      share,
      slackShare: processes > 1 ? 1 / processes : SOLE_PROCESS_SLACK_SHARE,
    });
  }

  /** The pace of a service's engines. */
  getPace(service: string): decisions.EngineLatencyTracker {
    const existing = this.#paceByService.get(service);
    if (existing !== undefined) return existing;
    const pace = new decisions.EngineLatencyTracker();
    this.#paceByService.set(service, pace);
    return pace;
  }

  /** How short a service's engines are of capacity. */
  measurePressure(service: string): number {
    const { nowMs } = this;
    return decisions.combinePressure(
      this.getPace(service).pressure(nowMs),
      this.dependencies.table.measureOccupancy(service, nowMs),
    );
  }

  /** Time that prompts of all processes still take to be read at a replica. */
  measurePendingPrefillMs(state: replicas.ReplicaState): number {
    return state.pendingMs +
      this.dependencies.fleet.readLoad(state.key).pendingMs;
  }

  logAttempt(
    request: requests.AdmittedRequest,
    sent: SentAttempt,
    result: {
      readonly outcome: string;
      readonly reason?: string;
      readonly status?: number;
    },
  ): void {
    const { log, telemetry } = this.dependencies;
    telemetry.countAttempt(request.service, result.outcome);
    const fields = {
      requestId: request.requestId,
      replica: sent.state.entry.id,
      version: sent.state.entry.version,
      tookMs: Math.round(this.nowMs - sent.sentAtMs),
      ...result,
    };
    if (result.outcome === "whole") log.addRoutine("attempt.ended", fields);
    else log.addNotable("attempt.ended", fields);
  }

  /** Learns from an attempt that its replica did not run. */
  recordNotRun(sent: SentAttempt, reason: string): void {
    const { table } = this.dependencies;
    const { state } = sent;
    const { nowMs } = this;
    table.markBusy(state, nowMs);
    if (reason === "misdirected") table.markMisdirected(state, nowMs);
    if (!sent.attempt.isSent) state.health.recordNoAnswer(nowMs);
  }

  /** Learns of a replica, and of its version, from an attempt that ran. */
  recordRun(
    request: requests.AdmittedRequest,
    sent: SentAttempt,
    run: RunOutcome,
  ): void {
    const { nowMs } = this;
    const { entry, key, health } = sent.state;
    if (run.result === "lost") health.recordNoAnswer(nowMs);
    else if (run.result === "failed") health.recordFailedAnswer();
    else if (run.delayMs !== undefined) health.recordSuccess(run.delayMs);
    // Its pace would be that of this process, not of the replica.
    if (run.result === "whole" && run.isLagging) return;
    this.dependencies.rollouts.record({
      service: request.service,
      route: request.route.name,
      version: entry.version,
      replicaKey: key,
      model: run.model,
      result: run.result,
      paceMs: run.result === "whole" ? run.paceMs : undefined,
      sentAtMs: sent.sentAtMs,
      endedAtMs: nowMs,
    });
  }

  /** Other processes learn of sessions that would change sides at them. */
  #recordSession(request: requests.AdmittedRequest, version: string): void {
    const { service, fields, fraction } = request;
    const { session } = fields;
    if (session === undefined) return;
    const { sessions, rollouts, fleet } = this.dependencies;
    sessions.record(service, session, version, this.nowMs);
    if (rollouts.shouldShare(service, version, fraction)) {
      fleet.shareSession({ service, session, version });
    }
  }

  /** Which versions of its service a request may run on. */
  #chooseSide(request: requests.AdmittedRequest): decisions.VersionPreference {
    const { service, fields, fraction } = request;
    const version = fields.session === undefined
      ? undefined
      : this.dependencies.sessions.find(service, fields.session, this.nowMs);
    return this.dependencies.rollouts.chooseSide(service, {
      version,
      fraction,
    });
  }

  #chooseEnginePriority(
    request: requests.AdmittedRequest,
    options: SendOptions,
  ): number | undefined {
    if (options.model === undefined) return undefined;
    const priority = request.account?.priority ?? request.route.priority;
    const retryBoost = options.earlierSends > 0 ? 1 : 0;
    return Math.max(
      0,
      Math.min(
        MAX_ENGINE_PRIORITY,
        BASE_ENGINE_PRIORITY + priority - retryBoost,
      ),
    );
  }

  #recordSend(service: string, earlierSends: number): void {
    const window = this.#getRetryWindow(service);
    if (earlierSends === 0) window.recordRequest(this.nowMs);
    else window.recordExtraSend(this.nowMs);
  }

  #getRetryWindow(service: string): decisions.SlidingRetryBudget {
    const existing = this.#retryWindowByService.get(service);
    if (existing !== undefined) return existing;
    const { retryWindowMs, retryRatio, retrySlack } =
      this.dependencies.settings;
    const window = new decisions.SlidingRetryBudget({
      windowMs: retryWindowMs,
      ratio: retryRatio,
      slack: retrySlack,
    });
    this.#retryWindowByService.set(service, window);
    return window;
  }
}
