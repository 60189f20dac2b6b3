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

function findFrom(
  replicas: readonly Replica[],
  start: number,
  skip: number | undefined,
): number | undefined {
  for (let step = 0; step < replicas.length; step += 1) {
    const at = (start + step) % replicas.length;
    if (at !== skip && replicas[at]?.isUsable === true) return at;
  }
  return undefined;
}

/** Picks the better of two usable replicas drawn at random. */
export function pickOfTwo(
  replicas: readonly Replica[],
  random: RandomSource,
): Replica | undefined {
  const draw = () => Math.floor(random() * replicas.length);
  const first = findFrom(replicas, draw(), undefined);
  if (first === undefined) return undefined;
  const second = findFrom(replicas, draw(), first);
  const a = replicas[first] as Replica;
  if (second === undefined) return a;
  const b = replicas[second] as Replica;
  return isBetter(b, a) ? b : a;
}

/** Pool of replicas that serve the same thing. */
export interface ReplicaPool {
  readonly replicas: readonly Replica[];
  readonly ring: hash.HashRing;
  /** Mean predicted load of the usable replicas. */
  readonly meanLoad: number;
}

/** Picks the replica for a key while its load stays within the bound. */
export function pickByAffinity(
  pool: ReplicaPool,
  key: string,
): Replica | undefined {
  const bound = Math.max(
    pool.meanLoad * AFFINITY_LOAD_BOUND,
    pool.meanLoad + MIN_AFFINITY_SLACK,
  );
  const at = walkRing(pool.ring, key, (index) => {
    const replica = pool.replicas[index];
    return replica !== undefined && replica.isUsable &&
      predictLoad(replica) <= bound;
  });
  return at === undefined ? undefined : pool.replicas[at];
}

/** Load above the mean that affinity always tolerates, in shares of the slots. */
const MIN_AFFINITY_SLACK = 0.1;

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
  return pickOfTwo(pool.replicas, options.random);
}
