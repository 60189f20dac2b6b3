/**
 * Picks a replica: by consistent hashing with bounded loads where there is an
 * affinity key (a session or prompt prefix), otherwise the one of a small random
 * sample that is predicted to start the work first.
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

/** Load, as a multiple of the pool's mean, up to which affinity is followed. */
const AFFINITY_LOAD_BOUND = 1.25;
/** Load at which all slots are in use. */
const FULL_LOAD = 1;

/** Predicted share of a replica's slots in use. */
export function predictLoad(replica: Replica): number {
  return replica.work / Math.max(1, replica.capacity);
}

/** Predicted time until work that is sent now starts, including the delay to the replica. */
export function predictStartMs(replica: Replica): number {
  const load = predictLoad(replica);
  const waitMs = load < FULL_LOAD
    ? load * replica.serviceMs * BATCH_SLOWDOWN
    : (load - FULL_LOAD) * replica.serviceMs +
      replica.serviceMs * BATCH_SLOWDOWN;
  return replica.delayMs + waitMs;
}

/** Share of the service time by which a full batch delays the start of new work. */
const BATCH_SLOWDOWN = 0.1;

function isBetter(a: Replica, b: Replica): boolean {
  const difference = predictStartMs(a) - predictStartMs(b);
  return difference < 0 ||
    (difference === 0 && predictLoad(a) < predictLoad(b));
}

/** Replicas that serve the same name. Their state is computed when it is read. */
export interface ReplicaPool {
  readonly size: number;
  readonly ring: hash.HashRing;
  /** Mean predicted load of the usable replicas. */
  readonly meanLoad: number;
  at(index: number): Replica;
}

function findUsableFrom(pool: ReplicaPool, start: number): Replica | undefined {
  for (let step = 0; step < pool.size; step += 1) {
    const replica = pool.at((start + step) % pool.size);
    if (replica.isUsable) return replica;
  }
  return undefined;
}

/** Largest number of replicas that are compared; smaller pools are compared completely. */
const MAX_CANDIDATES = 16;

/** Picks the best usable replica of a random sample, or of the whole pool if it is small. */
export function pickBySampling(
  pool: ReplicaPool,
  random: RandomSource,
): Replica | undefined {
  const coversPool = pool.size <= MAX_CANDIDATES;
  const first = Math.floor(random() * pool.size);
  let best: Replica | undefined;
  for (let step = 0; step < Math.min(MAX_CANDIDATES, pool.size); step += 1) {
    const at = coversPool ? first + step : Math.floor(random() * pool.size);
    const replica = pool.at(at % pool.size);
    if (!replica.isUsable) continue;
    if (best === undefined || isBetter(replica, best)) best = replica;
  }
  // All sampled replicas may be unusable while others in the pool are not.
  return best ?? findUsableFrom(pool, first);
}

/** Affinity is not followed above this load: no slot is free, and a cached prefix does not outweigh the wait. */
const MAX_AFFINITY_LOAD = 1;

/** Load above the mean that affinity always tolerates, as a share of the slots. */
const MIN_AFFINITY_SLACK = 0.1;

/** Picks the first replica on the ring, from a key on, whose load is within the bound. */
export function pickByAffinity(
  pool: ReplicaPool,
  key: string,
): Replica | undefined {
  const bound = Math.min(
    MAX_AFFINITY_LOAD,
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

/** Picks a replica by affinity if possible, otherwise by sampling. */
export function pickReplica(
  pool: ReplicaPool,
  options: {
    readonly affinityKey: string | undefined;
    readonly random: RandomSource;
  },
): Replica | undefined {
  if (options.affinityKey !== undefined) {
    const preferred = pickByAffinity(pool, options.affinityKey);
    if (preferred !== undefined) return preferred;
  }
  return pickBySampling(pool, options.random);
}
