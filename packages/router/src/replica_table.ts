/**
 * The replicas that this process knows: their connections, load in flight,
 * health, and the prompt prefixes that they probably have in their caches.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as connections from "./connections.ts";
import type * as ports from "./ports.ts";
import type * as candidateViews from "./candidate.ts";
import * as groups from "./replica_group.ts";
import * as choosers from "./replica_chooser.ts";
import * as members from "./replica_members.ts";
import type * as tableOptions from "./replica_table_options.ts";
import * as memories from "./engine_memories.ts";
import * as prefixes from "./prefix_memory.ts";
import * as scans from "./service_scan.ts";
import * as speeds from "./replica_speeds.ts";

/** Time in which a replica is avoided after an attempt that it did not run. */
const AVOID_BUSY_MS = 150;
/** Time in which a replica is avoided after its address answered as another replica. */
const AVOID_MISDIRECTED_MS = 1_000;
/** Assumed number of processes that share a replica's connections, until peers are known. */
const DEFAULT_PROCESS_COUNT = 6;

/** Incarnations of replicas whose demands are kept, also after their removal. */
const MAX_INCARNATIONS = 4_096;

/** The replicas of all services. */
export class ReplicaTable {
  readonly speeds: speeds.ReplicaSpeeds;
  readonly memories: memories.EngineMemories;
  readonly #options: tableOptions.ReplicaTableOptions;
  readonly #states = new Map<string, groups.ReplicaState>();
  readonly #stateByKey = new Map<number, groups.ReplicaState>();
  readonly #members: members.ReplicaMembers;
  readonly #chooser: choosers.ReplicaChooser;
  /** Keys of the replicas at which this process has requests. */
  readonly #busyKeys = new Set<number>();
  readonly #occupancy = new scans.ServiceScan();
  readonly #demandsByIncarnation = new Map<
    string,
    decisions.ReplicaDemandState
  >();
  #services: ReadonlyMap<string, bundle.RouteTableService> = new Map();
  #processes: number | undefined;
  #areLimitsDue = false;

  constructor(options: tableOptions.ReplicaTableOptions) {
    this.#options = options;
    this.speeds = new speeds.ReplicaSpeeds(this, options);
    this.memories = new memories.EngineMemories(options);
    this.#members = new members.ReplicaMembers((dataCentre) =>
      options.isEvacuated?.(dataCentre) ?? false
    );
    this.#chooser = new choosers.ReplicaChooser({
      ...options,
      members: this.#members,
      speeds: this.speeds,
      memories: this.memories,
      find: (key) => this.#stateByKey.get(key),
    });
  }

  get size(): number {
    return this.#states.size;
  }

  /**
   * Replicas of a service that are neither draining nor evacuated. Doubtful ones are left out unless
   * so many are that an outage must be the reason.
   */
  listActive(service: string): readonly groups.ReplicaState[] {
    return this.#members.findActive(service).states;
  }

  /** Whether the replica's data centre is evacuated. */
  isEvacuated({ entry }: groups.ReplicaState): boolean {
    return this.#options.isEvacuated?.(entry.dataCentre) ?? false;
  }

  countReplicas(service: string, version: string): number {
    return this.listActive(service).filter((state) =>
      state.entry.version === version
    ).length;
  }

  /** Adds or updates a replica; a restart or a new address resets its state. */
  put(entry: ports.ReplicaEntry): void {
    const existing = this.#states.get(entry.id);
    const isSameProcess = existing !== undefined &&
      existing.entry.startedAtMs === entry.startedAtMs &&
      existing.entry.service === entry.service &&
      existing.entry.address.host === entry.address.host &&
      existing.entry.address.port === entry.address.port;
    if (existing !== undefined && !isSameProcess) {
      this.remove(entry.id);
      this.#options.rates.reset(existing.key);
    }
    const state: groups.ReplicaState = isSameProcess
      ? Object.assign(existing, { entry, isDoubtful: false })
      : this.#createState(entry);
    this.#states.set(entry.id, state);
    this.#stateByKey.set(state.key, state);
    this.#members.put(state);
  }

  remove(id: string): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    state.isRemoved = true;
    state.pool.close();
    this.#states.delete(id);
    this.#stateByKey.delete(state.key);
    this.#busyKeys.delete(state.key);
    this.#members.remove(state);
  }

  /** Marks a replica whose entry is missing after an outage of the control plane. */
  markDoubtful(id: string): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    state.isDoubtful = true;
    this.#members.put(state);
  }

  /** Whether an available replica that is not excluded has a free connection. */
  hasAvailable(
    service: string,
    options: Pick<
      groups.PlacementRequest,
      | "excluded"
      | "versionPreference"
      | "homeDataCentres"
      | "bodyBytes"
      | "nowMs"
    >,
  ): boolean {
    const { rates, bodies } = this.#options;
    const body = { bodyBytes: options.bodyBytes, mayReserveRoom: true };
    return this.listActive(service).some((state) =>
      !options.excluded.has(state.entry.id) &&
      !options.versionPreference.banned.includes(state.entry.version) &&
      groups.isAtHome(state, options) &&
      !state.pool.isFull &&
      groups.isUnrestricted(state, rates, options.nowMs) &&
      groups.hasBodyRoom(state, body, bodies)
    );
  }

  /** Ratio of requests of all processes to slots, over a service's available replicas. */
  measureOccupancy(service: string, nowMs: number): number {
    const states = this.listActive(service);
    return this.#occupancy.read(
      service,
      { replicas: states.length, nowMs },
      () => this.#computeOccupancy(states, nowMs),
    );
  }

  #computeOccupancy(
    states: readonly groups.ReplicaState[],
    nowMs: number,
  ): number {
    let running = 0;
    let slots = 0;
    for (const state of states) {
      if (!groups.isUnrestricted(state, this.#options.rates, nowMs)) continue;
      running += state.inFlight +
        this.#options.readPeerLoad(state.key).running;
      slots += state.entry.slots;
    }
    return slots === 0 ? 0 : running / slots;
  }

  /** Picks a replica of the preferred version, or else of another permitted one. */
  pick(request: groups.PlacementRequest): groups.PickedReplica | undefined {
    return this.#chooser.pick(request);
  }

  /** Keys of the replicas whose load should be asked for before `pick`. */
  listQueryKeys(request: groups.PlacementRequest): readonly number[] {
    return this.#chooser.listQueryKeys(request);
  }

  /** Whether any replica of a service names a rate. */
  hasRates(service: string): boolean {
    const active = this.listActive(service);
    for (const key of this.#options.rates.listRated()) {
      const state = this.#stateByKey.get(key);
      if (state !== undefined && active.includes(state)) return true;
    }
    return false;
  }

  /** Time after which a replica would take a request that none takes now; absent if unknown. */
  findRetryAfterMs(request: groups.PlacementRequest): number | undefined {
    const states = this.listActive(request.service);
    return groups.findRetryAfterMs(states, request, this.#options.rates);
  }

  /** The candidates and costs of a choice, by the loads known now; changes nothing. */
  weigh(request: groups.PlacementRequest): candidateViews.WeighedReplicas {
    return this.#chooser.weigh(request);
  }

  recordSent(
    state: groups.ReplicaState,
    { prefillMs, heldTokens }: groups.SentLoad,
  ): void {
    state.inFlight += 1;
    if (!state.isRemoved) this.#busyKeys.add(state.key);
    state.pendingMs += prefillMs;
    state.heldTokens += heldTokens;
    if (this.#isEngine(state)) {
      this.#options.onLoadChanged(state.key, "increase");
    }
  }

  /** Records that a prompt was processed: it is no longer pending, and its parts are cached. */
  recordPrefill(
    state: groups.ReplicaState,
    prefill: {
      readonly model: string | undefined;
      readonly parts: readonly ports.PromptPart[];
      readonly prefillMs: number;
      readonly nowMs: number;
    },
  ): void {
    state.pendingMs = Math.max(0, state.pendingMs - prefill.prefillMs);
    this.#options.onLoadChanged(state.key, "decrease");
    state.prefixes.record(prefill);
  }

  /** Records the end of an attempt, with the prefill time that it still had pending. */
  recordEnd(
    state: groups.ReplicaState,
    { prefillMs, heldTokens }: groups.SentLoad,
  ): void {
    state.inFlight = Math.max(0, state.inFlight - 1);
    if (state.inFlight === 0 && !state.isRemoved) {
      this.#busyKeys.delete(state.key);
    }
    state.pendingMs = Math.max(0, state.pendingMs - prefillMs);
    state.heldTokens = Math.max(0, state.heldTokens - heldTokens);
    this.#options.onLoadChanged(
      state.key,
      this.#isEngine(state) ? "decrease" : "evidence",
    );
  }

  /** Requests of plain services end too soon for others to learn of each of them. */
  #isEngine({ entry }: groups.ReplicaState): boolean {
    return this.#services.get(entry.service)?.engine !== undefined;
  }

  markBusy(state: groups.ReplicaState, nowMs: number): void {
    state.avoidUntilMs = nowMs + AVOID_BUSY_MS;
  }

  markMisdirected(state: groups.ReplicaState, nowMs: number): void {
    state.avoidUntilMs = nowMs + AVOID_MISDIRECTED_MS;
  }

  close(): void {
    for (const id of [...this.#states.keys()]) this.remove(id);
  }

  find(replicaKey: number): groups.ReplicaState | undefined {
    return this.#stateByKey.get(replicaKey);
  }

  /** Keys of the replicas at which this process has requests. */
  listBusyKeys(): readonly number[] {
    return [...this.#busyKeys];
  }

  /** What this process has at a replica. */
  readOwnLoad(replicaKey: number, nowMs: number): decisions.ReplicaLoadState {
    const state = this.#stateByKey.get(replicaKey);
    if (state === undefined) return decisions.NO_LOAD_STATE;
    const { inFlight, pendingMs, heldTokens, pool, lastByteAtMs, evidence } =
      state;
    return {
      running: inFlight,
      pendingMs,
      heldTokens,
      heldBytes: pool.bodyBytesInFlight,
      silentMs: nowMs - lastByteAtMs,
      evidence: evidence.read(nowMs),
    };
  }

  /** Sets the services' connection limits, which may arrive after their replicas. */
  setServices(services: ReadonlyMap<string, bundle.RouteTableService>): void {
    this.#services = services;
    this.memories.setServices(services);
    this.#updateConnectionLimits();
  }

  /** Sets the number of processes that share a replica's connection limit. */
  setProcessCount(processes: number): void {
    this.#processes = processes;
    if (this.#areLimitsDue) return;
    this.#areLimitsDue = true;
    // At a start, hundreds of processes become known in one turn of the event loop.
    queueMicrotask(() => {
      this.#areLimitsDue = false;
      this.#updateConnectionLimits();
    });
  }

  #updateConnectionLimits(): void {
    for (const { entry, pool } of this.#states.values()) {
      pool.setLimit(this.#computeConnectionLimit(entry));
    }
  }

  #computeConnectionLimit(entry: ports.ReplicaEntry): number {
    const maxConnections = this.#services.get(entry.service)?.maxConnections ??
      entry.slots;
    return Math.floor(
      maxConnections / (this.#processes ?? DEFAULT_PROCESS_COUNT),
    );
  }

  #createState(entry: ports.ReplicaEntry): groups.ReplicaState {
    const key = decisions.hashText(entry.id);
    return {
      entry,
      key,
      pool: new connections.ConnectionPool(entry.address, {
        limit: this.#computeConnectionLimit(entry),
        onOpened: this.#options.onConnectionOpened,
        onLargeBodyEnd: () => this.#options.onLoadChanged(key, "increase"),
      }),
      health: new decisions.ReplicaHealth(),
      evidence: new decisions.ReplicaEvidence(),
      demands: this.#findDemands(entry),
      prefixes: new prefixes.PrefixMemory(
        this.#options.prefixReuseWindowMs,
      ),
      inFlight: 0,
      pendingMs: 0,
      heldTokens: 0,
      lastByteAtMs: -Infinity,
      avoidUntilMs: -Infinity,
      isDoubtful: false,
      isRemoved: false,
    };
  }

  /** Demands outlast the entry, which may be removed and come back. */
  #findDemands(entry: ports.ReplicaEntry): decisions.ReplicaDemandState {
    const incarnation = `${entry.id} ${entry.startedAtMs ?? ""}`;
    const demands = this.#demandsByIncarnation.get(incarnation) ??
      new decisions.ReplicaDemandState();
    this.#demandsByIncarnation.delete(incarnation);
    this.#demandsByIncarnation.set(incarnation, demands);
    decisions.trimOldest(this.#demandsByIncarnation, MAX_INCARNATIONS);
    return demands;
  }
}
