/**
 * Picks a replica: bounded-load affinity for sessions and prompt prefixes,
 * otherwise the better of two by predicted load. A report that lags is
 * corrected with what this entry has sent since.
 */
import type * as hash from "./hash.ts";
import { walkRing } from "./hash.ts";

/** A replica as one entry sees it. */
export interface Replica {
  readonly id: string;
  readonly capacity: number;
  /** Running and queued work in the last report. */
  readonly reportedLoad: number;
  /** Work this entry sent that the last report cannot contain yet. */
  readonly sentSinceReport: number;
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
  return (replica.reportedLoad + replica.sentSinceReport) /
    Math.max(1, replica.capacity);
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

function findFrom(
  pool: ReplicaPool,
  start: number,
  skip: Replica | undefined,
): Replica | undefined {
  for (let step = 0; step < pool.size; step += 1) {
    const replica = pool.at((start + step) % pool.size);
    if (replica.isUsable && replica.id !== skip?.id) return replica;
  }
  return undefined;
}

/** Picks the better of two usable replicas drawn at random. */
export function pickOfTwo(
  pool: ReplicaPool,
  random: RandomSource,
): Replica | undefined {
  const draw = () => Math.floor(random() * pool.size);
  const first = findFrom(pool, draw(), undefined);
  if (first === undefined) return undefined;
  const second = findFrom(pool, draw(), first);
  if (second === undefined) return first;
  return isBetter(second, first) ? second : first;
}

/** Load above the mean that affinity always tolerates, in shares of the slots. */
const MIN_AFFINITY_SLACK = 0.1;

/** Picks the replica for a key while its load stays within the bound. */
export function pickByAffinity(
  pool: ReplicaPool,
  key: string,
): Replica | undefined {
  const bound = Math.max(
    pool.meanLoad * AFFINITY_LOAD_BOUND,
    pool.meanLoad + MIN_AFFINITY_SLACK,
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
  return pickOfTwo(pool, options.random);
}
