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
const LONE_SLACK_SHARE = 0.1;
/** First rank that the engines are asked for; a request that waited goes one before. */
const ENGINE_RANK_BASE = 2;
const MAX_ENGINE_RANK = 9;

/** What the dispatcher works with. */
export interface DispatcherParts {
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
export interface Sent {
  readonly attempt: attempts.Attempt;
  readonly state: replicas.ReplicaState;
  readonly sentAtMs: number;
  readonly cachedTokens: number;
  /** Time that reading the rest of the prompt is expected to take. */
  readonly readMs: number;
}

/** What an attempt that ran tells. */
export interface AttemptRun
  extends Pick<decisions.VersionOutcome, "model" | "result" | "paceMs"> {
  /** Time to the first byte; absent where none came. */
  readonly delayMs: number | undefined;
  /** This process was slow itself. */
  readonly isLagging: boolean;
}

/** Sends requests of one process. */
export class Dispatcher {
  readonly parts: DispatcherParts;
  readonly #windows = new Map<string, decisions.SlidingRetryBudget>();
  readonly #paces = new Map<string, decisions.EngineLatencyTracker>();

  constructor(parts: DispatcherParts) {
    this.parts = parts;
  }

  get nowMs(): number {
    return this.parts.clock.monotonicMs();
  }

  /** Whether a repeated send would find budget, a current view and another replica. */
  canMove(
    request: requests.AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): boolean {
    if (!this.mayRepeat(request.service)) return false;
    if (this.parts.admission.checkFresh(request) !== undefined) return false;
    const side = this.#chooseSide(request);
    const { table } = this.parts;
    return table.hasSound(request.service, {
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
  ): neverthrow.Result<Sent, admissions.Refusal> {
    const { table, codec, clock } = this.parts;
    const stale = this.parts.admission.checkFresh(request);
    if (stale !== undefined) return neverthrow.err(stale);
    const nowMs = this.nowMs;
    const needsFresh = request.route.kind === "non-idempotent";
    const { fields, service } = request;
    const side = this.#chooseSide(request);
    const pace = this.pace(service);
    const pick = table.pick({
      service,
      model: options.model,
      promptTokens: fields.promptTokens,
      readMsPerToken: pace.predictPrefillMs(options.model, 1),
      parts: fields.promptParts,
      excluded: options.excluded,
      needsFresh,
      side,
      nowMs,
    });
    const connection = pick?.state.pool.take(needsFresh);
    if (pick === undefined || connection === undefined) {
      return neverthrow.err(admissions.refuseNoReplica(service));
    }
    const { state } = pick;
    const leftMs = request.deadlineAtMs - nowMs;
    const headers = codec.encodeReplicaRequest(fields, {
      deadlineMs: leftMs,
      replicaId: state.entry.id,
      account: request.account?.name,
      model: options.model,
      enginePriority: this.#rankForEngine(request, options),
      lastEventId: options.lastEventId,
    });
    this.#countSend(service, options.earlierSends);
    const readMs = pace.predictPrefillMs(
      options.model,
      Math.max(0, fields.promptTokens - pick.cachedTokens),
    );
    table.noteSent(state, readMs);
    this.parts.fleet.noteSent(readMs);
    this.#noteSession(request, state.entry.version);
    const peerLoad = this.parts.fleet.readLoad(state.key);
    this.parts.log.addRoutine("attempt.sent", {
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
      tableRevision: this.parts.control.index?.table.revision,
      viewAgeMs: Math.round(this.parts.control.ageMs),
      leftMs: Math.round(leftMs),
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
      readMs,
    });
  }

  /** Whether a repeated send stays within a share of the service's budget. */
  mayRepeat(service: string, share = 1): boolean {
    const processes = this.parts.fleet.size;
    return this.#window(service).canSendExtra(this.nowMs, {
      share,
      slackShare: processes > 1 ? 1 / processes : LONE_SLACK_SHARE,
    });
  }

  /** The pace of a service's engines. */
  pace(service: string): decisions.EngineLatencyTracker {
    const held = this.#paces.get(service);
    if (held !== undefined) return held;
    const pace = new decisions.EngineLatencyTracker();
    this.#paces.set(service, pace);
    return pace;
  }

  /** How short a service's engines are of capacity. */
  measurePressure(service: string): number {
    const { nowMs } = this;
    return decisions.combinePressure(
      this.pace(service).pressure(nowMs),
      this.parts.table.measureOccupancy(service, nowMs),
    );
  }

  /** Time that prompts of all processes still take to be read at a replica. */
  readPendingMs(state: replicas.ReplicaState): number {
    return state.pendingMs + this.parts.fleet.readLoad(state.key).pendingMs;
  }

  logAttempt(
    request: requests.AdmittedRequest,
    sent: Sent,
    result: {
      readonly outcome: string;
      readonly reason?: string;
      readonly status?: number;
    },
  ): void {
    const { log, telemetry } = this.parts;
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
  learnUnrun(sent: Sent, reason: string): void {
    const { table } = this.parts;
    const { state } = sent;
    const { nowMs } = this;
    table.noteBusy(state, nowMs);
    if (reason === "misdirected") table.noteMisdirected(state, nowMs);
    if (!sent.attempt.isSent) state.health.recordNoAnswer(nowMs);
  }

  /** Learns of a replica, and of its version, from an attempt that ran. */
  learnRun(
    request: requests.AdmittedRequest,
    sent: Sent,
    run: AttemptRun,
  ): void {
    const { nowMs } = this;
    const { entry, key, health } = sent.state;
    if (run.result === "lost") health.recordNoAnswer(nowMs);
    else if (run.result === "failed") health.recordFailedAnswer();
    else if (run.delayMs !== undefined) health.recordSuccess(run.delayMs);
    // Its pace would be that of this process, not of the replica.
    if (run.result === "whole" && run.isLagging) return;
    this.parts.rollouts.record({
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
  #noteSession(request: requests.AdmittedRequest, version: string): void {
    const { service, fields, fraction } = request;
    const { session } = fields;
    if (session === undefined) return;
    const { sessions, rollouts, fleet } = this.parts;
    sessions.note(service, session, version, this.nowMs);
    if (rollouts.mustShare(service, version, fraction)) {
      fleet.tellSession({ service, session, version });
    }
  }

  /** Which versions of its service a request may run on. */
  #chooseSide(request: requests.AdmittedRequest): decisions.VersionPreference {
    const { service, fields, fraction } = request;
    const version = fields.session === undefined
      ? undefined
      : this.parts.sessions.find(service, fields.session, this.nowMs);
    return this.parts.rollouts.chooseSide(service, { version, fraction });
  }

  #rankForEngine(
    request: requests.AdmittedRequest,
    options: SendOptions,
  ): number | undefined {
    if (options.model === undefined) return undefined;
    const rank = request.account?.priority ?? request.route.priority;
    const waited = options.earlierSends > 0 ? 1 : 0;
    return Math.max(
      0,
      Math.min(MAX_ENGINE_RANK, ENGINE_RANK_BASE + rank - waited),
    );
  }

  #countSend(service: string, earlierSends: number): void {
    const window = this.#window(service);
    if (earlierSends === 0) window.recordRequest(this.nowMs);
    else window.recordExtraSend(this.nowMs);
  }

  #window(service: string): decisions.SlidingRetryBudget {
    const held = this.#windows.get(service);
    if (held !== undefined) return held;
    const { retryWindowMs, retryRatio, retrySlack } = this.parts.settings;
    const window = new decisions.SlidingRetryBudget({
      windowMs: retryWindowMs,
      ratio: retryRatio,
      slack: retrySlack,
    });
    this.#windows.set(service, window);
    return window;
  }
}
