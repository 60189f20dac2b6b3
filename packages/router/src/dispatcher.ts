/**
 * Sends admitted requests to replicas: chooses the version and the replica,
 * enforces the retry budget and records the result of each attempt.
 */
import * as decisions from "@jackdawbank/decisions";
import * as peers from "@jackdawbank/peers";
import * as neverthrow from "neverthrow";
import * as admissions from "./admission.ts";
import * as attempts from "./attempt.ts";
import * as recorders from "./attempt_recorder.ts";
import * as bodyRooms from "./body_rooms.ts";
import * as demandTrackers from "./demand_tracker.ts";
import type * as parts from "./dispatcher_dependencies.ts";
import * as priorities from "./engine_priority.ts";
import * as placements from "./placements.ts";
import * as places from "./places.ts";
import type * as groups from "./replica_group.ts";
import * as questions from "./replica_questions.ts";
import type * as requests from "./request.ts";
import * as retries from "./retry_budgets.ts";
import * as rooms from "./room_gate.ts";
import type * as sends from "./send.ts";
import * as speedRecorders from "./speed_recorder.ts";

/** Interval at which the load of a replica is asked for while a stream waits there for long. */
const STALL_QUERY_INTERVAL_MS = 200;

/** Sends the requests of one process. */
export class Dispatcher {
  readonly dependencies: parts.DispatcherDependencies;
  readonly demands: demandTrackers.DemandTracker;
  readonly recorder: recorders.AttemptRecorder;
  readonly speeds = new speedRecorders.SpeedRecorder();
  readonly #retryBudgets: retries.RetryBudgets;
  readonly #roomGate: rooms.RoomGate;
  readonly #bodyRooms: bodyRooms.BodyRooms;
  readonly #placements: placements.Placements;
  readonly #questions: questions.ReplicaQuestions;

  constructor(dependencies: parts.DispatcherDependencies) {
    this.dependencies = dependencies;
    const { clock, settings, fleet } = dependencies;
    this.recorder = new recorders.AttemptRecorder(dependencies);
    this.demands = new demandTrackers.DemandTracker(dependencies);
    this.#placements = new placements.Placements(dependencies, this.speeds);
    this.#questions = new questions.ReplicaQuestions(
      dependencies,
      this.#placements,
    );
    this.#roomGate = new rooms.RoomGate({
      ...dependencies,
      getRouteIndex: () => dependencies.control.routeIndex,
      isStopping: () => dependencies.shutdown.hasStarted,
    });
    this.#bodyRooms = new bodyRooms.BodyRooms({
      ...dependencies,
      accounts: new bodyRooms.BodyAccounts(
        () => fleet,
        () => dependencies.control.routeIndex,
      ),
    });
    this.#retryBudgets = new retries.RetryBudgets(
      clock,
      settings,
      () => fleet.size,
    );
  }

  get nowMs(): number {
    return this.dependencies.clock.monotonicMs();
  }

  /**
   * Whether an attempt at a sound replica may be given up for one at another replica:
   * the retry budget, the configuration's age, a stop and the other replicas permit it.
   */
  canReroute(
    request: requests.AdmittedRequest,
    excluded: ReadonlySet<string>,
  ): boolean {
    if (!this.canRetry(request.service)) return false;
    // As for a first attempt, enough time must be left to end it.
    if (this.#findRefusal(request, false) !== undefined) return false;
    const versionPreference = this.#placements.chooseVersionPreference(request);
    const { table, places } = this.dependencies;
    const { nowMs } = this;
    return table.hasAvailable(request.service, {
      ...places.findLimits(request, nowMs),
      excluded,
      versionPreference,
      bodyBytes: request.body.length,
      nowMs,
    });
  }

  /**
   * Asks the other processes what a good choice needs: the loads of the best
   * replicas and, where the best one has a rate, whether it may get this request.
   * Resolves when there is room for the request.
   */
  async prepare(
    request: requests.AdmittedRequest,
    options: sends.SendOptions,
  ): Promise<sends.Preparation> {
    const { keys: queriedKeys, ...held } = await this.#roomGate.enter(request, {
      hasBeenSent: options.earlierSends > 0,
      prefillMs: this.speeds.getTracker(request.service).predictPrefillMs(
        options.model,
        request.fields.promptTokens,
      ),
      neededTokens: this.dependencies.table.memories.predictTokens(request),
      queryLoads: (askedKeys) =>
        this.#questions.queryLoads(request, options, askedKeys),
      isRefused: () => this.#findRefusal(request, options.hasRun) !== undefined,
    });
    const refusal = held.refusal ?? this.#findRefusal(request, options.hasRun);
    if (refusal !== undefined) {
      return { queriedKeys, grantedKey: undefined, refusal };
    }
    const room = decisions.isLargeBody(request.body.length)
      ? await this.#bodyRooms.reserve(request, {
        ...this.#placements.build(request, options),
        queriedKeys,
      })
      : {};
    const reservedKey = room.reservation?.replicaKey;
    const mayBeSent = room.refusal === undefined &&
      this.dependencies.table.hasRates(request.service);
    try {
      const grantedKey = mayBeSent
        ? await this.#questions.takeAtRate(request, options, {
          queriedKeys,
          reservedKey,
        })
        : undefined;
      return { queriedKeys, grantedKey, ...room };
    } catch (thrown) {
      room.reservation?.release();
      throw thrown;
    }
  }

  /** Sends a request to the best replica that is not excluded. */
  send(
    request: requests.AdmittedRequest,
    options: sends.SendOptions & sends.Preparation,
    listener: attempts.AttemptListener,
  ): neverthrow.Result<sends.SentAttempt, admissions.Refusal> {
    const { table, places, codec, clock } = this.dependencies;
    // From here to the connection nothing waits, so that the room is not lost.
    options.reservation?.release();
    const refusal = this.#findRefusal(request, options.hasRun) ??
      options.refusal;
    if (refusal !== undefined) return this.#refuse(refusal);
    const { fields, service } = request;
    const latencyTracker = this.speeds.getTracker(service);
    const { queriedKeys, grantedKey } = options;
    const placement = {
      ...this.#placements.build(request, options),
      queriedKeys,
      grantedKey,
      reservedKey: options.reservation?.replicaKey,
    };
    const { needsNewConnection, versionPreference, nowMs } = placement;
    const pick = table.pick(placement);
    const connection = pick?.state.pool.acquire(
      needsNewConnection || options.refusedBy.has(pick.state.entry.id),
      request.body.length,
    );
    if (pick === undefined || connection === undefined) {
      const retryAfterMs = table.findRetryAfterMs(placement);
      return this.#refuse(
        admissions.makeNoReplicaRefusal(service, retryAfterMs),
        placement,
      );
    }
    const { state } = pick;
    const remainingMs = request.deadlineAtMs - nowMs;
    const headers = codec.encodeReplicaRequest(fields, {
      deadlineMs: remainingMs,
      replicaId: state.entry.id,
      account: request.account?.name,
      model: options.model,
      enginePriority: priorities.chooseEnginePriority(request, options),
      lastEventId: options.lastEventId,
    });
    this.#retryBudgets.recordSend(service, options.earlierSends);
    const prefillMs = latencyTracker.predictPrefillMs(
      options.model,
      Math.max(0, fields.promptTokens - pick.cachedTokens),
    );
    const peerLoad = this.dependencies.fleet.readLoad(state.key);
    const queuedMs = state.pendingMs + peerLoad.pendingMs;
    const prediction = this.speeds.predict(request, {
      inFlight: state.inFlight + peerLoad.running,
      slots: state.entry.slots,
      prefillMs: queuedMs + prefillMs,
      speedFactor: table.speeds.readFactor(state, nowMs),
    });
    const heldTokens = placement.neededTokens;
    const memoryShare = table.memories.readShare(state, heldTokens);
    if (!decisions.fitsMemory(memoryShare)) {
      this.dependencies.telemetry.countEvent("memory.beyond");
    }
    table.recordSent(state, { prefillMs, heldTokens });
    this.#placements.recordSession(request, state.entry.version);
    if (decisions.interruptsStreams(prefillMs, placement.maxGapMs)) {
      this.dependencies.telemetry.countEvent("streams.interrupted");
    }
    this.recorder.logSent(request, {
      pick,
      model: options.model,
      earlierSends: options.earlierSends,
      prefillMs,
      prediction,
      heldTokens,
      memoryShare,
      rolloutTarget: versionPreference.target,
      peerLoad,
      leftMs: remainingMs,
    });
    const attempt = new attempts.Attempt(state.pool, connection, {
      method: request.method,
      path: request.target,
      headers,
      body: request.body,
      findObstacle: () => places.findObstacle(request, state.entry.dataCentre),
    }, listener);
    return neverthrow.ok({
      attempt,
      state,
      sentAtMs: clock.monotonicMs(),
      cachedTokens: pick.cachedTokens,
      prefillMs,
      heldTokens,
      queuedMs,
      prediction,
    });
  }

  /** What a send of the request would be decided by now; changes nothing. */
  preview(
    request: requests.AdmittedRequest,
    model: string | undefined,
  ): sends.SendPreview {
    const { table } = this.dependencies;
    const placement = this.#placements.build(request, {
      model,
      excluded: new Set(),
    });
    const weighed = table.weigh({
      ...placement,
      mayAskForRate: true,
      mayReserveRoom: true,
    });
    return {
      placement,
      weighed,
      refusal: this.#findRefusal(request, false) ??
        (weighed.usable > 0 ? undefined : admissions.makeNoReplicaRefusal(
          request.service,
          table.findRetryAfterMs(placement),
        )),
      room: this.#roomGate.preview(request, {
        prefillMs: placement.prefillMsPerToken * placement.promptTokens,
        neededTokens: placement.neededTokens,
        keys: new Set(
          weighed.costed.map(({ candidate }) => candidate.state.key),
        ),
      }),
    };
  }

  /** Whether a retry stays within a share of the service's retry budget, and before a stop. */
  canRetry(service: string, share = 1): boolean {
    if (this.dependencies.shutdown.hasEnded(this.nowMs)) return false;
    return this.#retryBudgets.canRetry(service, share);
  }

  /** Shortage of engine capacity for a service; see `combinePressure`. */
  measurePressure(service: string): number {
    const { nowMs } = this;
    return decisions.combinePressure(
      this.speeds.getTracker(service).pressure(nowMs),
      this.dependencies.table.measureOccupancy(service, nowMs),
    );
  }

  /** What all processes together know of a replica at which a request waits. */
  observeReplica(state: groups.ReplicaState, sinceMs: number): {
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
      pendingPrefillMs: (state.pendingMs + others.pendingMs) *
        this.dependencies.table.speeds.readFactor(state, nowMs),
      silentMs: others.running > 0
        ? Math.min(ownSilentMs, othersSilentMs)
        : ownSilentMs,
    };
  }

  /** Why a running attempt must be ended now; absent if it may go on. */
  findExpiry(
    { deadlineAtMs }: requests.AdmittedRequest,
    nowMs: number,
  ): string | undefined {
    if (nowMs >= deadlineAtMs) return "deadline expired";
    return this.dependencies.shutdown.hasEnded(nowMs)
      ? "this process is stopping"
      : undefined;
  }

  /** Why a request must not be sent now, whatever the replicas are. */
  #findRefusal(
    request: requests.AdmittedRequest,
    hasRun: boolean,
  ): admissions.Refusal | undefined {
    if (request.signal.aborted) return admissions.CALLER_GONE_REFUSAL;
    const { admission, places, quarantine, shutdown, table } =
      this.dependencies;
    if (!shutdown.canSend(this.nowMs, request.deadlineAtMs, hasRun)) {
      return admissions.LEAVING_REFUSAL;
    }
    return admission.checkConfigurationAge(request) ??
      places.findRefusal(request) ?? table.memories.findRefusal(request) ??
      quarantine.check(request);
  }

  /** Refuses a request, and counts it if its homes are a reason. */
  #refuse(
    refusal: admissions.Refusal,
    limits: Partial<places.PlaceLimits> = {},
  ): neverthrow.Result<never, admissions.Refusal> {
    const isHomeless = refusal === places.NO_HOME_REFUSAL ||
      limits.homeDataCentres !== undefined;
    if (isHomeless) this.dependencies.telemetry.countEvent("homes.refused");
    return neverthrow.err(refusal);
  }
}
