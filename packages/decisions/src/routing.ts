/**
 * Picks a replica: bounded-load affinity for sessions and prompt prefixes,
 * otherwise the best of a few by predicted load.
 */
import type * as hash from "./hash.ts";
import { walkRing } from "./hash.ts";

/** A replica as one entry sees it. */
export interface Replica {
  readonly id: string;
  readonly capacity: number;
  /** Predicted running and queued work. */
  readonly work: number;
  /** Estimated one-way delay to the replica. */
  readonly delayMs: number;
  /** Estimated time that one unit of work holds a slot. */
  readonly serviceMs: number;
  readonly isUsable: boolean;
}

/** Uniform random number in [0, 1). */
export type RandomSource = () => number;

const AFFINITY_LOAD_BOUND = 1.25;
const FULL_LOAD = 1;

/** Predicted share of a replica's slots in use. */
export function predictLoad(replica: Replica): number {
  return replica.work / Math.max(1, replica.capacity);
}

/** Predicted time until work sent now would start, plus the way there. */
export function predictStartMs(replica: Replica): number {
  const load = predictLoad(replica);
  const waitMs = load < FULL_LOAD
    ? load * replica.serviceMs * BATCH_SLOWDOWN
    : (load - FULL_LOAD) * replica.serviceMs +
      replica.serviceMs * BATCH_SLOWDOWN;
  return replica.delayMs + waitMs;
}

/** Share of the service time by which a full batch delays a new start. */
const BATCH_SLOWDOWN = 0.1;

function isBetter(a: Replica, b: Replica): boolean {
  const difference = predictStartMs(a) - predictStartMs(b);
  return difference < 0 ||
    (difference === 0 && predictLoad(a) < predictLoad(b));
}

/** Replicas that serve the same thing, looked at one by one. */
export interface ReplicaPool {
  readonly size: number;
  readonly ring: hash.HashRing;
  /** Mean predicted load of the usable replicas. */
  readonly meanLoad: number;
  at(index: number): Replica;
}

function findFrom(pool: ReplicaPool, start: number): Replica | undefined {
  for (let step = 0; step < pool.size; step += 1) {
    const replica = pool.at((start + step) % pool.size);
    if (replica.isUsable) return replica;
  }
  return undefined;
}

/** Replicas that one choice looks at; smaller pools are looked through whole. */
const CANDIDATES = 16;

/** Picks the best of a few usable replicas, from a random start on. */
export function pickBySampling(
  pool: ReplicaPool,
  random: RandomSource,
): Replica | undefined {
  const isWhole = pool.size <= CANDIDATES;
  const first = Math.floor(random() * pool.size);
  let best: Replica | undefined;
  for (let step = 0; step < Math.min(CANDIDATES, pool.size); step += 1) {
    const at = isWhole ? first + step : Math.floor(random() * pool.size);
    const replica = pool.at(at % pool.size);
    if (!replica.isUsable) continue;
    if (best === undefined || isBetter(replica, best)) best = replica;
  }
  // All that were drawn may be gone while others are left.
  return best ?? findFrom(pool, first);
}

/** A replica beyond this has no slot free: a cached prefix does not make up for the wait. */
const FREE_SLOT_LOAD = 1;

/** Load above the mean that affinity always tolerates, in shares of the slots. */
const MIN_AFFINITY_SLACK = 0.1;

/** Picks the replica for a key while its load stays within the bound. */
export function pickByAffinity(
  pool: ReplicaPool,
  key: string,
): Replica | undefined {
  const bound = Math.min(
    FREE_SLOT_LOAD,
    Math.max(
      pool.meanLoad * AFFINITY_LOAD_BOUND,
      pool.meanLoad + MIN_AFFINITY_SLACK,
    ),
  );
  let picked: Replica | undefined;
  walkRing(pool.ring, key, (index) => {
    const replica = pool.at(index);
    if (!replica.isUsable || predictLoad(replica) > bound) return false;
    picked = replica;
    return true;
  });
  return picked;
}

/** Picks a replica; the affinity key may be absent. */
export function pickReplica(
  pool: ReplicaPool,
  options: {
    readonly affinityKey: string | undefined;
    readonly random: RandomSource;
  },
): Replica | undefined {
  if (options.affinityKey !== undefined) {
    const near = pickByAffinity(pool, options.affinityKey);
    if (near !== undefined) return near;
  }
  return pickBySampling(pool, options.random);
}
