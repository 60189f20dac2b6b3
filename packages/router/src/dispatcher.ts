/**
 * Sends admitted requests to replicas: chooses the version and the replica,
 * enforces the retry budget and records the result of each attempt.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as peers from "@jackdawbank/peers";
import * as neverthrow from "neverthrow";
import * as admissions from "./admission.ts";
import * as attempts from "./attempt.ts";
import type * as control from "./control_task.ts";
import type * as fleets from "./fleet.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as quarantines from "./prompt_quarantine.ts";
import type * as replicas from "./replica_table.ts";
import type * as requests from "./request.ts";
import type * as rollouts from "./rollout_task.ts";
import type * as sends from "./send.ts";
import type * as sessions from "./sessions.ts";
import type * as telemetry from "./telemetry.ts";

/** Share of the retry slack that a process uses while it knows no peers. */
const SOLE_PROCESS_SLACK_SHARE = 0.1;
/** Engine priority of the most urgent requests; retries are scheduled one level ahead. */
const BASE_ENGINE_PRIORITY = 2;
const MAX_ENGINE_PRIORITY = 9;

/** Status of a refusal that may ask for a pause. */
const UNAVAILABLE = 503;
/** Status of another replica, which has the address now. */
const MISDIRECTED = 421;
/** Interval at which the evidence about a plain service's replica is asked for. */
const EVIDENCE_QUERY_INTERVAL_MS = 1_000;
/** Interval at which the load of a replica is asked for while a stream waits there for long. */
const STALL_QUERY_INTERVAL_MS = 200;

/** Dependencies of the dispatcher. */
export interface DispatcherDependencies {
  readonly clock: kernel.Clock;
  readonly codec: ports.MessageCodec;
  readonly settings: ports.RouterSettings;
  readonly control: control.ControlTask;
  readonly admission: admissions.Admission;
  readonly table: replicas.ReplicaTable;
  readonly rollouts: rollouts.RolloutTask;
  readonly quarantine: quarantines.PromptQuarantine;
  readonly fleet: fleets.Fleet;
  readonly sessions: sessions.SessionTable;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly random: () => number;
}

/** Sends the requests of one process. */
export class Dispatcher {
  readonly dependencies: DispatcherDependencies;
  readonly #retryBudgetByService = new Map<
    string,
    decisions.SlidingRetryBudget
  >();
  readonly #latencyTrackerByService = new Map<
    string,
    decisions.EngineLatencyTracker
  >();

  constructor(dependencies: DispatcherDependencies) {
    this.dependencies = dependencies;
  }

  get nowMs(): number {
    return this.dependencies.clock.monotonicMs();
  }

  /** Whether the retry budget, the configuration's age and the other replicas permit a retry. */
  canReroute(
    request: requests.AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): boolean {
    if (!this.canRetry(request.service)) return false;
    if (this.#findRefusal(request) !== undefined) return false;
    const versionPreference = this.#chooseVersionPreference(request);
    const { table } = this.dependencies;
    return table.hasAvailable(request.service, {
      excluded,
      versionPreference,
      nowMs: this.nowMs,
    });
  }

  /**
   * Asks for the loads of the replicas that the request would best be sent to;
   * resolves with the keys of those that are known. It takes about a round trip
   * between processes for a prompt, and no time for a plain request.
   */
  async queryLoads(
    request: requests.AdmittedRequest,
    options: Omit<sends.SendOptions, "queriedKeys">,
  ): Promise<ReadonlySet<number>> {
    const { table, fleet } = this.dependencies;
    const keys = table.listQueryKeys(this.#buildPlacement(request, options));
    if (request.fields.promptTokens > 0) {
      return new Set(await fleet.queryLoads(keys));
    }
    // A plain request would wait longer for the answers than it gains by them: they
    // serve the next ones, which learn from them which replicas are slow or fail.
    for (const key of keys) {
      fleet.keepLoadFresh(key, EVIDENCE_QUERY_INTERVAL_MS);
    }
    return new Set(keys);
  }

  /** Sends a request to the best replica that is not excluded. */
  send(
    request: requests.AdmittedRequest,
    options: sends.SendOptions,
    listener: attempts.AttemptListener,
  ): neverthrow.Result<sends.SentAttempt, admissions.Refusal> {
    const { table, codec, clock } = this.dependencies;
    const refusal = this.#findRefusal(request);
    if (refusal !== undefined) return neverthrow.err(refusal);
    const { fields, service } = request;
    const latencyTracker = this.getLatencyTracker(service);
    const placement = this.#buildPlacement(request, options);
    const { needsNewConnection, versionPreference, nowMs } = placement;
    const pick = table.pick({ ...placement, queriedKeys: options.queriedKeys });
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
    this.#recordInRetryBudget(service, options.earlierSends);
    const prefillMs = latencyTracker.predictPrefillMs(
      options.model,
      Math.max(0, fields.promptTokens - pick.cachedTokens),
    );
    const peerLoad = this.dependencies.fleet.readLoad(state.key);
    const queuedMs = state.pendingMs + peerLoad.pendingMs;
    table.recordSent(state, prefillMs);
    this.#recordSession(request, state.entry.version);
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
      rolloutTarget: versionPreference.target,
      tableRevision: this.dependencies.control.routeIndex?.table.revision,
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
      queuedMs,
    });
  }

  /** Whether a retry stays within a share of the service's retry budget. */
  canRetry(service: string, share = 1): boolean {
    const processes = this.dependencies.fleet.size;
    return this.#getRetryBudget(service).canSendExtra(this.nowMs, {
      share,
      slackShare: processes > 1 ? 1 / processes : SOLE_PROCESS_SLACK_SHARE,
    });
  }

  getLatencyTracker(service: string): decisions.EngineLatencyTracker {
    const existing = this.#latencyTrackerByService.get(service);
    if (existing !== undefined) return existing;
    const latencyTracker = new decisions.EngineLatencyTracker();
    this.#latencyTrackerByService.set(service, latencyTracker);
    return latencyTracker;
  }

  /** Shortage of engine capacity for a service; see `combinePressure`. */
  measurePressure(service: string): number {
    const { nowMs } = this;
    return decisions.combinePressure(
      this.getLatencyTracker(service).pressure(nowMs),
      this.dependencies.table.measureOccupancy(service, nowMs),
    );
  }

  /** What all processes together know of a replica at which a request waits. */
  observeReplica(state: replicas.ReplicaState, sinceMs: number): {
    /** Predicted prefill time of the pending prompts. */
    readonly pendingPrefillMs: number;
    /** Time for which no process has received a byte from it, at most since `sinceMs`. */
    readonly silentMs: number;
  } {
    const { fleet } = this.dependencies;
    const { nowMs } = this;
    fleet.keepLoadFresh(state.key, STALL_QUERY_INTERVAL_MS);
    const others = fleet.readLoad(state.key);
    const ownSilentMs = nowMs - Math.max(state.lastByteAtMs, sinceMs);
    // Others may have received a byte since they last told the owner.
    const othersSilentMs = Math.max(
      0,
      others.silentMs - peers.REFRESH_INTERVAL_MS,
    );
    return {
      pendingPrefillMs: state.pendingMs + others.pendingMs,
      silentMs: others.running > 0
        ? Math.min(ownSilentMs, othersSilentMs)
        : ownSilentMs,
    };
  }

  logAttempt(
    request: requests.AdmittedRequest,
    sent: sends.SentAttempt,
    result: {
      readonly outcome: string;
      readonly reason?: string;
      readonly status?: number;
      /** Complete events of a stream. */
      readonly events?: number;
      /** Time from the send to the head of the response. */
      readonly headMs?: number | undefined;
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
    else {
      const promptParts = request.fields.promptParts.map(({ id }) => id);
      log.addNotable("attempt.ended", {
        ...fields,
        ...(promptParts.length === 0 ? {} : { promptParts }),
      });
    }
  }

  /** Records what a replica demands in the head of its answer to an attempt. */
  recordDemands(
    request: requests.AdmittedRequest,
    sent: sends.SentAttempt,
    head: attempts.ResponseHead,
    response: ports.ResponseFields,
  ): void {
    const isOwnAnswer = response.attemptId !== undefined &&
      response.attemptId === request.fields.attemptId;
    if (!isOwnAnswer || head.status === MISDIRECTED) return;
    const { entry, demands } = sent.state;
    const { nowMs } = this;
    // With other statuses the header speaks of the request, not of the replica.
    const pauseMs = head.status === UNAVAILABLE
      ? response.demands.pauseMs
      : undefined;
    const isChanged = demands.record({ ...response.demands, pauseMs }, {
      sentAtMs: sent.sentAtMs,
      nowMs,
    });
    if (!isChanged) return;
    const { log, telemetry } = this.dependencies;
    telemetry.countEvent("replica.demands");
    log.addNotable("replica.demands", {
      replica: entry.id,
      service: entry.service,
      status: head.status,
      requestsPerS: demands.rate,
      isLeaving: demands.isLeaving,
      pausedMs: Math.max(0, Math.round(demands.pausedUntilMs - nowMs)),
    });
  }

  /** Records an attempt that its replica did not run. */
  recordNotRun(sent: sends.SentAttempt, reason: string): void {
    const { table } = this.dependencies;
    const { state } = sent;
    const { nowMs } = this;
    table.markBusy(state, nowMs);
    if (reason === "misdirected") table.markMisdirected(state, nowMs);
    if (!sent.attempt.isSent) state.health.recordNoAnswer(nowMs);
  }

  /** Records an attempt that ran: updates its replica's health and the evidence on its version. */
  recordRun(
    request: requests.AdmittedRequest,
    sent: sends.SentAttempt,
    run: sends.RunOutcome,
  ): void {
    const { nowMs } = this;
    const { entry, key, health, evidence } = sent.state;
    if (run.result === "lost") health.recordNoAnswer(nowMs);
    else if (run.result === "failed") health.recordFailedAnswer();
    else if (run.latencyMs !== undefined) health.recordSuccess(run.latencyMs);
    if (run.result !== "whole") evidence.recordFailure(nowMs);
    else if (run.latencyMs !== undefined) {
      evidence.recordSuccess(run.latencyMs, nowMs);
    }
    // The measured pace would reflect the lag of this process, not the replica.
    if (run.result === "whole" && (run.isLagging || run.isPaceJudged)) return;
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

  /** Why a request must not be sent now, whatever the replicas are. */
  #findRefusal(
    request: requests.AdmittedRequest,
  ): admissions.Refusal | undefined {
    if (request.signal.aborted) return admissions.CALLER_GONE_REFUSAL;
    const { admission, quarantine } = this.dependencies;
    return admission.checkConfigurationAge(request) ??
      quarantine.check(request);
  }

  #buildPlacement(
    request: requests.AdmittedRequest,
    options: Pick<sends.SendOptions, "model" | "excluded">,
  ): replicas.PlacementRequest {
    const { fields, service, route } = request;
    return {
      service,
      model: options.model,
      promptTokens: fields.promptTokens,
      prefillMsPerToken: this.getLatencyTracker(service).predictPrefillMs(
        options.model,
        1,
      ),
      parts: fields.promptParts,
      excluded: options.excluded,
      needsNewConnection: route.kind === "non-idempotent",
      versionPreference: this.#chooseVersionPreference(request),
      nowMs: this.nowMs,
    };
  }

  /** Records a session's version and tells peers that would choose another one. */
  #recordSession(request: requests.AdmittedRequest, version: string): void {
    const { service, fields, versionFraction } = request;
    const { session } = fields;
    if (session === undefined) return;
    const { sessions, rollouts, fleet } = this.dependencies;
    sessions.record(service, session, version, this.nowMs);
    if (rollouts.shouldShare(service, version, versionFraction)) {
      fleet.shareSession({ service, session, version });
    }
  }

  #chooseVersionPreference(
    request: requests.AdmittedRequest,
  ): decisions.VersionPreference {
    const { service, fields, versionFraction } = request;
    const version = fields.session === undefined
      ? undefined
      : this.dependencies.sessions.find(service, fields.session, this.nowMs);
    return this.dependencies.rollouts.chooseVersionPreference(service, {
      version,
      fraction: versionFraction,
    });
  }

  #chooseEnginePriority(
    request: requests.AdmittedRequest,
    options: sends.SendOptions,
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

  #recordInRetryBudget(service: string, earlierSends: number): void {
    const budget = this.#getRetryBudget(service);
    if (earlierSends === 0) budget.recordRequest(this.nowMs);
    else budget.recordExtraSend(this.nowMs);
  }

  #getRetryBudget(service: string): decisions.SlidingRetryBudget {
    const existing = this.#retryBudgetByService.get(service);
    if (existing !== undefined) return existing;
    const { retryWindowMs, retryRatio, retrySlack } =
      this.dependencies.settings;
    const budget = new decisions.SlidingRetryBudget({
      windowMs: retryWindowMs,
      ratio: retryRatio,
      slack: retrySlack,
    });
    this.#retryBudgetByService.set(service, budget);
    return budget;
  }
}
