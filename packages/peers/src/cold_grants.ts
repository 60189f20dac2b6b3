/**
 * Which replicas are cold, as one process knows, and the requests to them that it
 * grants as their owner or deputy. A process that has started lately, or is neither
 * by its own view, grants nothing: the sum over all processes counts.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as owners from "./replica_owners.ts";

/** A new process may not know its peers yet, and would take itself for the owner. */
const SETTLE_MS = 2_500;
/** Time for which a new owner grants no more than a deputy, as the one before may go on. */
const HANDOVER_MS = 2_000;
/** Requests sent before a replica was known to be cold count in windows of this length. */
const WINDOW_MS = 1_000;
/** With at most this many requests running, those of the last second leave enough of the bound. */
const MAX_UNHEEDED_REQUESTS = 6;
/** Shorter remainders are not taken over from others, since messages take their time. */
const MIN_LEARNT_MS = 150;
/** After the end of a cold time, who read the entry late still tells of its rest. */
const LATE_READER_MS = 1_000;
const MAX_LEARNT_MS = 60_000;
/** Wait that is answered where this process may grant nothing at all. */
const NO_GRANT_WAIT_MS = 500;
const MAX_KNOWN_REPLICAS = 4_096;

export interface ColdGrantsOptions {
  readonly clock: kernel.Clock;
  readonly owners: owners.ReplicaOwners;
  /** Limit of a replica while it is cold; absent if it has none or is not known. */
  readonly findLimit: (
    replicaKey: number,
  ) => decisions.ColdLimit | undefined;
  /** Requests of all processes that run at a replica, as far as this process knows. */
  readonly countRunning: (replicaKey: number) => number;
  /** Called when another process has told that a replica is cold. */
  readonly onLearnt?: (replicaKey: number, remainingMs: number) => void;
}

interface ColdReplica {
  untilMs: number;
  /** Until then, requests of before count as well, and none is granted. */
  pausedUntilMs: number;
  role: decisions.GrantorRole | undefined;
  roleSinceMs: number;
  readonly account: decisions.RateAccount;
}

export class ColdGrants {
  readonly #options: ColdGrantsOptions;
  readonly #replicas = new Map<number, ColdReplica>();
  readonly #settledAtMs: number;

  constructor(options: ColdGrantsOptions) {
    this.#options = options;
    this.#settledAtMs = this.#nowMs + SETTLE_MS;
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  /** Time for which a replica is cold; 0 if it is warm. */
  findRemainingMs(replicaKey: number): number {
    const cold = this.#replicas.get(replicaKey);
    return cold === undefined ? 0 : Math.max(0, cold.untilMs - this.#nowMs);
  }

  /** Requests per second that a replica takes while it is cold; absent if it is warm. */
  readRate(replicaKey: number): number | undefined {
    return this.findRemainingMs(replicaKey) > 0
      ? this.#options.findLimit(replicaKey)?.requestsPerS
      : undefined;
  }

  /** Number of replicas that are cold now. */
  countCold(): number {
    return this.listCold().length;
  }

  /** Keys of the replicas that are cold now. */
  listCold(): readonly number[] {
    const nowMs = this.#nowMs;
    return [...this.#replicas].flatMap(([key, { untilMs }]) =>
      untilMs > nowMs ? [key] : []
    );
  }

  /**
   * Records that a replica is cold for a time. One that is in use may have got many
   * requests in the last second; nothing is granted until they count no more.
   */
  record(replicaKey: number, remainingMs: number): void {
    const nowMs = this.#nowMs;
    const untilMs = nowMs + remainingMs;
    const known = this.#replicas.get(replicaKey);
    if (known !== undefined && known.untilMs > nowMs) {
      // The entry's newest statement is the most exact.
      known.untilMs = untilMs;
      return;
    }
    const { owners, countRunning } = this.#options;
    const role = owners.findOwnRole(replicaKey);
    const isBusy = countRunning(replicaKey) > MAX_UNHEEDED_REQUESTS;
    this.#replicas.delete(replicaKey);
    this.#replicas.set(replicaKey, {
      untilMs,
      pausedUntilMs: isBusy ? nowMs + WINDOW_MS : nowMs,
      role,
      roleSinceMs: known !== undefined && known.role === role
        ? known.roleSinceMs
        : -Infinity,
      account: new decisions.RateAccount(nowMs, 0),
    });
    decisions.trimOldest(this.#replicas, MAX_KNOWN_REPLICAS);
  }

  /** Records what another process tells; it never prolongs a time that is known to run. */
  learn(replicaKey: number, remainingMs: number): void {
    const sinceEndMs = this.#nowMs -
      (this.#replicas.get(replicaKey)?.untilMs ?? -Infinity);
    const leastMs = sinceEndMs < LATE_READER_MS
      ? LATE_READER_MS
      : MIN_LEARNT_MS;
    if (sinceEndMs < 0 || remainingMs < leastMs) return;
    const boundedMs = Math.min(MAX_LEARNT_MS, remainingMs);
    this.record(replicaKey, boundedMs);
    this.#options.onLearnt?.(replicaKey, boundedMs);
  }

  /** Time until this process would grant a request; 0 if it would now, or the replica is warm. */
  findGrantWaitMs(replicaKey: number, isPreferred: boolean): number {
    const nowMs = this.#nowMs;
    const cold = this.#replicas.get(replicaKey);
    if (cold === undefined || cold.untilMs <= nowMs) return 0;
    const bucket = this.#findBucket(replicaKey, cold);
    if (bucket === undefined) return NO_GRANT_WAIT_MS;
    if (cold.pausedUntilMs > nowMs) return cold.pausedUntilMs - nowMs;
    const needed = decisions.computeNeededTokens(bucket, isPreferred);
    return cold.account.findWaitMs(bucket, nowMs, needed);
  }

  /** Counts a request that was granted. */
  recordGrant(replicaKey: number): void {
    if (this.findRemainingMs(replicaKey) === 0) return;
    this.#replicas.get(replicaKey)?.account.takeOne();
  }

  #findBucket(
    replicaKey: number,
    cold: ColdReplica,
  ): decisions.TokenBucket | undefined {
    const { owners, findLimit } = this.#options;
    const nowMs = this.#nowMs;
    const role = owners.findOwnRole(replicaKey);
    if (role !== cold.role) {
      cold.role = role;
      cold.roleSinceMs = nowMs;
    }
    const limit = findLimit(replicaKey);
    if (limit === undefined || role === undefined) return undefined;
    if (nowMs < this.#settledAtMs) return undefined;
    const isNew = nowMs - cold.roleSinceMs < HANDOVER_MS;
    return decisions.computeGrantorBucket(limit, isNew ? "deputy" : role);
  }
}
