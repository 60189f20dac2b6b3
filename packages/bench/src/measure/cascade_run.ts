/** Runs cascade policies over a workload and compares them with the oracle. */
import * as decisions from "@jackdawbank/decisions";
import TinyQueue from "tinyqueue";
import type * as models from "./cascade_model.ts";
import * as randoms from "./random.ts";

/** What one policy made of a window of requests. */
export interface CascadeFigures {
  readonly cost: number;
  readonly latencyMs: number;
  /** Cost and latency by the deployment's weights. */
  readonly objective: number;
  readonly quality: number;
  /** Seconds in which the mean quality of the last minutes was below the target. */
  readonly missedSeconds: number;
}

/** The window that is judged, and when ratings are missing. */
export interface RunOptions {
  readonly fromMs: number;
  readonly toMs: number;
  readonly ratingsStopMs: readonly [number, number];
  readonly seed: number;
}

/** A policy: chooses a tier for each request, in order. */
export interface Policy {
  readonly name: string;
  choose(request: models.CascadeRequest, nowMs: number): decisions.ModelTier;
  learn(request: models.CascadeRequest, tier: decisions.ModelTier): void;
  rate(
    request: models.CascadeRequest,
    tier: decisions.ModelTier,
    nowMs: number,
  ): void;
}

const REPLAN_INTERVAL_MS = 5_000;
const MISSED_WINDOW_MS = 300_000;
const STATIC_MAX_CHARS = 2_000;

function chooseByLength(request: models.CascadeRequest): decisions.ModelTier {
  return request.promptChars <= STATIC_MAX_CHARS ? "cheap" : "large";
}

/** The product's learner. */
class LearnerPolicy implements Policy {
  readonly name = "jackdawbank";
  readonly #learner: decisions.CascadeLearner;
  readonly #random: randoms.RandomSource;
  #plannedAtMs = 0;

  constructor(shape: models.CascadeShape, seed: number) {
    this.#learner = new decisions.CascadeLearner(shape.settings);
    this.#random = randoms.createRandom(seed + 1_000);
  }

  choose(request: models.CascadeRequest, nowMs: number): decisions.ModelTier {
    if (nowMs - this.#plannedAtMs >= REPLAN_INTERVAL_MS) {
      this.#learner.updatePlan();
      this.#plannedAtMs = nowMs;
    }
    return this.#learner.chooseTier(request.requestClass, {
      staticTier: chooseByLength(request),
      nowMs,
      random: this.#random,
    });
  }

  learn(request: models.CascadeRequest, tier: decisions.ModelTier): void {
    this.#learner.recordCost(request.requestClass, tier, request.cost[tier]);
  }

  rate(
    request: models.CascadeRequest,
    tier: decisions.ModelTier,
    nowMs: number,
  ): void {
    // Not clipped: a clipped rating would lie below the quality that is judged.
    const score = request.quality[tier] + (request.rating?.noise ?? 0);
    this.#learner.recordRating(request.requestClass, tier, { score, nowMs });
  }
}

/** A policy that learns nothing. */
class FixedPolicy implements Policy {
  readonly name: string;
  readonly #choose: (request: models.CascadeRequest) => decisions.ModelTier;

  constructor(
    name: string,
    choose: (request: models.CascadeRequest) => decisions.ModelTier,
  ) {
    this.name = name;
    this.#choose = choose;
  }

  choose(request: models.CascadeRequest): decisions.ModelTier {
    return this.#choose(request);
  }

  learn(): void {}

  rate(): void {}
}

/** The product's policy and its baselines. */
export function createPolicies(
  shape: models.CascadeShape,
  seed: number,
): readonly Policy[] {
  const random = randoms.createRandom(seed + 2_000);
  return [
    new LearnerPolicy(shape, seed),
    new FixedPolicy("always large", () => "large"),
    new FixedPolicy("always cheap", () => "cheap"),
    new FixedPolicy("fixed rule", chooseByLength),
    new FixedPolicy("random", () => random() < 0.5 ? "cheap" : "large"),
  ];
}

interface LateRating {
  readonly dueMs: number;
  readonly request: models.CascadeRequest;
  readonly tier: decisions.ModelTier;
}

/** Runs a policy; ratings arrive late, or not at all while they are stopped. */
export function runPolicy(
  requests: readonly models.CascadeRequest[],
  policy: Policy,
  options: RunOptions,
): readonly decisions.ModelTier[] {
  const ratings = new TinyQueue<LateRating>([], (a, b) => a.dueMs - b.dueMs);
  const [stopMs, goMs] = options.ratingsStopMs;
  return requests.map((request) => {
    for (
      let due = ratings.peek();
      due !== undefined && due.dueMs <= request.atMs;
    ) {
      ratings.pop();
      const isLost = due.dueMs >= stopMs && due.dueMs < goMs;
      if (!isLost) policy.rate(due.request, due.tier, due.dueMs);
      due = ratings.peek();
    }
    const tier = policy.choose(request, request.atMs);
    policy.learn(request, tier);
    if (request.rating !== undefined) {
      ratings.push({
        dueMs: request.atMs + request.rating.delayMs,
        request,
        tier,
      });
    }
    return tier;
  });
}

/** The oracle: for each window the cheapest choice that meets the target, request by request. */
export function chooseByOracle(
  requests: readonly models.CascadeRequest[],
  shape: models.CascadeShape,
  options: RunOptions,
): readonly decisions.ModelTier[] {
  const weigh = createWeigher(requests, shape);
  const inWindow = requests
    .map((request, index) => ({ request, index }))
    .filter(({ request }) => isInWindow(request, options));
  const tiers: decisions.ModelTier[] = requests.map(() => "large");
  const ranked = inWindow
    .map(({ request, index }) => ({
      index,
      loss: request.quality.large - request.quality.cheap,
      saving: weigh(request, "large") - weigh(request, "cheap"),
    }))
    .toSorted((a, b) =>
      b.saving / Math.max(b.loss, 1e-9) - a.saving / Math.max(a.loss, 1e-9)
    );
  const largeQuality = inWindow.reduce(
    (sum, { request }) => sum + request.quality.large,
    0,
  );
  let slack = largeQuality - shape.settings.qualityTarget * inWindow.length;
  for (const { index, loss, saving } of ranked) {
    if (saving <= 0 || loss > slack) continue;
    tiers[index] = "cheap";
    slack -= loss;
  }
  return tiers;
}

function isInWindow(
  request: models.CascadeRequest,
  options: RunOptions,
): boolean {
  return request.atMs >= options.fromMs && request.atMs < options.toMs;
}

/** Weighs cost and latency in units of the large model's means. */
function createWeigher(
  requests: readonly models.CascadeRequest[],
  shape: models.CascadeShape,
): (request: models.CascadeRequest, tier: decisions.ModelTier) => number {
  const count = Math.max(1, requests.length);
  const unitCost =
    requests.reduce((sum, { cost }) => sum + cost.large.cost, 0) / count;
  const unitMs =
    requests.reduce((sum, { cost }) => sum + cost.large.latencyMs, 0) / count;
  const { costWeight, latencyWeight } = shape.settings;
  return (request, tier) =>
    costWeight * request.cost[tier].cost / unitCost +
    latencyWeight * request.cost[tier].latencyMs / unitMs;
}

/** Adds up what choices made of the judged window. */
export function judge(
  requests: readonly models.CascadeRequest[],
  tiers: readonly decisions.ModelTier[],
  context: {
    readonly shape: models.CascadeShape;
    readonly options: RunOptions;
  },
): CascadeFigures {
  const { shape, options } = context;
  const weigh = createWeigher(requests, shape);
  let cost = 0;
  let latencyMs = 0;
  let objective = 0;
  let quality = 0;
  let count = 0;
  requests.forEach((request, index) => {
    if (!isInWindow(request, options)) return;
    const tier = tiers[index] as decisions.ModelTier;
    cost += request.cost[tier].cost;
    latencyMs += request.cost[tier].latencyMs;
    objective += weigh(request, tier);
    quality += request.quality[tier];
    count += 1;
  });
  return {
    cost: cost / count,
    latencyMs: latencyMs / count,
    objective: objective / count,
    quality: quality / count,
    missedSeconds: countMissedSeconds(requests, tiers, context),
  };
}

function countMissedSeconds(
  requests: readonly models.CascadeRequest[],
  tiers: readonly decisions.ModelTier[],
  context: {
    readonly shape: models.CascadeShape;
    readonly options: RunOptions;
  },
): number {
  const { shape, options } = context;
  const readQuality = (index: number) =>
    (requests[index] as models.CascadeRequest)
      .quality[tiers[index] as decisions.ModelTier];
  let first = 0;
  let next = 0;
  let sum = 0;
  let missed = 0;
  for (let atMs = options.fromMs; atMs < options.toMs; atMs += 1_000) {
    while (next < requests.length && (requests[next]?.atMs ?? 0) < atMs) {
      sum += readQuality(next);
      next += 1;
    }
    while ((requests[first]?.atMs ?? 0) < atMs - MISSED_WINDOW_MS) {
      sum -= readQuality(first);
      first += 1;
    }
    if (next > first && sum / (next - first) < shape.settings.qualityTarget) {
      missed += 1;
    }
  }
  return missed;
}
