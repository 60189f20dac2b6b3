/**
 * Judges a version under trial by its answers, for each route and for all routes
 * together, against the stable version. Only few failures of each replica count,
 * so that one faulty replica does not stop its version.
 */
import * as tallies from "./failure_tally.ts";
import * as gaps from "./gap_baseline.ts";
import * as guards from "./rollout_guard.ts";

/** Answers of the new version that are needed before its failures can stop it. */
const MIN_SAMPLES = 6;
/** Increase of the failure rate that stops a version. */
const MAX_ERROR_INCREASE = 0.15;
/** Increase of the share of slow streams that does; cold caches slow some streams of any version. */
const MAX_SLOW_INCREASE = 0.3;
/** An answer this many times slower than the stable version's mean counts as a failure. */
const SLOW_FACTOR = 4;
/** Added to that limit, because small differences in time do not show that a version is slow. */
const SLOW_MARGIN_MS = 40;
/** Stable answers that are needed before answers are compared with their mean. */
const MIN_PACE_SAMPLES = 8;
/** Weight of the newest stable answer in the mean. */
const PACE_WEIGHT = 0.05;
/** Name of the test over all routes. */
const ALL_ROUTES = "";
/**
 * Name of the test over streams alone, told to peers like a route's. Slow streams are a
 * small part of all answers where most are dropped after their head.
 */
const STREAM_PACES = "~stream-paces";
/** The same for the test whether most streams are slower than most stable ones are. */
const RAISED_PACES = "~raised-paces";
/** Share of raised streams up to which a version is not blamed, and the share that the test detects. */
const MAX_USUAL_RAISED_SHARE = 0.45;
const MIN_RAISED_SHARE = 0.95;
const MIN_RAISED_INCREASE = 0.1;

/** Result of one request, as evidence for or against its version. */
export interface VersionOutcome {
  readonly route: string;
  readonly replicaKey: number;
  /** Paces are only compared among answers of the same route and model. */
  readonly model: string | undefined;
  /** `lost`: the request was sent, but no complete answer was received. */
  readonly result: "whole" | "failed" | "lost";
  /** Time to the headers or the end of the answer, or between its events; absent if not measured. */
  readonly paceMs: number | undefined;
  /** Monotonic time. */
  readonly sentAtMs: number;
  /** Monotonic time. */
  readonly endedAtMs: number;
}

/** Pace of a stream as evidence on its version. */
export interface StreamEvidence
  extends Pick<VersionOutcome, "route" | "replicaKey" | "model"> {
  readonly pace: gaps.StreamPace;
}

/** What a version is to a trial. */
export interface VersionContext {
  /** Whether it is the version under trial. */
  readonly isTarget: boolean;
  /** Number of replicas of the version under trial. */
  readonly replicas: number;
}

/** Answers lost at a replica that may have crashed. */
interface PendingLoss {
  readonly routes: string[];
  newestAtMs: number;
}

/** Mean pace of the stable version's answers on one route and model. */
interface PaceBaseline {
  samples: number;
  meanMs: number;
}

/** Number of requests at a replica. */
export interface ReplicaCount {
  /** Hash of the replica's ID, which takes five bytes in a report instead of a name. */
  readonly replicaKey: number;
  readonly count: number;
}

/** Answers of the version under trial on one route, and how many of them failed. */
export interface RouteOutcomes {
  readonly route: string;
  readonly answers: number;
  readonly failures: readonly ReplicaCount[];
}

/** Answers that this process received on one route. */
class RouteCounts {
  answers = 0;
  readonly failures = new Map<number, number>();
}

/** The trial of one roll-out order's version, with the evidence of this process and of its peers. */
export class VersionTrial {
  readonly #guards = new Map<string, guards.RolloutGuard>();
  readonly #paceBaselines = new Map<string, PaceBaseline>();
  readonly #gapBaselines = new Map<string | undefined, gaps.GapBaseline>();
  readonly #failures = new tallies.CappedTally();
  readonly #slowStreams = new tallies.CappedTally();
  readonly #raisedStreams = new tallies.ProportionalTally();
  readonly #localCounts = new Map<string, RouteCounts>();
  readonly #losses = new Map<number, PendingLoss>();
  #verdict: string | undefined;
  #samples = 0;

  /** Why the version should be stopped; never cleared once it is set. */
  get verdict(): string | undefined {
    return this.#verdict;
  }

  /** Counts for the log, named like its fields. */
  get evidence(): {
    readonly failures: number;
    readonly samples: number;
    readonly failingReplicas: number;
    /** Streams that are slower than most stable ones are. */
    readonly raisedStreams: number;
  } {
    return {
      failures: this.#failures.counted + this.#slowStreams.counted,
      samples: this.#samples,
      failingReplicas: new Set([
        ...this.#failures.replicaKeys,
        ...this.#slowStreams.replicaKeys,
      ]).size,
      raisedStreams: this.#raisedStreams.counted,
    };
  }

  /** Returns what this process observed itself, to be sent to its peers. */
  listLocalOutcomes(): readonly RouteOutcomes[] {
    return [...this.#localCounts].map(([route, { answers, failures }]) => ({
      route,
      answers,
      failures: [...failures].map(([replicaKey, count]) => ({
        replicaKey,
        count,
      })),
    }));
  }

  /** Records an answer of the version under trial or of the stable version. */
  recordOutcome(
    outcome: VersionOutcome,
    context: VersionContext,
  ): void {
    const { route, replicaKey } = outcome;
    const { isTarget, replicas } = context;
    if (outcome.result === "lost") {
      if (isTarget) this.#deferLoss(outcome);
      return;
    }
    const isBad = outcome.result === "failed" ||
      this.#isSlow(outcome, isTarget);
    if (!isTarget) return this.#recordStable(route, isBad);
    const pendingLoss = this.#losses.get(replicaKey);
    if (
      pendingLoss !== undefined && outcome.sentAtMs > pendingLoss.newestAtMs
    ) {
      this.#losses.delete(replicaKey);
      for (const lostRoute of pendingLoss.routes) {
        this.#recordLocal(lostRoute, { replicaKey, replicas, isBad: true });
      }
    }
    this.#recordLocal(route, { replicaKey, replicas, isBad });
  }

  /** Whether a stream is slower than the stable version's at a similar load. */
  isSlowStream({ model, pace }: StreamEvidence): boolean {
    const limitMs = this.#gapBaselines.get(model)?.computeLimitMs(pace.load);
    return limitMs !== undefined && pace.medianGapMs > limitMs;
  }

  /** Judges the pace of a stream, which may still be under way; returns whether it is slow. */
  recordStream(evidence: StreamEvidence, context: VersionContext): boolean {
    const { route, replicaKey, model, pace } = evidence;
    const { isTarget, replicas } = context;
    const isBad = this.isSlowStream(evidence);
    const isRaised = this.#gapBaselines.get(model)?.isRaised(pace);
    if (isTarget) {
      this.#recordLocal(route, { replicaKey, replicas, isBad: false });
      this.#recordLocal(STREAM_PACES, { replicaKey, replicas, isBad });
      if (isRaised === undefined) return isBad;
      this.#recordLocal(RAISED_PACES, {
        replicaKey,
        replicas,
        isBad: isRaised,
      });
    } else {
      const baseline = this.#gapBaselines.get(model) ?? new gaps.GapBaseline();
      this.#gapBaselines.set(model, baseline);
      baseline.add(pace);
      this.#recordStable(route, false);
      this.#guard(STREAM_PACES).recordStableOutcome(isBad);
      if (isRaised !== undefined) {
        this.#guard(RAISED_PACES).recordStableOutcome(isRaised);
      }
    }
    return isBad;
  }

  #recordStable(route: string, isBad: boolean): void {
    this.#guard(route).recordStableOutcome(isBad);
    this.#guard(ALL_ROUTES).recordStableOutcome(isBad);
  }

  /**
   * Keeps a lost answer back until the replica answers a request that was sent
   * later. If the replica crashed, its losses say nothing about the version.
   */
  #deferLoss({ route, replicaKey, endedAtMs }: VersionOutcome): void {
    const losses = this.#losses.get(replicaKey) ??
      { routes: [], newestAtMs: endedAtMs };
    losses.newestAtMs = endedAtMs;
    if (losses.routes.length < tallies.DECISIVE_FAILURES) {
      losses.routes.push(route);
    }
    this.#losses.set(replicaKey, losses);
  }

  #recordLocal(
    route: string,
    answer: {
      readonly replicaKey: number;
      readonly replicas: number;
      readonly isBad: boolean;
    },
  ): void {
    const { replicaKey, replicas, isBad } = answer;
    const counts = this.#localCounts.get(route) ?? new RouteCounts();
    this.#localCounts.set(route, counts);
    counts.answers += 1;
    if (isBad) {
      counts.failures.set(
        replicaKey,
        (counts.failures.get(replicaKey) ?? 0) + 1,
      );
    }
    this.#record(route, isBad ? replicaKey : undefined, replicas);
  }

  /** Records what a peer observed since its previous report. */
  recordPeerOutcomes(outcomes: RouteOutcomes, replicas: number): void {
    const { route, answers, failures } = outcomes;
    const failedReplicaKeys = failures.flatMap(({ replicaKey, count }) =>
      Array.from({ length: count }, () => replicaKey)
    );
    // The order of the answers is not known. Failures are spread evenly, because
    // consecutive ones would weigh more in the sequential test.
    for (let index = 0; index < answers; index += 1) {
      const before = Math.floor(index * failedReplicaKeys.length / answers);
      const after = Math.floor(
        (index + 1) * failedReplicaKeys.length / answers,
      );
      const replicaKey = after > before ? failedReplicaKeys[before] : undefined;
      this.#record(route, replicaKey, replicas);
    }
  }

  #record(
    route: string,
    failedReplicaKey: number | undefined,
    replicas: number,
  ): void {
    const isBad = failedReplicaKey !== undefined;
    const tally = this.#getTally(route);
    if (isBad && !tally.tryCount(failedReplicaKey, replicas)) return;
    const isPace = tally !== this.#failures;
    if (!isPace) this.#samples += 1;
    for (const name of isPace ? [route] : [route, ALL_ROUTES]) {
      this.#test(name, { isBad, replicas, tally });
    }
  }

  #getTally(route: string): tallies.FailureTally {
    if (route === STREAM_PACES) return this.#slowStreams;
    return route === RAISED_PACES ? this.#raisedStreams : this.#failures;
  }

  #test(
    name: string,
    answer: {
      readonly isBad: boolean;
      readonly replicas: number;
      readonly tally: tallies.FailureTally;
    },
  ): void {
    const { isBad, replicas, tally } = answer;
    const guard = this.#guard(name);
    guard.recordRollingOutcome(isBad);
    if (this.#verdict !== undefined || !guard.isErrorBoundExceeded) return;
    const minReplicas = tallies.getMinFailingReplicas(replicas);
    if (tally.replicaKeys.size < minReplicas) return;
    const isDecisive = tally === this.#failures ||
      tally.counted >= tallies.DECISIVE_FAILURES;
    if (isDecisive) this.#verdict = this.#describe(name);
  }

  #describe(name: string): string {
    if (name === RAISED_PACES) {
      return `${this.#raisedStreams.counted} of its streams are slower than usual`;
    }
    const { failures, samples } = this.evidence;
    return `${failures} of ${samples} answers were bad` +
      (name === STREAM_PACES
        ? ", its streams are slow"
        : name === ALL_ROUTES
        ? ""
        : `, on route ${name}`);
  }

  #isSlow(outcome: VersionOutcome, isTarget: boolean): boolean {
    const { paceMs } = outcome;
    if (paceMs === undefined) return false;
    const key = `${outcome.route}/${outcome.model ?? ""}`;
    const baseline = this.#paceBaselines.get(key) ??
      { samples: 0, meanMs: paceMs };
    this.#paceBaselines.set(key, baseline);
    const isSlow = baseline.samples >= MIN_PACE_SAMPLES &&
      paceMs > SLOW_FACTOR * baseline.meanMs + SLOW_MARGIN_MS;
    if (!isTarget) {
      baseline.samples += 1;
      baseline.meanMs += Math.max(PACE_WEIGHT, 1 / baseline.samples) *
        (Math.min(paceMs, SLOW_FACTOR * baseline.meanMs + SLOW_MARGIN_MS) -
          baseline.meanMs);
    }
    return isSlow;
  }

  /** Returns the test of a route, or of all routes, and creates it on first use. */
  #guard(name: string): guards.RolloutGuard {
    const existing = this.#guards.get(name);
    if (existing !== undefined) return existing;
    const guard = new guards.RolloutGuard({
      minSamples: MIN_SAMPLES,
      maxRatingDecrease: 1,
      ...getErrorLimits(name),
    });
    this.#guards.set(name, guard);
    return guard;
  }
}

/** Returns which increase of the error rate a test detects. */
function getErrorLimits(
  name: string,
): Omit<guards.GuardLimits, "minSamples" | "maxRatingDecrease"> {
  switch (name) {
    case STREAM_PACES:
      return { maxErrorIncrease: MAX_SLOW_INCREASE };
    case RAISED_PACES:
      return {
        maxErrorIncrease: MIN_RAISED_INCREASE,
        minBaseRate: MAX_USUAL_RAISED_SHARE,
        minRaisedRate: MIN_RAISED_SHARE,
      };
    default:
      return { maxErrorIncrease: MAX_ERROR_INCREASE };
  }
}
