/**
 * Holds prompts until the engines have room for them. The owners of replicas keep
 * the account of the room over all processes; each process asks them, and holds
 * its own prompts in the order that `decisions.decideTurn` gives. Where nothing
 * competes for engines, or no owner answers, prompts pass at once.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as admissions from "./admission.ts";
import type * as logs from "./decision_log.ts";
import * as priorities from "./engine_priority.ts";
import type * as fleets from "./fleet.ts";
import type * as memories from "./engine_memories.ts";
import type * as speeds from "./replica_speeds.ts";
import type * as replicas from "./replica_table.ts";
import type * as requests from "./request.ts";
import * as policies from "./room_policies.ts";
import * as scans from "./service_scan.ts";
import type * as telemetry from "./telemetry.ts";

/** Prompts that one process holds; further ones are sent at once. */
const MAX_HELD = 512;
/** Mean time between two questions of held prompts; bounds the datagrams of a process. */
const QUESTION_SPACING_MS = 80;
/** Backlog above which more candidates are asked, as a share of the shortest target. */
const WIDE_QUERY_SHARE = 0.15;
const MAX_WIDE_QUERIES = 2;
/** Interval at which a held prompt looks whether this process stops. */
const STOP_CHECK_MS = 250;
/** Waits are spread by this share of their length, either way. */
const WAIT_SPREAD = 0.25;
/** Callers honour a delay of up to this share of the time that they have left. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Time by which the shortest backlog must exceed that until the deadline: it is an estimate. */
const MIN_REFUSAL_MARGIN_MS = 500;
/** Weight of the newest backlog in its mean. */
const BACKLOG_WEIGHT = 0.05;
/** Name for the use of requests without an account. */
const NO_ACCOUNT = "";
const NO_KEYS: ReadonlySet<number> = new Set();

/** Dependencies of the gate. */
export interface RoomGateOptions {
  readonly clock: kernel.Clock;
  readonly log: Pick<logs.DecisionLog, "addRoutine">;
  readonly telemetry: Pick<
    telemetry.Telemetry,
    "countEvent" | "observeRoomWait" | "setGauge"
  >;
  readonly table: Pick<replicas.ReplicaTable, "find" | "listActive"> & {
    readonly speeds: Pick<speeds.ReplicaSpeeds, "readFactor">;
    readonly memories: Pick<memories.EngineMemories, "read">;
  };
  readonly fleet: Pick<fleets.Fleet, "readLoad">;
  readonly random: () => number;
  readonly getRouteIndex: () => bundle.RouteIndex | undefined;
  /** Whether this process has begun to stop. */
  readonly isStopping: () => boolean;
  /** Replaced in tests. */
  readonly sleep?: typeof kernel.sleep;
}

/** One prompt that is about to be sent. */
export interface RoomEntry {
  /** Whether an earlier attempt was sent. */
  readonly hasBeenSent: boolean;
  /** Predicted prefill time of the prompt. */
  readonly prefillMs: number;
  /** Tokens that it takes of an engine's memory. */
  readonly neededTokens: number;
  /** Chooses candidates beyond those asked, and asks for their load; resolves with the known ones. */
  readonly queryLoads: (
    askedKeys: ReadonlySet<number>,
  ) => Promise<ReadonlySet<number>>;
  /** Whether the request must not be sent any more. */
  readonly isRefused: () => boolean;
}

/** The candidates known at the last question, or why the request is not sent. */
export interface RoomOutcome {
  readonly keys: ReadonlySet<number>;
  readonly refusal?: admissions.Refusal;
}

/** A decision on a prompt that is not sent. */
export interface RoomPreview {
  readonly backlogMs: number;
  /** The account's use of the engines over its share. */
  readonly shareRatio: number;
  readonly turn: decisions.RoomTurn;
  /** Whether no replica can begin it before its deadline, so that it is refused. */
  readonly isHopeless: boolean;
}

/** Inputs of the last decision on a held prompt. */
interface Hold {
  readonly startedAtMs: number;
  readonly reason: decisions.TurnReason;
  readonly questions: number;
}

/** Prompts of one process that wait for room. */
export class RoomGate {
  readonly #options: RoomGateOptions;
  readonly #sharesByService = new Map<string, decisions.AccountShares>();
  readonly #policies: policies.RoomPolicies;
  readonly #shortestBacklogs = new scans.ServiceScan();
  #heldCount = 0;
  #meanBacklogMs = 0;

  constructor(options: RoomGateOptions) {
    this.#options = options;
    this.#policies = new policies.RoomPolicies(options.getRouteIndex);
  }

  /** Resolves when a request may be sent, or is not to be sent any more. */
  async enter(
    request: requests.AdmittedRequest,
    entry: RoomEntry,
  ): Promise<RoomOutcome> {
    const policy = request.fields.promptTokens > 0
      ? this.#policies.find(request.service)
      : undefined;
    const keys = await this.#queryLoads(entry, policy);
    if (policy === undefined) return { keys };
    const shares = this.#findShares(request.service);
    const backlogMs = this.#readBacklogMs(keys, entry.neededTokens);
    shares.record(getAccountName(request), entry.prefillMs, {
      isRoomShort: decisions.isRoomShort(backlogMs, shares.meanPrefillMs),
      nowMs: this.#options.clock.monotonicMs(),
    });
    this.#recordBacklog(backlogMs);
    // A request that was sent before has used its part of the wait, and perhaps of the engines.
    if (entry.hasBeenSent) return { keys };
    return await this.#hold(request, entry, { keys, policy, shares });
  }

  /** What `enter` would decide by the loads known now; absent if nothing competes for room. */
  preview(
    request: requests.AdmittedRequest,
    entry: Pick<RoomEntry, "prefillMs" | "neededTokens"> & {
      readonly keys: ReadonlySet<number>;
    },
  ): RoomPreview | undefined {
    const policy = request.fields.promptTokens > 0
      ? this.#policies.find(request.service)
      : undefined;
    if (policy === undefined) return undefined;
    const nowMs = this.#options.clock.monotonicMs();
    const shares = this.#sharesByService.get(request.service) ??
      new decisions.AccountShares();
    const { keys, neededTokens } = entry;
    const backlogMs = this.#readBacklogMs(keys, neededTokens);
    const input = this.#buildInput(request, entry, shares, nowMs);
    return {
      backlogMs,
      shareRatio: input.shareRatio,
      turn: decisions.decideTurn(input, backlogMs, policy),
      isHopeless: this.#findHopelessMs(request, neededTokens, {
        backlogMs,
        nowMs,
      }) !== undefined,
    };
  }

  /** Asks more candidates while those that are known have a long backlog. */
  async #queryLoads(
    entry: RoomEntry,
    policy: decisions.RoomPolicy | undefined,
  ): Promise<ReadonlySet<number>> {
    let keys = await entry.queryLoads(NO_KEYS);
    if (policy === undefined || keys.size === 0) return keys;
    const limitMs = WIDE_QUERY_SHARE * policy.shortestTargetMs;
    for (let queries = 0; queries < MAX_WIDE_QUERIES; queries += 1) {
      const backlogMs = this.#readBacklogMs(keys, entry.neededTokens);
      if (backlogMs <= limitMs) break;
      const added = await entry.queryLoads(keys);
      if (added.size === 0) break;
      keys = new Set([...keys, ...added]);
    }
    return keys;
  }

  async #hold(
    request: requests.AdmittedRequest,
    entry: RoomEntry,
    state: {
      readonly keys: ReadonlySet<number>;
      readonly policy: decisions.RoomPolicy;
      readonly shares: decisions.AccountShares;
    },
  ): Promise<RoomOutcome> {
    const { clock, random, isStopping } = this.#options;
    let { keys } = state;
    let hold: Hold | undefined;
    try {
      for (;;) {
        const nowMs = clock.monotonicMs();
        const backlogMs = this.#readBacklogMs(keys, entry.neededTokens);
        const input = this.#buildInput(request, entry, state.shares, nowMs);
        const refusal = this.#findRefusal(request, entry, {
          input,
          backlogMs,
          nowMs,
        });
        if (refusal !== undefined) return { keys, refusal };
        const turn = decisions.decideTurn(input, backlogMs, state.policy);
        const isOver = turn.type === "now" || isStopping() ||
          hold === undefined && this.#heldCount >= MAX_HELD;
        if (isOver) {
          this.#recordEnd(request, hold, { turn, input, backlogMs, nowMs });
          return { keys };
        }
        if (hold === undefined) this.#changeHeldCount(1);
        hold = {
          startedAtMs: hold?.startedAtMs ?? nowMs,
          reason: turn.reason,
          questions: (hold?.questions ?? 0) + 1,
        };
        const spread = 1 + WAIT_SPREAD * (2 * random() - 1);
        const waitMs = spread *
          Math.max(turn.waitMs, QUESTION_SPACING_MS * this.#heldCount);
        // The spacing of questions must not make a request late.
        await this.#sleep(Math.min(waitMs, turn.longestMs), request.signal);
        if (entry.isRefused()) return { keys };
        keys = await entry.queryLoads(NO_KEYS);
      }
    } finally {
      if (hold !== undefined) this.#changeHeldCount(-1);
    }
  }

  /** Ends early when the caller disconnects or this process stops. */
  async #sleep(durationMs: number, signal: AbortSignal): Promise<void> {
    const { isStopping, sleep = kernel.sleep } = this.#options;
    let remainingMs = durationMs;
    while (remainingMs > 0 && !signal.aborted && !isStopping()) {
      await sleep(Math.min(STOP_CHECK_MS, remainingMs), signal);
      remainingMs -= STOP_CHECK_MS;
    }
  }

  #buildInput(
    request: requests.AdmittedRequest,
    { prefillMs }: Pick<RoomEntry, "prefillMs">,
    shares: decisions.AccountShares,
    nowMs: number,
  ): decisions.RoomRequest {
    return {
      prefillMs,
      meanPrefillMs: shares.meanPrefillMs,
      rank: priorities.getPriority(request),
      shareRatio: shares.readRatio(getAccountName(request), nowMs),
      elapsedMs: nowMs - request.receivedAtMs,
      targetMs: request.route.targetLatencyMs,
      deadlineMs: request.deadlineAtMs - request.receivedAtMs,
    };
  }

  /** Refuses a request only if no replica of its service can begin it in time. */
  #findRefusal(
    request: requests.AdmittedRequest,
    { neededTokens }: RoomEntry,
    { input, backlogMs, nowMs }: {
      readonly input: decisions.RoomRequest;
      readonly backlogMs: number;
      readonly nowMs: number;
    },
  ): admissions.Refusal | undefined {
    const shortestMs = this.#findHopelessMs(request, neededTokens, {
      backlogMs,
      nowMs,
    });
    if (shortestMs === undefined) return undefined;
    const remainingMs = request.deadlineAtMs - nowMs;
    const { log, telemetry, random } = this.#options;
    const retryAfterMs = (0.5 + 0.5 * random()) *
      Math.min(shortestMs, MAX_RETRY_AFTER_SHARE * Math.max(0, remainingMs));
    telemetry.countEvent(`room.refused.rank-${input.rank}`);
    log.addRoutine("room.refused", {
      ...describe(request, input),
      backlogMs: Math.round(shortestMs),
      leftMs: Math.round(remainingMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
    return admissions.makeNoRoomRefusal(request.service, retryAfterMs);
  }

  /** The shortest backlog of all replicas if it reaches beyond the deadline. */
  #findHopelessMs(
    request: requests.AdmittedRequest,
    neededTokens: number,
    { backlogMs, nowMs }: {
      readonly backlogMs: number;
      readonly nowMs: number;
    },
  ): number | undefined {
    const limitMs = request.deadlineAtMs - nowMs + MIN_REFUSAL_MARGIN_MS;
    if (backlogMs < limitMs) return undefined;
    const states = this.#options.table.listActive(request.service);
    // A figure that serves several requests must not depend on the size of one.
    const tokens = scans.isExact(states.length) ? neededTokens : 0;
    const shortestMs = this.#shortestBacklogs.read(
      request.service,
      { replicas: states.length, nowMs },
      () => this.#readBacklogMs(states.map(({ key }) => key), tokens),
    );
    return shortestMs < limitMs ? undefined : shortestMs;
  }

  #recordEnd(
    request: requests.AdmittedRequest,
    hold: Hold | undefined,
    last: {
      readonly turn: decisions.RoomTurn;
      readonly input: decisions.RoomRequest;
      readonly backlogMs: number;
      readonly nowMs: number;
    },
  ): void {
    if (hold === undefined) return;
    const { log, telemetry } = this.#options;
    const { turn, input, backlogMs, nowMs } = last;
    const heldMs = nowMs - hold.startedAtMs;
    telemetry.observeRoomWait(input.rank, hold.reason, heldMs);
    telemetry.countEvent(`room.sent.${turn.reason}`);
    log.addRoutine("room.held", {
      ...describe(request, input),
      reason: hold.reason,
      sentAs: turn.reason,
      heldMs: Math.round(heldMs),
      questions: hold.questions,
      backlogMs: Math.round(backlogMs),
      ceilingMs: Math.round(turn.ceilingMs),
    });
  }

  #changeHeldCount(change: number): void {
    this.#heldCount += change;
    this.#options.telemetry.setGauge("room_waiting", this.#heldCount);
  }

  #recordBacklog(backlogMs: number): void {
    this.#meanBacklogMs += BACKLOG_WEIGHT * (backlogMs - this.#meanBacklogMs);
    this.#options.telemetry.setGauge("room_backlog_ms", this.#meanBacklogMs);
  }

  #readBacklogMs(keys: Iterable<number>, neededTokens: number): number {
    const { table, fleet, clock } = this.#options;
    const rooms = [...keys].flatMap((key): decisions.ReplicaRoom[] => {
      const state = table.find(key);
      if (state === undefined) return [];
      const others = fleet.readLoad(key);
      return [{
        backlogMs: (state.pendingMs + others.pendingMs) *
          table.speeds.readFactor(state, clock.monotonicMs()),
        running: state.inFlight + others.running,
        slots: state.entry.slots,
        missingRequests: decisions.countMissingRequests(
          table.memories.read(state),
          neededTokens,
        ),
      }];
    });
    return decisions.findBacklogMs(rooms);
  }

  #findShares(service: string): decisions.AccountShares {
    const existing = this.#sharesByService.get(service);
    if (existing !== undefined) return existing;
    const shares = new decisions.AccountShares();
    this.#sharesByService.set(service, shares);
    return shares;
  }
}

function getAccountName({ account }: requests.AdmittedRequest): string {
  return account?.name ?? NO_ACCOUNT;
}

/** Inputs that the log tells of each held or refused request. */
function describe(
  request: requests.AdmittedRequest,
  input: decisions.RoomRequest,
): Readonly<Record<string, unknown>> {
  return {
    requestId: request.requestId,
    route: request.route.name,
    account: request.account?.name,
    rank: input.rank,
    prefillMs: Math.round(input.prefillMs),
    shareRatio: Number(input.shareRatio.toFixed(2)),
    elapsedMs: Math.round(input.elapsedMs),
    targetMs: input.targetMs,
  };
}
