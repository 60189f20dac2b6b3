/**
 * Tells from the replicas' entries which of them are cold, and what they bear
 * meanwhile. The processes of the installation grant requests to them one by one;
 * see `peers.RateExchange`.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as prefixes from "./prefix_memory.ts";
import type * as groups from "./replica_group.ts";

const MAX_KNOWN_REPLICAS = 4_096;

/** Dependencies. */
export interface ColdReplicasOptions {
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly bound: ports.ColdRateBound | undefined;
  /** Whether the first full read of the control plane has been applied. */
  readonly hasView: () => boolean;
  readonly recordCold: (replicaKey: number, remainingMs: number) => void;
  readonly isCold: (replicaKey: number) => boolean;
}

interface KnownReplica {
  readonly entry: ports.ReplicaEntry;
  isRemoved: boolean;
}

/** Whether a request goes first at a cold replica that was picked for it among `states`. */
export function isPreferredWhileCold(
  { state, cachedTokens }: groups.PickedReplica,
  { model, parts, promptTokens, prefillMsPerToken }: groups.PlacementRequest,
  states: readonly groups.ReplicaState[],
): boolean {
  const { key } = prefixes.findSharedPrefix(parts);
  if (key === undefined) return false;
  const [home] = decisions.findRendezvousHomes(
    states.map((each) => each.key),
    prefixes.buildCacheKey(model, key),
    1,
  );
  return decisions.isPreferredWhileCold({
    isHome: home !== undefined && states[home] === state,
    prefillMs: (promptTokens - cachedTokens) * prefillMsPerToken,
  });
}

/** The replicas that may become cold. */
export class ColdReplicas {
  readonly #options: ColdReplicasOptions;
  /** Also replicas that were removed, whose entries may come back. */
  readonly #replicas = new Map<number, KnownReplica>();
  /** Entries whose service was not known yet, with their place in the view. */
  readonly #waiting = new Map<number, { readonly isFirstView: boolean }>();
  readonly #warmTimers = new Map<number, NodeJS.Timeout>();
  #services: ReadonlyMap<string, bundle.RouteTableService> = new Map();

  constructor(options: ColdReplicasOptions) {
    this.#options = options;
  }

  /** What a replica bears while it is cold; absent without a bound. */
  findLimit(replicaKey: number): decisions.ColdLimit | undefined {
    const { bound } = this.#options;
    const known = this.#replicas.get(replicaKey);
    if (bound === undefined || known === undefined) return undefined;
    const service = this.#services.get(known.entry.service);
    const requestsPerS = service?.coldStart?.requestsPerS;
    return requestsPerS === undefined ? undefined : { ...bound, requestsPerS };
  }

  /** Applies a replica's entry. */
  put(entry: ports.ReplicaEntry): void {
    if (this.#options.bound === undefined) return;
    const key = decisions.hashText(entry.id);
    const previous = this.#replicas.get(key);
    this.#replicas.delete(key);
    this.#replicas.set(key, { entry, isRemoved: false });
    decisions.trimOldest(this.#replicas, MAX_KNOWN_REPLICAS);
    const isFirstView = !this.#options.hasView();
    if (this.#services.has(entry.service)) {
      return this.#judge(key, entry, { previous, isFirstView });
    }
    this.#waiting.set(key, { isFirstView });
    decisions.trimOldest(this.#waiting, MAX_KNOWN_REPLICAS);
  }

  /** Notes that an entry is gone; what it said is no longer known to hold. */
  remove(id: string): void {
    const known = this.#replicas.get(decisions.hashText(id));
    if (known !== undefined) known.isRemoved = true;
  }

  /** Applies the services, which may arrive after their replicas. */
  setServices(services: ReadonlyMap<string, bundle.RouteTableService>): void {
    this.#services = services;
    for (const [key, { isFirstView }] of [...this.#waiting]) {
      const entry = this.#replicas.get(key)?.entry;
      if (entry !== undefined && !services.has(entry.service)) continue;
      this.#waiting.delete(key);
      if (entry === undefined) continue;
      this.#judge(key, entry, { previous: undefined, isFirstView });
    }
  }

  /** Logs what another process has told. */
  recordLearnt(replicaKey: number, remainingMs: number): void {
    this.#logCold(replicaKey, remainingMs, "another process");
  }

  close(): void {
    for (const timer of this.#warmTimers.values()) clearTimeout(timer);
    this.#warmTimers.clear();
  }

  #judge(
    key: number,
    entry: ports.ReplicaEntry,
    context: {
      readonly previous: KnownReplica | undefined;
      readonly isFirstView: boolean;
    },
  ): void {
    const coldStart = this.#services.get(entry.service)?.coldStart;
    if (coldStart === undefined) return;
    const { previous, isFirstView } = context;
    const finding = decisions.findColdness(entry, {
      previous: previous && {
        startedAtMs: previous.entry.startedAtMs,
        // An entry that has come back says its remaining time anew.
        coldForMs: previous.isRemoved ? 0 : previous.entry.coldForMs,
      },
      durationMs: coldStart.durationMs,
      isFirstView,
      wallMs: this.#options.clock.wallMs(),
    });
    if (finding === undefined) return;
    const { remainingMs, evidence } = finding;
    this.#options.recordCold(key, remainingMs);
    this.#logCold(key, remainingMs, evidence);
  }

  #logCold(key: number, remainingMs: number, evidence: string): void {
    const entry = this.#replicas.get(key)?.entry;
    if (entry === undefined) return;
    const { id, service, coldForMs, startedAtMs } = entry;
    this.#options.log.addNotable("replica.cold", {
      replica: id,
      service,
      evidence,
      remainingMs: Math.round(remainingMs),
      statedMs: coldForMs,
      startedAtMs,
    });
    this.#scheduleWarmLog(key, id, remainingMs);
  }

  #scheduleWarmLog(key: number, id: string, remainingMs: number): void {
    clearTimeout(this.#warmTimers.get(key));
    const timer = setTimeout(() => {
      this.#warmTimers.delete(key);
      if (this.#options.isCold(key)) return;
      this.#options.log.addNotable("replica.warm", {
        replica: id,
        coldMs: Math.round(remainingMs),
      });
    }, remainingMs + 1);
    timer.unref();
    this.#warmTimers.set(key, timer);
  }
}
