/**
 * The replicas that this process knows: their connections, load in flight,
 * health, and the prompt prefixes that they probably have in their caches.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as connections from "./connections.ts";
import type * as ports from "./ports.ts";
import * as candidateViews from "./candidate.ts";
import * as groups from "./replica_group.ts";
import type * as tableOptions from "./replica_table_options.ts";
import * as prefixes from "./prefix_memory.ts";

/** Time in which a replica is avoided after an attempt that it did not run. */
const AVOID_BUSY_MS = 150;
/** Time in which a replica is avoided after its address answered as another replica. */
const AVOID_MISDIRECTED_MS = 1_000;
/** With a smaller share of certain replicas, the doubtful ones are used as well. */
const MIN_CERTAIN_SHARE = 0.5;
/** Assumed number of processes that share a replica's connections, until peers are known. */
const DEFAULT_PROCESS_COUNT = 6;

/** Incarnations of replicas whose demands are kept, also after their removal. */
const MAX_INCARNATIONS = 4_096;

/** A chosen replica, with the inputs of the choice for the log. */
export interface PickedReplica {
  readonly state: groups.ReplicaState;
  /** Prompt tokens that are probably cached at the replica. */
  readonly cachedTokens: number;
  /** Number of replicas that were considered. */
  readonly candidates: number;
}

/** The replicas of all services. */
export class ReplicaTable {
  readonly #options: tableOptions.ReplicaTableOptions;
  readonly #states = new Map<string, groups.ReplicaState>();
  readonly #stateByKey = new Map<number, groups.ReplicaState>();
  readonly #statesByService = new Map<string, Set<groups.ReplicaState>>();
  readonly #demandsByIncarnation = new Map<
    string,
    decisions.ReplicaDemandState
  >();
  #services: ReadonlyMap<string, bundle.RouteTableService> = new Map();
  #processes: number | undefined;

  constructor(options: tableOptions.ReplicaTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#states.size;
  }

  /**
   * Replicas of a service that are neither draining nor evacuated. Doubtful ones are left out unless
   * so many are that an outage must be the reason.
   */
  listActive(service: string): readonly groups.ReplicaState[] {
    const active = [...this.#statesByService.get(service) ?? []].filter((
      state,
    ) => !state.entry.isDraining && !this.isEvacuated(state));
    const certain = active.filter((state) => !state.isDoubtful);
    return certain.length >= MIN_CERTAIN_SHARE * active.length
      ? certain
      : active;
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
    const members = this.#statesByService.get(entry.service) ?? new Set();
    members.add(state);
    this.#statesByService.set(entry.service, members);
  }

  remove(id: string): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    state.isRemoved = true;
    state.pool.close();
    this.#states.delete(id);
    this.#stateByKey.delete(state.key);
    this.#statesByService.get(state.entry.service)?.delete(state);
  }

  /** Marks a replica whose entry is missing after an outage of the control plane. */
  markDoubtful(id: string): void {
    const state = this.#states.get(id);
    if (state !== undefined) state.isDoubtful = true;
  }

  /** Whether an available replica that is not excluded has a free connection. */
  hasAvailable(
    service: string,
    options: Pick<
      groups.PlacementRequest,
      "excluded" | "versionPreference" | "homeDataCentres" | "nowMs"
    >,
  ): boolean {
    const { rates } = this.#options;
    return this.listActive(service).some((state) =>
      !options.excluded.has(state.entry.id) &&
      !options.versionPreference.banned.includes(state.entry.version) &&
      groups.isAtHome(state, options) &&
      !state.pool.isFull &&
      groups.isUnrestricted(state, rates, options.nowMs)
    );
  }

  /** Ratio of requests of all processes to slots, over a service's available replicas. */
  measureOccupancy(service: string, nowMs: number): number {
    let running = 0;
    let slots = 0;
    for (const state of this.listActive(service)) {
      if (!groups.isUnrestricted(state, this.#options.rates, nowMs)) continue;
      running += state.inFlight +
        this.#options.readPeerLoad(state.key).running;
      slots += state.entry.slots;
    }
    return slots === 0 ? 0 : running / slots;
  }

  /** Picks a replica of the preferred version, or else of another permitted one. */
  pick(request: groups.PlacementRequest): PickedReplica | undefined {
    const group = this.#findGroup(request);
    if (group === undefined) return undefined;
    const granted = group.filter(({ key }) => key === request.grantedKey);
    const queried = group.filter(({ key }) => request.queriedKeys?.has(key));
    const preferred = granted.length > 0 ? granted : queried;
    const states = preferred.length > 0 ? preferred : group;
    const candidates = candidateViews.buildCandidates(
      states,
      request,
      this.#options,
    );
    const chosen = decisions.chooseReplica(
      candidates,
      candidateViews.buildPlacement(request),
      this.#options.random,
    );
    return chosen && {
      state: chosen.state,
      cachedTokens: chosen.cachedTokens,
      candidates: candidates.length,
    };
  }

  /** Whether any replica of a service names a rate. */
  hasRates(service: string): boolean {
    const { rates } = this.#options;
    return this.listActive(service).some(({ key }) =>
      rates.readRate(key) !== undefined
    );
  }

  /** Time after which a replica would take a request that none takes now; absent if unknown. */
  findRetryAfterMs(request: groups.PlacementRequest): number | undefined {
    const states = this.listActive(request.service);
    return groups.findRetryAfterMs(states, request, this.#options.rates);
  }

  #findGroup(
    request: groups.PlacementRequest,
  ): readonly groups.ReplicaState[] | undefined {
    const states = this.listActive(request.service);
    return groups.findGroup(states, request, this.#options);
  }

  /** Keys of the replicas whose load should be asked for before `pick`. */
  listQueryKeys(request: groups.PlacementRequest): readonly number[] {
    const group = this.#findGroup(request) ?? [];
    if (group.length < 2) return [];
    const candidates = candidateViews.buildCandidates(
      group,
      request,
      this.#options,
    );
    return candidateViews.drawQueried(candidates, request, this.#options)
      .map(({ state }) => state.key);
  }

  /** The candidates and costs of a choice, by the loads known now; changes nothing. */
  weigh(request: groups.PlacementRequest): candidateViews.WeighedReplicas {
    const group = this.#findGroup(request) ?? [];
    const candidates = candidateViews.buildCandidates(
      group,
      request,
      this.#options,
    );
    const queried = candidates.length < 2
      ? candidates
      : candidateViews.drawQueried(candidates, request, this.#options);
    return {
      active: this.listActive(request.service).length,
      usable: group.length,
      costed: decisions.costReplicas(
        queried,
        candidateViews.buildPlacement(request),
      ),
    };
  }

  recordSent(
    state: groups.ReplicaState,
    { prefillMs, heldTokens }: groups.SentLoad,
  ): void {
    state.inFlight += 1;
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

  listReplicaKeys(): readonly number[] {
    return [...this.#stateByKey.keys()];
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
    this.#updateConnectionLimits();
  }

  /** Sets the number of processes that share a replica's connection limit. */
  setProcessCount(processes: number): void {
    this.#processes = processes;
    this.#updateConnectionLimits();
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
    return {
      entry,
      key: decisions.hashText(entry.id),
      pool: new connections.ConnectionPool(entry.address, {
        limit: this.#computeConnectionLimit(entry),
        onOpened: this.#options.onConnectionOpened,
      }),
      health: new decisions.ReplicaHealth(),
      evidence: new decisions.ReplicaEvidence(),
      demands: this.#findDemands(entry),
      prefixes: new prefixes.PrefixMemory(),
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
