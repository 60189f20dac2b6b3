/**
 * Decisions that an entry learns from the outcomes of requests and from ratings
 * that arrive later: the model that a cascade starts with, and the rolling
 * versions that get no new sessions.
 */
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as lruCache from "lru-cache";
import type * as dispatchers from "./dispatch.ts";
import type * as requests from "./requests.ts";

const RATINGS_POLL_INTERVAL_MS = 1_000;
const REPLAN_INTERVAL_MS = 5_000;
const MAX_RATABLE_REQUESTS = 50_000;
const CLASS_PROMPT_CHARS = 64;
const PROMPT_START_BUCKETS = 64;

/** Outcome of a request on a version. */
export interface RequestResult {
  readonly request: requests.ModelRequest;
  /** `model@version`. */
  readonly item: string;
  readonly isError: boolean;
  readonly priceMicros: number;
  readonly latencyMs: number;
}

/** A finished request whose rating may still arrive. */
interface RatableRequest {
  readonly item: string;
  readonly cascade: string | undefined;
  readonly requestClass: decisions.RequestClass;
}

export interface LearnedPolicyOptions {
  readonly holder: config.BundleHolder;
  readonly ratings: stores.RatingsClient | undefined;
  readonly random: () => number;
}

/** Task that owns the roll-out guards and cascade learners of one entry. */
export class LearnedPolicy implements dispatchers.CascadePolicy {
  readonly #services: kernel.KernelServices;
  readonly #options: LearnedPolicyOptions;
  readonly #guards = new Map<string, decisions.RolloutGuard>();
  readonly #learners = new Map<string, decisions.CascadeLearner>();
  readonly #ratableRequests = new lruCache.LRUCache<string, RatableRequest>({
    max: MAX_RATABLE_REQUESTS,
  });
  readonly #abort = new AbortController();
  readonly #timer: NodeJS.Timeout;
  /** Stopped roll-outs, each named `model@version#step`. */
  #stops: ReadonlySet<string> = new Set();
  #lastRatingNumber = 0;

  constructor(services: kernel.KernelServices, options: LearnedPolicyOptions) {
    this.#services = services;
    this.#options = options;
    this.#timer = setInterval(() => {
      for (const learner of this.#learners.values()) learner.updatePlan();
    }, REPLAN_INTERVAL_MS);
    if (options.ratings !== undefined) void this.#pollRatings(options.ratings);
  }

  /** Stopped roll-outs of the active bundle, as reported to other processes. */
  listStops(): readonly string[] {
    return [...this.#listCurrentStops().keys()];
  }

  /** Stopped versions of the active bundle, as `model@version`. */
  listStoppedVersions(): ReadonlySet<string> {
    return new Set(this.#listCurrentStops().values());
  }

  /** Adds stopped roll-outs that another process reported. */
  addStops(stops: readonly string[]): void {
    const newStops = stops.filter((stop) => !this.#stops.has(stop));
    if (newStops.length === 0) return;
    this.#stops = new Set([...this.#stops, ...newStops]);
    for (const stop of newStops) {
      this.#services.timeline.record("guard.heard-stop", { target: stop });
    }
  }

  chooseModel(
    request: requests.ModelRequest,
    cascade: bundle.Cascade,
    index: decisions.BundleIndex,
  ): string {
    const staticTier = request.promptChars <= cascade.cheapMaxPromptChars
      ? "cheap"
      : "large";
    const tier = this.#getOrCreateLearner(cascade.name, index).chooseTier(
      classifyRequest(request),
      {
        staticTier,
        nowMs: this.#services.clock.monotonicMs(),
        random: this.#options.random,
      },
    );
    return cascade[tier];
  }

  /** Records the outcome of a request for its guards and its cascade, if it has one. */
  recordResult(result: RequestResult): void {
    const { request, item, isError } = result;
    const index = this.#options.holder.index;
    if (index === undefined) return;
    this.#recordOutcome(index, item, isError);
    const cascade = index.cascadeByName.get(request.model);
    const requestClass = classifyRequest(request);
    this.#ratableRequests.set(request.requestId, {
      item,
      cascade: cascade?.name,
      requestClass,
    });
    if (cascade === undefined || isError) return;
    const tier = item.startsWith(`${cascade.cheap}@`) ? "cheap" : "large";
    const cost = { cost: result.priceMicros, latencyMs: result.latencyMs };
    this.#getOrCreateLearner(cascade.name, index).recordCost(
      requestClass,
      tier,
      cost,
    );
  }

  recordFailure(request: requests.ModelRequest, item: string): void {
    this.recordResult({
      request,
      item,
      isError: true,
      priceMicros: 0,
      latencyMs: 0,
    });
  }

  async close(): Promise<void> {
    this.#abort.abort();
    clearInterval(this.#timer);
    await this.#options.ratings?.close();
  }

  async #pollRatings(ratings: stores.RatingsClient): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const read = await ratings.readAfter(this.#lastRatingNumber);
      if (read.isErr()) this.#services.metrics.increment("ratings.failed");
      else for (const rating of read.value) this.#applyRating(rating);
      await kernel.sleep(RATINGS_POLL_INTERVAL_MS, this.#abort.signal);
    }
  }

  #applyRating(rating: stores.Rating): void {
    this.#lastRatingNumber = Math.max(this.#lastRatingNumber, rating.number);
    const ratable = this.#ratableRequests.get(rating.requestId);
    const index = this.#options.holder.index;
    if (ratable === undefined || index === undefined) return;
    this.#recordRating(index, ratable.item, rating.score);
    const cascade = index.cascadeByName.get(ratable.cascade ?? "");
    if (cascade === undefined) return;
    const tier = ratable.item.startsWith(`${cascade.cheap}@`)
      ? "cheap"
      : "large";
    const nowMs = this.#services.clock.monotonicMs();
    this.#getOrCreateLearner(cascade.name, index).recordRating(
      ratable.requestClass,
      tier,
      {
        score: rating.score,
        nowMs,
      },
    );
  }

  #recordOutcome(
    index: decisions.BundleIndex,
    item: string,
    isError: boolean,
  ): void {
    this.#updateGuards(index, item, (guard, isRolling) => {
      if (isRolling) guard.recordRollingOutcome(isError);
      else guard.recordStableOutcome(isError);
    });
  }

  #recordRating(
    index: decisions.BundleIndex,
    item: string,
    score: number,
  ): void {
    this.#updateGuards(index, item, (guard, isRolling) => {
      if (isRolling) guard.recordRollingRating(score);
      else guard.recordStableRating(score);
    });
  }

  /**
   * Updates the guards that an outcome of `item` concerns: that of its version if
   * it is rolling, otherwise those of all rolling versions of the model.
   */
  #updateGuards(
    index: decisions.BundleIndex,
    item: string,
    update: (guard: decisions.RolloutGuard, isRolling: boolean) => void,
  ): void {
    const [modelName = "", versionName = ""] = item.split("@");
    const model = index.modelByName.get(modelName);
    const version = model?.versions.find((other) =>
      other.version === versionName
    );
    if (model === undefined || version === undefined) return;
    const isRolling = version.state === "rolling";
    const guardedVersions = isRolling
      ? [version]
      : model.versions.filter((other) => other.state === "rolling");
    for (const guardedVersion of guardedVersions) {
      const stop = decisions.formatStopName(model, guardedVersion.version);
      const guard = this.#getOrCreateGuard(stop, model);
      update(guard, isRolling);
      if (guard.verdict !== undefined) this.#stopRollout(stop, guard.verdict);
    }
  }

  #stopRollout(stop: string, verdict: decisions.GuardVerdict): void {
    if (this.#stops.has(stop)) return;
    this.#stops = new Set([...this.#stops, stop]);
    this.#services.timeline.record("guard.stopped", {
      target: stop,
      detail: verdict,
    });
    this.#services.metrics.increment("guard.stopped");
    this.#services.log.warn(
      `guard stopped roll-out ${stop} because of ${verdict}: it gets no new sessions`,
    );
  }

  #listCurrentStops(): ReadonlyMap<string, string> {
    const activeBundle = this.#options.holder.index?.bundle;
    return activeBundle === undefined
      ? new Map()
      : decisions.listCurrentStops(activeBundle, this.#stops);
  }

  #getOrCreateGuard(stop: string, model: bundle.Model): decisions.RolloutGuard {
    const existing = this.#guards.get(stop);
    if (existing !== undefined) return existing;
    const guard = new decisions.RolloutGuard(model.guard);
    this.#guards.set(stop, guard);
    return guard;
  }

  #getOrCreateLearner(
    name: string,
    index: decisions.BundleIndex,
  ): decisions.CascadeLearner {
    const { qualityTarget, costWeight, latencyWeight } = index.bundle.policy;
    // A change of the policy starts a new learner.
    const key = `${name}/${qualityTarget}/${costWeight}/${latencyWeight}`;
    const existing = this.#learners.get(key);
    if (existing !== undefined) return existing;
    const learner = new decisions.CascadeLearner(index.bundle.policy);
    this.#learners.set(key, learner);
    return learner;
  }
}

/** Classifies a request by account, start of the prompt and order of magnitude of its length. */
function classifyRequest(
  request: requests.ModelRequest,
): decisions.RequestClass {
  const promptStart = request.promptStart.slice(0, CLASS_PROMPT_CHARS);
  const bucket = decisions.hashText(promptStart) % PROMPT_START_BUCKETS;
  const lengthClass = Math.floor(Math.log2(request.promptChars + 1));
  return { account: request.account.name, kind: `${bucket}/${lengthClass}` };
}
