/**
 * What an entry learns from outcomes and late ratings: where cascades start,
 * and which rolling versions have to be stopped.
 */
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as lruCache from "lru-cache";
import type * as dispatchers from "./dispatch.ts";
import type * as requests from "./requests.ts";

const RATINGS_INTERVAL_MS = 1_000;
const REPLAN_INTERVAL_MS = 5_000;
const MAX_REMEMBERED = 50_000;
const KIND_PREFIX_CHARS = 64;
const KIND_BUCKETS = 64;

/** What became of a request on a version. */
export interface RequestResult {
  readonly request: requests.ModelRequest;
  /** `model@version`. */
  readonly item: string;
  readonly isError: boolean;
  readonly priceMicros: number;
  readonly latencyMs: number;
}

/** A request whose rating may still come. */
interface RememberedRequest {
  readonly item: string;
  readonly cascade: string | undefined;
  readonly requestClass: decisions.RequestClass;
}

/** What learning needs from its process. */
export interface LearningOptions {
  readonly holder: config.BundleHolder;
  readonly ratings: stores.RatingsClient | undefined;
  readonly random: () => number;
}

/** Task that owns the guards and the cascades' learners of one entry. */
export class Learning implements dispatchers.CascadePolicy {
  readonly #services: kernel.KernelServices;
  readonly #options: LearningOptions;
  readonly #guards = new Map<string, decisions.RolloutGuard>();
  readonly #learners = new Map<string, decisions.CascadeLearner>();
  readonly #remembered = new lruCache.LRUCache<string, RememberedRequest>({
    max: MAX_REMEMBERED,
  });
  readonly #abort = new AbortController();
  readonly #timer: NodeJS.Timeout;
  #stops: ReadonlySet<string> = new Set();
  #lastRating = 0;

  constructor(services: kernel.KernelServices, options: LearningOptions) {
    this.#services = services;
    this.#options = options;
    this.#timer = setInterval(() => {
      for (const learner of this.#learners.values()) learner.updatePlan();
    }, REPLAN_INTERVAL_MS);
    if (options.ratings !== undefined) void this.#ratingsLoop(options.ratings);
  }

  /** Stops that concern the bundle in force, to be told to others. */
  listStops(): readonly string[] {
    return [...this.#currentStops().keys()];
  }

  /** `model@version` names that new sessions are kept away from. */
  listStoppedVersions(): ReadonlySet<string> {
    return new Set(this.#currentStops().values());
  }

  /** Takes the stops that another process knows. */
  takeStops(stops: readonly string[]): void {
    const news = stops.filter((stop) => !this.#stops.has(stop));
    if (news.length === 0) return;
    this.#stops = new Set([...this.#stops, ...news]);
    for (const stop of news) {
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
    const tier = this.#openLearner(cascade.name, index).chooseTier(
      classify(request),
      {
        staticTier,
        nowMs: this.#services.clock.monotonicMs(),
        random: this.#options.random,
      },
    );
    return cascade[tier];
  }

  /** Takes the end of a request, for the guard and for the cascade that it came by. */
  recordResult(result: RequestResult): void {
    const { request, item, isError } = result;
    const index = this.#options.holder.index;
    if (index === undefined) return;
    this.#recordOutcome(index, item, isError);
    const cascade = index.cascadeByName.get(request.model);
    const requestClass = classify(request);
    this.#remembered.set(request.requestId, {
      item,
      cascade: cascade?.name,
      requestClass,
    });
    if (cascade === undefined || isError) return;
    const tier = item.startsWith(`${cascade.cheap}@`) ? "cheap" : "large";
    const cost = { cost: result.priceMicros, latencyMs: result.latencyMs };
    this.#openLearner(cascade.name, index).recordCost(requestClass, tier, cost);
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

  async #ratingsLoop(ratings: stores.RatingsClient): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const read = await ratings.readAfter(this.#lastRating);
      if (read.isErr()) this.#services.metrics.increment("ratings.failed");
      else for (const rating of read.value) this.#takeRating(rating);
      await kernel.sleep(RATINGS_INTERVAL_MS, this.#abort.signal);
    }
  }

  #takeRating(rating: stores.Rating): void {
    this.#lastRating = Math.max(this.#lastRating, rating.number);
    const remembered = this.#remembered.get(rating.requestId);
    const index = this.#options.holder.index;
    if (remembered === undefined || index === undefined) return;
    this.#recordRating(index, remembered.item, rating.score);
    const cascade = index.cascadeByName.get(remembered.cascade ?? "");
    if (cascade === undefined) return;
    const tier = remembered.item.startsWith(`${cascade.cheap}@`)
      ? "cheap"
      : "large";
    const nowMs = this.#services.clock.monotonicMs();
    this.#openLearner(cascade.name, index).recordRating(
      remembered.requestClass,
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
    this.#forGuards(index, item, (guard, isRolling) => {
      if (isRolling) guard.recordRollingOutcome(isError);
      else guard.recordStableOutcome(isError);
    });
  }

  #recordRating(
    index: decisions.BundleIndex,
    item: string,
    score: number,
  ): void {
    this.#forGuards(index, item, (guard, isRolling) => {
      if (isRolling) guard.recordRollingRating(score);
      else guard.recordStableRating(score);
    });
  }

  /** The guards that an item on a version speaks for or against. */
  #forGuards(
    index: decisions.BundleIndex,
    item: string,
    take: (guard: decisions.RolloutGuard, isRolling: boolean) => void,
  ): void {
    const [modelName = "", versionName = ""] = item.split("@");
    const model = index.modelByName.get(modelName);
    const version = model?.versions.find((other) =>
      other.version === versionName
    );
    if (model === undefined || version === undefined) return;
    const isRolling = version.state === "rolling";
    const rolling = isRolling
      ? [version]
      : model.versions.filter((other) => other.state === "rolling");
    for (const guarded of rolling) {
      const stop = decisions.formatStopName(model, guarded.version);
      const guard = this.#openGuard(stop, model);
      take(guard, isRolling);
      if (guard.verdict !== undefined) this.#stop(stop, guard.verdict);
    }
  }

  #stop(stop: string, verdict: decisions.GuardVerdict): void {
    if (this.#stops.has(stop)) return;
    this.#stops = new Set([...this.#stops, stop]);
    this.#services.timeline.record("guard.stopped", {
      target: stop,
      detail: verdict,
    });
    this.#services.metrics.increment("guard.stopped");
    this.#services.log.warn(
      `guard: roll-out ${stop} gets no new sessions, because of ${verdict}`,
    );
  }

  #currentStops(): ReadonlyMap<string, string> {
    const content = this.#options.holder.index?.bundle;
    return content === undefined
      ? new Map()
      : decisions.listCurrentStops(content, this.#stops);
  }

  #openGuard(stop: string, model: bundle.Model): decisions.RolloutGuard {
    const held = this.#guards.get(stop);
    if (held !== undefined) return held;
    const guard = new decisions.RolloutGuard(model.guard);
    this.#guards.set(stop, guard);
    return guard;
  }

  #openLearner(
    name: string,
    index: decisions.BundleIndex,
  ): decisions.CascadeLearner {
    const { qualityTarget, costWeight, latencyWeight } = index.bundle.policy;
    // A change of the policy begins anew.
    const key = `${name}/${qualityTarget}/${costWeight}/${latencyWeight}`;
    const held = this.#learners.get(key);
    if (held !== undefined) return held;
    const learner = new decisions.CascadeLearner(index.bundle.policy);
    this.#learners.set(key, learner);
    return learner;
  }
}

/** The class of a request: its account, how its prompt begins and how long it is. */
function classify(request: requests.ModelRequest): decisions.RequestClass {
  const beginning = request.promptStart.slice(0, KIND_PREFIX_CHARS);
  const bucket = decisions.hashText(beginning) % KIND_BUCKETS;
  const length = Math.floor(Math.log2(request.promptChars + 1));
  return { account: request.account.name, kind: `${bucket}/${length}` };
}
