/**
 * Failures of a version under trial by replica. Those of a faulty replica must not stop
 * its version, so that only some failures of each count.
 */

/** Failures over all replicas that suffice to stop a version, whatever the tests' sums were before. */
export const DECISIVE_FAILURES = 6;
/** Smallest share of a version's replicas that must fail before the version is blamed. */
const FAILING_REPLICA_SHARE = 0.25;
/** Failures of one replica that count in any case, however many replicas there are. */
const MIN_COUNTED_FAILURES = 2;

/** Failures of a replica that count beyond those that half of the replicas have. */
const MAX_EXCESS_FAILURES = 4;

/** Returns how many failures of one replica count as evidence against its version. */
export function getMaxCountedFailures(replicas: number): number {
  return Math.max(
    MIN_COUNTED_FAILURES,
    Math.ceil(DECISIVE_FAILURES / Math.max(1, replicas)),
  );
}

/** Returns how many replicas must fail before their version is blamed. */
export function getMinFailingReplicas(replicas: number): number {
  return replicas <= 2
    ? 1
    : Math.max(2, Math.ceil(FAILING_REPLICA_SHARE * replicas));
}

/** Counts failures by replica. */
export interface FailureTally {
  /** Failures that counted. */
  readonly counted: number;
  readonly replicaKeys: ReadonlySet<number>;
  /** Counts a failure, unless too many of its replica were counted already. */
  tryCount(replicaKey: number, replicas: number): boolean;
}

/** Counts a fixed number of failures of each replica. */
export class CappedTally implements FailureTally {
  readonly #counts = new Map<number, number>();
  #counted = 0;

  get counted(): number {
    return this.#counted;
  }

  get replicaKeys(): ReadonlySet<number> {
    return new Set(this.#counts.keys());
  }

  tryCount(replicaKey: number, replicas: number): boolean {
    const count = (this.#counts.get(replicaKey) ?? 0) + 1;
    if (count > getMaxCountedFailures(replicas)) return false;
    this.#counts.set(replicaKey, count);
    this.#counted += 1;
    return true;
  }
}

/**
 * Counts as many failures of each replica as half of the replicas have, but at least two
 * of them, and a few more.
 * With a fixed number, good answers outweigh the failures of a version that keeps failing
 * a share of its answers.
 */
export class ProportionalTally implements FailureTally {
  /** All failures, also those that did not count. */
  readonly #counts = new Map<number, number>();
  /** Number of replicas with at least as many failures as the index. */
  readonly #replicasByCount: number[] = [];
  /** Failures that half of the replicas have. */
  #usualCount = 0;
  #counted = 0;

  get counted(): number {
    return this.#counted;
  }

  get replicaKeys(): ReadonlySet<number> {
    return new Set(this.#counts.keys());
  }

  tryCount(replicaKey: number, replicas: number): boolean {
    const count = (this.#counts.get(replicaKey) ?? 0) + 1;
    this.#counts.set(replicaKey, count);
    this.#replicasByCount[count] = (this.#replicasByCount[count] ?? 0) + 1;
    const half = Math.max(Math.min(2, replicas), Math.ceil(replicas / 2));
    while ((this.#replicasByCount[this.#usualCount + 1] ?? 0) >= half) {
      this.#usualCount += 1;
    }
    if (count > this.#usualCount + MAX_EXCESS_FAILURES) return false;
    this.#counted += 1;
    return true;
  }
}
