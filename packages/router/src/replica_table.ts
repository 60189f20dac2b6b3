/**
 * The replicas that this process knows: their connections, what it has under
 * way there, what is learnt of their health, and which parts of prompts they
 * read lately.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import type * as peers from "@jackdawbank/peers";
import * as connections from "./connections.ts";
import type * as ports from "./ports.ts";

/** Parts of prompts that are remembered for each replica. */
const MAX_PARTS = 4_000;
/** A replica that is full or another one is left alone for so long. */
const BUSY_MS = 150;
const MISDIRECTED_MS = 1_000;
/** Processes that may share a replica's connections while none has announced itself. */
const ASSUMED_PROCESSES = 6;

/** One replica with its state at this process. */
export interface ReplicaState {
  readonly entry: ports.ReplicaEntry;
  /** Names the replica in reports between processes. */
  readonly key: number;
  readonly pool: connections.ReplicaConnections;
  readonly health: decisions.ReplicaHealth;
  /** When a part was last read for a model, by model and part. */
  readonly parts: Map<string, number>;
  inFlight: number;
  pendingMs: number;
  /** Steady time of the newest byte from it. */
  heardAtMs: number;
  avoidUntilMs: number;
  isGone: boolean;
}

/** What is to be placed. */
export interface PlacementRequest {
  readonly service: string;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** Time in which the model reads one token. */
  readonly readMsPerToken: number;
  readonly parts: readonly ports.PromptPart[];
  readonly excluded: ReadonlySet<string>;
  readonly needsFresh: boolean;
  readonly side: decisions.VersionPreference;
  readonly nowMs: number;
}

/** A chosen replica, with what decided it. */
export interface PickedReplica {
  readonly state: ReplicaState;
  readonly cachedTokens: number;
  readonly candidates: number;
}

/** Settings of the table. */
export interface ReplicaTableOptions {
  readonly dataCentre: string;
  readonly prefixReuseWindowMs: number;
  readonly random: () => number;
  readonly onConnection: () => void;
  /** What other processes have under way at a replica. */
  readonly readPeerLoad: (replicaKey: number) => peers.PeerLoad;
}

interface Candidate extends decisions.ReplicaCandidate {
  readonly state: ReplicaState;
}

/** Names a part as it is cached for a model. */
function nameCached(model: string | undefined, partId: string): string {
  return `${model ?? ""}/${partId}`;
}

/** The key of the longest part that other requests share. */
export function findAffinityPart(
  parts: readonly ports.PromptPart[],
): { readonly key: string | undefined; readonly tokens: number } {
  const shared = parts.slice(0, -1);
  const last = shared.at(-1);
  return {
    key: last?.id,
    tokens: shared.reduce((sum, part) => sum + part.tokens, 0),
  };
}

function isSound(state: ReplicaState, nowMs: number): boolean {
  return !state.health.isEjected(nowMs) && state.avoidUntilMs <= nowMs;
}

/** Table of the replicas of all services. */
export class ReplicaTable {
  readonly #options: ReplicaTableOptions;
  readonly #states = new Map<string, ReplicaState>();
  readonly #byService = new Map<string, Set<ReplicaState>>();
  #services: ReadonlyMap<string, bundle.RouteTableService> = new Map();
  #processes: number | undefined;

  constructor(options: ReplicaTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#states.size;
  }

  /** Replicas of a service that are not leaving. */
  listService(service: string): readonly ReplicaState[] {
    return [...this.#byService.get(service) ?? []].filter((state) =>
      !state.entry.isDraining
    );
  }

  /** Replicas of a version of a service. */
  countVersion(service: string, version: string): number {
    return this.listService(service).filter((state) =>
      state.entry.version === version
    ).length;
  }

  /** Takes an entry; another start of a replica begins with nothing learnt. */
  put(entry: ports.ReplicaEntry): void {
    const held = this.#states.get(entry.id);
    const isSame = held !== undefined &&
      held.entry.startedAtMs === entry.startedAtMs &&
      held.entry.service === entry.service &&
      held.entry.address.host === entry.address.host &&
      held.entry.address.port === entry.address.port;
    if (held !== undefined && !isSame) this.remove(entry.id);
    const state: ReplicaState = isSame
      ? Object.assign(held, { entry })
      : this.#create(entry);
    this.#states.set(entry.id, state);
    const members = this.#byService.get(entry.service) ?? new Set();
    members.add(state);
    this.#byService.set(entry.service, members);
  }

  remove(id: string): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    state.isGone = true;
    state.pool.close();
    this.#states.delete(id);
    this.#byService.get(state.entry.service)?.delete(state);
  }

  /** Whether a sound replica is left that may be asked. */
  hasSound(
    service: string,
    options: Pick<PlacementRequest, "excluded" | "side" | "nowMs">,
  ): boolean {
    return this.listService(service).some((state) =>
      !options.excluded.has(state.entry.id) &&
      !options.side.banned.includes(state.entry.version) &&
      !state.pool.isFull && isSound(state, options.nowMs)
    );
  }

  /** Requests of all processes at a service's sound replicas, against their slots. */
  measureOccupancy(service: string, nowMs: number): number {
    let running = 0;
    let slots = 0;
    for (const state of this.listService(service)) {
      if (!isSound(state, nowMs)) continue;
      running += state.inFlight +
        this.#options.readPeerLoad(state.key).running;
      slots += state.entry.slots;
    }
    return slots === 0 ? 0 : running / slots;
  }

  /** Picks a replica on the wanted side of a roll-out, else on the other. */
  pick(request: PlacementRequest): PickedReplica | undefined {
    const usable = this.listService(request.service).filter((state) =>
      !request.excluded.has(state.entry.id) &&
      !request.side.banned.includes(state.entry.version) &&
      (request.needsFresh || !state.pool.isFull)
    );
    const { target, prefersTarget } = request.side;
    const isPreferred = (state: ReplicaState) =>
      target === undefined ||
      (state.entry.version === target) === prefersTarget;
    const preferred = usable.filter(isPreferred);
    const pools = [
      preferred.filter((state) => isSound(state, request.nowMs)),
      // The version matters more than a moment of trouble: sessions keep theirs.
      preferred,
      usable.filter((state) => isSound(state, request.nowMs)),
      usable,
    ];
    const pool = pools.find((states) => states.length > 0);
    return pool === undefined ? undefined : this.#choose(pool, request);
  }

  noteSent(state: ReplicaState, readMs: number): void {
    state.inFlight += 1;
    state.pendingMs += readMs;
  }

  /** The prompt is read: it delays others no more, and its parts are cached. */
  noteRead(
    state: ReplicaState,
    read: {
      readonly model: string | undefined;
      readonly parts: readonly ports.PromptPart[];
      readonly readMs: number;
      readonly nowMs: number;
    },
  ): void {
    state.pendingMs = Math.max(0, state.pendingMs - read.readMs);
    for (const part of read.parts) {
      const name = nameCached(read.model, part.id);
      state.parts.delete(name);
      state.parts.set(name, read.nowMs);
    }
    while (state.parts.size > MAX_PARTS) {
      const [oldest] = state.parts.keys();
      if (oldest === undefined) break;
      state.parts.delete(oldest);
    }
  }

  /** Ends a send; `unreadMs` is what its prompt had left to be read. */
  noteEnded(state: ReplicaState, unreadMs: number): void {
    state.inFlight = Math.max(0, state.inFlight - 1);
    state.pendingMs = Math.max(0, state.pendingMs - unreadMs);
  }

  noteBusy(state: ReplicaState, nowMs: number): void {
    state.avoidUntilMs = nowMs + BUSY_MS;
  }

  noteMisdirected(state: ReplicaState, nowMs: number): void {
    state.avoidUntilMs = nowMs + MISDIRECTED_MS;
  }

  close(): void {
    for (const id of [...this.#states.keys()]) this.remove(id);
  }

  /** Prompts of this process that replicas have still to read. */
  listLoads(): readonly peers.ReplicaLoad[] {
    return [...this.#states.values()].flatMap(({ key, pendingMs }) =>
      pendingMs > 0 ? [{ replicaKey: key, pendingMs }] : []
    );
  }

  /** Requests of this process at each replica. */
  listRunning(): readonly decisions.ReplicaCount[] {
    return [...this.#states.values()].flatMap(({ key, inFlight }) =>
      inFlight > 0 ? [{ replicaKey: key, count: inFlight }] : []
    );
  }

  /** Takes over the services' limits; replicas may be known before they are. */
  takeServices(services: ReadonlyMap<string, bundle.RouteTableService>): void {
    this.#services = services;
    this.#limitConnections();
  }

  /** Processes that share what a replica accepts. */
  setProcesses(processes: number): void {
    this.#processes = processes;
    this.#limitConnections();
  }

  #limitConnections(): void {
    for (const { entry, pool } of this.#states.values()) {
      pool.setLimit(this.#findMaxConnections(entry));
    }
  }

  #findMaxConnections(entry: ports.ReplicaEntry): number {
    const accepted = this.#services.get(entry.service)?.maxConnections ??
      entry.slots;
    return Math.floor(accepted / (this.#processes ?? ASSUMED_PROCESSES));
  }

  #create(entry: ports.ReplicaEntry): ReplicaState {
    return {
      entry,
      key: decisions.hashText(entry.id),
      pool: new connections.ReplicaConnections(entry.address, {
        limit: this.#findMaxConnections(entry),
        onOpened: this.#options.onConnection,
      }),
      health: new decisions.ReplicaHealth(),
      parts: new Map(),
      inFlight: 0,
      pendingMs: 0,
      heardAtMs: -Infinity,
      avoidUntilMs: -Infinity,
      isGone: false,
    };
  }

  #choose(
    states: readonly ReplicaState[],
    request: PlacementRequest,
  ): PickedReplica | undefined {
    const candidates = states.map((state): Candidate => {
      const peerLoad = this.#options.readPeerLoad(state.key);
      return {
        state,
        id: state.entry.id,
        isLocal: state.entry.dataCentre === this.#options.dataCentre,
        inFlight: state.inFlight + peerLoad.running,
        pendingMs: state.pendingMs + peerLoad.pendingMs,
        slots: state.entry.slots,
        cachedTokens: this.#countCached(state, request),
        failureRate: state.health.failureRate,
        meanFirstByteMs: state.health.meanFirstByteMs,
      };
    });
    const affinity = findAffinityPart(request.parts);
    const chosen = decisions.chooseReplica(candidates, {
      promptTokens: request.promptTokens,
      prefillMsPerToken: request.readMsPerToken,
      affinityKey: affinity.key === undefined
        ? undefined
        : nameCached(request.model, affinity.key),
      sharedTokens: affinity.tokens,
    }, this.#options.random);
    return chosen && {
      state: chosen.state,
      cachedTokens: chosen.cachedTokens,
      candidates: candidates.length,
    };
  }

  /** Tokens of the prompt's first parts that the replica read for this model lately. */
  #countCached(state: ReplicaState, request: PlacementRequest): number {
    let tokens = 0;
    for (const part of request.parts) {
      const readAtMs = state.parts.get(nameCached(request.model, part.id));
      if (
        readAtMs === undefined ||
        request.nowMs - readAtMs > this.#options.prefixReuseWindowMs
      ) break;
      tokens += part.tokens;
    }
    return tokens;
  }
}
