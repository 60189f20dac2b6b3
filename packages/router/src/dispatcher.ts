/**
 * Admits requests and sends them to replicas: the choices of version, model
 * and replica, the budget of repeated sends, and what each attempt teaches.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as bundles from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
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
/** A view older than this may lack routes and keys: they are not called unknown. */
const UNKNOWN_MAX_AGE_MS = 2_500;
/** First rank that the engines are asked for; a request that waited goes one before. */
const ENGINE_RANK_BASE = 2;
const MAX_ENGINE_RANK = 9;
/** What a caller whose request finds no replica should wait. */
const NO_REPLICA_RETRY_MS = 400;
const STALE_RETRY_MS = 500;

/** What the dispatcher works with. */
export interface DispatcherParts {
  readonly clock: kernel.Clock;
  readonly codec: ports.MessageCodec;
  readonly settings: ports.RouterSettings;
  readonly control: control.ControlTask;
  readonly table: replicas.ReplicaTable;
  readonly rollouts: rollouts.RolloutTask;
  readonly fleet: fleets.Fleet;
  readonly sessions: sessions.SessionTable;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly random: () => number;
}

/** A refusal with the delay after which the caller may come back. */
export interface Refusal {
  readonly error: kernel.AppError;
  readonly retryAfterMs?: number;
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

function refusal(
  kind: kernel.ErrorKind,
  message: string,
  retryAfterMs?: number,
): Refusal {
  const error = kernel.makeError(kind, message);
  return retryAfterMs === undefined ? { error } : { error, retryAfterMs };
}

/** Sends requests of one process. */
export class Dispatcher {
  readonly parts: DispatcherParts;
  readonly #windows = new Map<string, decisions.RetryWindow>();
  readonly #paces = new Map<string, decisions.EnginePace>();

  constructor(parts: DispatcherParts) {
    this.parts = parts;
  }

  get nowMs(): number {
    return this.parts.clock.monotonicMs();
  }

  /** Checks route, account and the age of what this process knows. */
  admit(
    request: requests.IncomingRequest,
  ): neverthrow.Result<requests.AdmittedRequest, Refusal> {
    const { control } = this.parts;
    const { index } = control;
    if (index === undefined || !control.hasRead) {
      return neverthrow.err(
        refusal("no-bundle", "no configuration is known yet", STALE_RETRY_MS),
      );
    }
    const path = request.target.split("?", 1)[0] as string;
    const route = bundles.findRoute(index, request.hostName, path);
    if (route === undefined) {
      return neverthrow.err(
        this.#refuseUnknown("not-found", "no route matches"),
      );
    }
    const account = this.#findAccount(index, route, request);
    if (account.isErr()) return neverthrow.err(account.error);
    const { fields } = request;
    const seed = fields.session ?? request.requestId;
    const fraction = decisions.hashFraction(seed);
    const service = chooseTarget(route, fraction);
    if (service === undefined) {
      return neverthrow.err(
        refusal("no-upstream", "the route has no service", NO_REPLICA_RETRY_MS),
      );
    }
    const waitMs = Math.min(route.timeoutMs, fields.deadlineMs ?? Infinity);
    return neverthrow.ok({
      ...request,
      route,
      service,
      account: account.value,
      deadlineAtMs: request.receivedAtMs + waitMs,
      fraction: hashForVersion(seed),
    });
  }

  /** Whether the request may still be sent on. */
  checkFresh(request: requests.AdmittedRequest): Refusal | undefined {
    if (request.account === undefined) return undefined;
    const { control, settings } = this.parts;
    const limitMs = decisions.limitKeyedAgeMs(settings.revocationBoundMs);
    if (control.ageMs <= limitMs) return undefined;
    return refusal(
      "stale-configuration",
      "the configuration could not be confirmed for too long",
      STALE_RETRY_MS,
    );
  }

  /** Whether a repeated send would find budget, a current view and another replica. */
  canMove(
    request: requests.AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): boolean {
    if (!this.mayRepeat(request.service)) return false;
    if (this.checkFresh(request) !== undefined) return false;
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
  ): neverthrow.Result<Sent, Refusal> {
    const { table, codec, clock } = this.parts;
    const stale = this.checkFresh(request);
    if (stale !== undefined) return neverthrow.err(stale);
    const nowMs = this.nowMs;
    const needsFresh = request.route.repeatRule === "non-idempotent";
    const { fields, service } = request;
    const side = this.#chooseSide(request);
    const pace = this.pace(service);
    const pick = table.pick({
      service,
      model: options.model,
      promptTokens: fields.promptTokens,
      readMsPerToken: pace.predictReadMs(options.model, 1),
      parts: fields.promptParts,
      excluded: options.excluded,
      needsFresh,
      side,
      nowMs,
    });
    const connection = pick?.state.pool.take(needsFresh);
    if (pick === undefined || connection === undefined) {
      const reason = `no replica of '${service}' is left to try`;
      return neverthrow.err(
        refusal("no-upstream", reason, NO_REPLICA_RETRY_MS),
      );
    }
    const { state } = pick;
    const leftMs = request.deadlineAtMs - nowMs;
    const headers = codec.encodeSend(fields, {
      deadlineMs: leftMs,
      replicaId: state.entry.id,
      account: request.account?.name,
      model: options.model,
      enginePriority: this.#rankForEngine(request, options),
      lastEventId: options.lastEventId,
    });
    this.#countSend(service, options.earlierSends);
    const readMs = pace.predictReadMs(
      options.model,
      Math.max(0, fields.promptTokens - pick.cachedTokens),
    );
    table.noteSent(state, readMs);
    this.parts.fleet.noteSent(readMs);
    this.#noteSession(request, state.entry.version);
    const peerLoad = this.parts.fleet.readLoad(state.key);
    this.parts.log.routine("attempt.sent", {
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
    return this.#window(service).allowsExtra(this.nowMs, {
      share,
      slackShare: processes > 1 ? 1 / processes : LONE_SLACK_SHARE,
    });
  }

  /** The pace of a service's engines. */
  pace(service: string): decisions.EnginePace {
    const held = this.#paces.get(service);
    if (held !== undefined) return held;
    const pace = new decisions.EnginePace();
    this.#paces.set(service, pace);
    return pace;
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
    if (result.outcome === "whole") log.routine("attempt.ended", fields);
    else log.notable("attempt.ended", fields);
  }

  /** What a version did, as evidence for its roll-out. */
  recordVersion(
    request: requests.AdmittedRequest,
    sent: Sent,
    outcome: {
      readonly model: string | undefined;
      readonly isFailure: boolean;
      readonly paceMs: number | undefined;
    },
  ): void {
    this.parts.rollouts.record({
      service: request.service,
      route: request.route.name,
      version: sent.state.entry.version,
      replicaKey: sent.state.key,
      replicas: this.parts.table.countVersion(sent.state.entry),
      ...outcome,
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
  #chooseSide(request: requests.AdmittedRequest): decisions.RolloutSide {
    const { service, fields, fraction } = request;
    const version = fields.session === undefined
      ? undefined
      : this.parts.sessions.find(service, fields.session, this.nowMs);
    return this.parts.rollouts.chooseSide(service, { version, fraction });
  }

  #findAccount(
    index: bundle.RouteIndex,
    route: bundle.Route,
    request: requests.IncomingRequest,
  ): neverthrow.Result<bundle.RoutedAccount | undefined, Refusal> {
    if (index.table.accounts.length === 0 || route.isPublic) {
      return neverthrow.ok(undefined);
    }
    const { keySha256 } = request.fields;
    const account = keySha256 === undefined
      ? undefined
      : index.accountByKeySha256.get(keySha256);
    return account === undefined
      ? neverthrow.err(
        this.#refuseUnknown("unauthenticated", "the key is not known"),
      )
      : neverthrow.ok(account);
  }

  /** What is unknown here may be in a configuration that has not arrived. */
  #refuseUnknown(kind: kernel.ErrorKind, message: string): Refusal {
    const limitMs = Math.min(
      UNKNOWN_MAX_AGE_MS,
      decisions.limitKeyedAgeMs(this.parts.settings.revocationBoundMs),
    );
    return this.parts.control.ageMs > limitMs
      ? refusal(
        "stale-configuration",
        `${message}, and the configuration is not current`,
        STALE_RETRY_MS,
      )
      : refusal(kind, message);
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
    else window.recordExtra(this.nowMs);
  }

  #window(service: string): decisions.RetryWindow {
    const held = this.#windows.get(service);
    if (held !== undefined) return held;
    const { retryWindowMs, retryRatio, retrySlack } = this.parts.settings;
    const window = new decisions.RetryWindow({
      windowMs: retryWindowMs,
      ratio: retryRatio,
      slack: retrySlack,
    });
    this.#windows.set(service, window);
    return window;
  }
}

/** Stable fraction that decides a session's version, apart from its service. */
export function hashForVersion(seed: string): number {
  return decisions.hashFraction(`version/${seed}`);
}

/** The service of a request by the weights of its route. */
export function chooseTarget(
  route: bundle.Route,
  fraction: number,
): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = fraction * total;
  for (const { service, weight } of route.targets) {
    if (left < weight) return service;
    left -= weight;
  }
  return route.targets.at(-1)?.service;
}
