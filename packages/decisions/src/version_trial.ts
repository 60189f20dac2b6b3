/**
 * Judges a version under trial by its answers: each route on its own, and all
 * together. One replica in trouble is no sign against its version, so that each
 * replica adds only few failures.
 */
import * as guards from "./rollout_guard.ts";

/** Answers of the new version before its failures may stop it. */
const MIN_SAMPLES = 6;
/** Increase of the failure rate that stops a version. */
const MAX_ERROR_INCREASE = 0.15;
/** An answer so many times slower than the stable version's mean counts as a failure. */
const SLOW_FACTOR = 4;
/** Differences below this are no sign of a slow version. */
const SLOW_FLOOR_MS = 40;
const MIN_PACE_SAMPLES = 8;
const PACE_WEIGHT = 0.05;
/** Failures of all replicas together that stop a version from any state of the test. */
const DECISIVE_FAILURES = 6;
/** Share of its replicas that fail where a version is to blame. */
const FAILING_REPLICA_SHARE = 0.25;
/** Name of the test over all routes. */
const WHOLE_VERSION = "";
/** Failures of one replica that count where there are many. */
const REPLICA_FAILURES = 2;

/** An answer as evidence. */
export interface VersionOutcome {
  readonly route: string;
  readonly replicaKey: number;
  readonly model: string | undefined;
  readonly result: "whole" | "failed" | "lost";
  /** Time to the first byte, or between events; absent where there is none. */
  readonly paceMs: number | undefined;
  /** Steady times of sending and of the end. */
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/** Answers that were lost at a replica which may have fallen over. */
interface PendingLoss {
  readonly routes: string[];
  newestAtMs: number;
}

interface Pace {
  samples: number;
  meanMs: number;
}

/** Failures of one replica that count as evidence against its version. */
export function getMaxCountedFailures(replicas: number): number {
  return Math.max(
    REPLICA_FAILURES,
    Math.ceil(DECISIVE_FAILURES / Math.max(1, replicas)),
  );
}

/** Replicas that must fail before their version is to blame. */
export function getMinFailingReplicas(replicas: number): number {
  return replicas <= 2
    ? 1
    : Math.max(2, Math.ceil(FAILING_REPLICA_SHARE * replicas));
}

/** A number of requests at a replica. */
export interface ReplicaCount {
  /** Hash of the replica's id: five bytes instead of a name. */
  readonly replicaKey: number;
  readonly count: number;
}

/** Answers of the version on one route. */
export interface RouteEvidence {
  readonly route: string;
  readonly answers: number;
  readonly failures: readonly ReplicaCount[];
}

/** What one process saw on one route. */
class RouteCount {
  answers = 0;
  readonly failures = new Map<number, number>();
}

/** The evidence on one order: of this process, and what others tell. */
export class VersionTrial {
  readonly #guards = new Map<string, guards.RolloutGuard>();
  readonly #paces = new Map<string, Pace>();
  readonly #failuresByReplica = new Map<number, number>();
  readonly #own = new Map<string, RouteCount>();
  readonly #losses = new Map<number, PendingLoss>();
  #verdict: string | undefined;
  #failures = 0;
  #samples = 0;

  /** Why the version should be stopped; it stays once it is set. */
  get verdict(): string | undefined {
    return this.#verdict;
  }

  get evidence(): {
    readonly failures: number;
    readonly samples: number;
    readonly failingReplicas: number;
  } {
    return {
      failures: this.#failures,
      samples: this.#samples,
      failingReplicas: this.#failuresByReplica.size,
    };
  }

  /** What this process saw itself. */
  listLocalEvidence(): readonly RouteEvidence[] {
    return [...this.#own].map(([route, { answers, failures }]) => ({
      route,
      answers,
      failures: [...failures].map(([replicaKey, count]) => ({
        replicaKey,
        count,
      })),
    }));
  }

  /** Takes an answer of the version under trial, or of the stable one. */
  recordOutcome(
    outcome: VersionOutcome,
    of: {
      readonly isTarget: boolean;
      /** Replicas of the version under trial. */
      readonly replicas: number;
    },
  ): void {
    const { route, replicaKey } = outcome;
    const { isTarget, replicas } = of;
    if (outcome.result === "lost") {
      if (isTarget) this.#noteLoss(outcome);
      return;
    }
    const isBad = outcome.result === "failed" ||
      this.#isSlow(outcome, isTarget);
    if (!isTarget) {
      this.#guard(route).recordStableOutcome(isBad);
      this.#guard(WHOLE_VERSION).recordStableOutcome(isBad);
      return;
    }
    const loss = this.#losses.get(replicaKey);
    if (loss !== undefined && outcome.sentAtMs > loss.newestAtMs) {
      this.#losses.delete(replicaKey);
      for (const lost of loss.routes) {
        this.#recordOwn(lost, { replicaKey, replicas, isBad: true });
      }
    }
    this.#recordOwn(route, { replicaKey, replicas, isBad });
  }

  /**
   * A replica that fell over takes its losses with it: they count once it has
   * answered a later request.
   */
  #noteLoss({ route, replicaKey, endedAtMs }: VersionOutcome): void {
    const held = this.#losses.get(replicaKey) ??
      { routes: [], newestAtMs: endedAtMs };
    held.newestAtMs = endedAtMs;
    if (held.routes.length < DECISIVE_FAILURES) held.routes.push(route);
    this.#losses.set(replicaKey, held);
  }

  #recordOwn(
    route: string,
    answer: {
      readonly replicaKey: number;
      readonly replicas: number;
      readonly isBad: boolean;
    },
  ): void {
    const { replicaKey, replicas, isBad } = answer;
    const own = this.#own.get(route) ?? new RouteCount();
    this.#own.set(route, own);
    own.answers += 1;
    if (isBad) {
      own.failures.set(replicaKey, (own.failures.get(replicaKey) ?? 0) + 1);
    }
    this.#record(route, isBad ? replicaKey : undefined, replicas);
  }

  /** Takes what another process saw since it was last heard. */
  recordPeerEvidence(evidence: RouteEvidence, replicas: number): void {
    const { route, answers, failures } = evidence;
    const failing = failures.flatMap(({ replicaKey, count }) =>
      Array.from({ length: count }, () => replicaKey)
    );
    // Spread evenly: their order is not known, and a run of failures weighs more.
    for (let at = 0; at < answers; at += 1) {
      const before = Math.floor(at * failing.length / answers);
      const after = Math.floor((at + 1) * failing.length / answers);
      const replicaKey = after > before ? failing[before] : undefined;
      this.#record(route, replicaKey, replicas);
    }
  }

  #record(
    route: string,
    failingReplica: number | undefined,
    replicas: number,
  ): void {
    const isBad = failingReplica !== undefined;
    if (isBad && !this.#countFailure(failingReplica, replicas)) return;
    this.#samples += 1;
    for (const name of [route, WHOLE_VERSION]) {
      const guard = this.#guard(name);
      guard.recordRollingOutcome(isBad);
      if (this.#verdict !== undefined || !guard.isErrorBoundExceeded) continue;
      if (this.#failuresByReplica.size < getMinFailingReplicas(replicas)) {
        continue;
      }
      this.#verdict = `${this.#failures} of ${this.#samples} answers were bad` +
        (name === WHOLE_VERSION ? "" : `, on route ${name}`);
    }
  }

  /** Whether a failure counts: the replica has not used up its part. */
  #countFailure(replicaKey: number, replicas: number): boolean {
    const count = (this.#failuresByReplica.get(replicaKey) ?? 0) + 1;
    if (count > getMaxCountedFailures(replicas)) return false;
    this.#failuresByReplica.set(replicaKey, count);
    this.#failures += 1;
    return true;
  }

  #isSlow(outcome: VersionOutcome, isTarget: boolean): boolean {
    const { paceMs } = outcome;
    if (paceMs === undefined) return false;
    const key = `${outcome.route}/${outcome.model ?? ""}`;
    const pace = this.#paces.get(key) ?? { samples: 0, meanMs: paceMs };
    this.#paces.set(key, pace);
    const isSlow = pace.samples >= MIN_PACE_SAMPLES &&
      paceMs > SLOW_FACTOR * pace.meanMs + SLOW_FLOOR_MS;
    if (!isTarget) {
      pace.samples += 1;
      pace.meanMs += Math.max(PACE_WEIGHT, 1 / pace.samples) *
        (Math.min(paceMs, SLOW_FACTOR * pace.meanMs + SLOW_FLOOR_MS) -
          pace.meanMs);
    }
    return isSlow;
  }

  #guard(name: string): guards.RolloutGuard {
    const held = this.#guards.get(name);
    if (held !== undefined) return held;
    const guard = new guards.RolloutGuard({
      minSamples: MIN_SAMPLES,
      maxErrorIncrease: MAX_ERROR_INCREASE,
      maxRatingDecrease: 1,
    });
    this.#guards.set(name, guard);
    return guard;
  }
}
