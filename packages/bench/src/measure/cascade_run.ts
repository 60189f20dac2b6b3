/** Runs cascade policies over a workload and compares them with the oracle. */
import * as decisions from "@jackdawbank/decisions";
import TinyQueue from "tinyqueue";
import type * as models from "./cascade_model.ts";
import * as randoms from "./random.ts";

/** Results of one policy over the measured window; all but the last are means per request. */
export interface CascadeFigures {
  readonly cost: number;
  readonly latencyMs: number;
  /** Weighted sum of cost and latency, with the deployment's weights. */
  readonly objective: number;
  readonly quality: number;
  /** Seconds at which the mean quality over the last `QUALITY_WINDOW_MS` was below the target. */
  readonly secondsBelowTarget: number;
}

/** The measured window, and the period without ratings. */
export interface RunOptions {
  readonly startMs: number;
  readonly endMs: number;
  readonly ratingsGapMs: readonly [number, number];
  readonly seed: number;
}

/** Chooses a tier for each request, in the order of arrival. */
export interface Policy {
  readonly name: string;
  choose(request: models.CascadeRequest, nowMs: number): decisions.ModelTier;
  recordCost(request: models.CascadeRequest, tier: decisions.ModelTier): void;
  recordRating(
    request: models.CascadeRequest,
    tier: decisions.ModelTier,
    nowMs: number,
  ): void;
}

const REPLAN_INTERVAL_MS = 5_000;
const QUALITY_WINDOW_MS = 300_000;
const FIXED_RULE_MAX_PROMPT_CHARS = 2_000;

function chooseByLength(request: models.CascadeRequest): decisions.ModelTier {
  return request.promptChars <= FIXED_RULE_MAX_PROMPT_CHARS ? "cheap" : "large";
}

/** The product's policy. */
class LearnerPolicy implements Policy {
  readonly name = "jackdawbank";
  readonly #learner: decisions.CascadeLearner;
  readonly #random: randoms.RandomSource;
  #plannedAtMs = 0;

  constructor(profile: models.CascadeProfile, seed: number) {
    this.#learner = new decisions.CascadeLearner(profile.settings);
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

  recordCost(request: models.CascadeRequest, tier: decisions.ModelTier): void {
    this.#learner.recordCost(request.requestClass, tier, request.cost[tier]);
  }

  recordRating(
    request: models.CascadeRequest,
    tier: decisions.ModelTier,
    nowMs: number,
  ): void {
    // Not clipped to 0..1: clipping would bias ratings below the measured quality.
    const score = request.quality[tier] + (request.rating?.noise ?? 0);
    this.#learner.recordRating(request.requestClass, tier, { score, nowMs });
  }
}

/** A policy that does not learn. */
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

  recordCost(): void {}

  recordRating(): void {}
}

/** Creates the product's policy, which comes first, and its baselines. */
export function createPolicies(
  profile: models.CascadeProfile,
  seed: number,
): readonly Policy[] {
  const random = randoms.createRandom(seed + 2_000);
  return [
    new LearnerPolicy(profile, seed),
    new FixedPolicy("always large", () => "large"),
    new FixedPolicy("always cheap", () => "cheap"),
    new FixedPolicy("fixed rule", chooseByLength),
    new FixedPolicy("random", () => random() < 0.5 ? "cheap" : "large"),
  ];
}

interface DelayedRating {
  readonly dueMs: number;
  readonly request: models.CascadeRequest;
  readonly tier: decisions.ModelTier;
}

/** Runs a policy. Ratings arrive with a delay; those due in the period without ratings are lost. */
export function runPolicy(
  requests: readonly models.CascadeRequest[],
  policy: Policy,
  options: RunOptions,
): readonly decisions.ModelTier[] {
  const ratings = new TinyQueue<DelayedRating>([], (a, b) => a.dueMs - b.dueMs);
  const [gapStartMs, gapEndMs] = options.ratingsGapMs;
  return requests.map((request) => {
    for (
      let due = ratings.peek();
      due !== undefined && due.dueMs <= request.atMs;
    ) {
      ratings.pop();
      const isLost = due.dueMs >= gapStartMs && due.dueMs < gapEndMs;
      if (!isLost) policy.recordRating(due.request, due.tier, due.dueMs);
      due = ratings.peek();
    }
    const tier = policy.choose(request, request.atMs);
    policy.recordCost(request, tier);
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

/**
 * Chooses with full knowledge of quality and cost: the requests of the window
 * go to the cheap model in the order of saving per quality lost, as long as the
 * mean quality meets its target. All other requests go to the large model.
 */
export function chooseTiersByOracle(
  requests: readonly models.CascadeRequest[],
  profile: models.CascadeProfile,
  options: RunOptions,
): readonly decisions.ModelTier[] {
  const computeObjective = createObjective(requests, profile);
  const inWindow = requests
    .map((request, index) => ({ request, index }))
    .filter(({ request }) => isInWindow(request, options));
  const tiers: decisions.ModelTier[] = requests.map(() => "large");
  const requestsBySaving = inWindow
    .map(({ request, index }) => ({
      index,
      loss: request.quality.large - request.quality.cheap,
      saving: computeObjective(request, "large") -
        computeObjective(request, "cheap"),
    }))
    .toSorted((a, b) =>
      b.saving / Math.max(b.loss, 1e-9) - a.saving / Math.max(a.loss, 1e-9)
    );
  const largeQuality = inWindow.reduce(
    (sum, { request }) => sum + request.quality.large,
    0,
  );
  let remainingQualityLoss = largeQuality -
    profile.settings.qualityTarget * inWindow.length;
  for (const { index, loss, saving } of requestsBySaving) {
    if (saving <= 0 || loss > remainingQualityLoss) continue;
    tiers[index] = "cheap";
    remainingQualityLoss -= loss;
  }
  return tiers;
}

function isInWindow(
  request: models.CascadeRequest,
  options: RunOptions,
): boolean {
  return request.atMs >= options.startMs && request.atMs < options.endMs;
}

/** Creates the weighted sum of cost and latency, each relative to the large model's mean. */
function createObjective(
  requests: readonly models.CascadeRequest[],
  profile: models.CascadeProfile,
): (request: models.CascadeRequest, tier: decisions.ModelTier) => number {
  const count = Math.max(1, requests.length);
  const unitCost =
    requests.reduce((sum, { cost }) => sum + cost.large.cost, 0) / count;
  const unitMs =
    requests.reduce((sum, { cost }) => sum + cost.large.latencyMs, 0) / count;
  const { costWeight, latencyWeight } = profile.settings;
  return (request, tier) =>
    costWeight * request.cost[tier].cost / unitCost +
    latencyWeight * request.cost[tier].latencyMs / unitMs;
}

/** Computes the figures of a policy's choices over the measured window. */
export function computeFigures(
  requests: readonly models.CascadeRequest[],
  tiers: readonly decisions.ModelTier[],
  context: {
    readonly profile: models.CascadeProfile;
    readonly options: RunOptions;
  },
): CascadeFigures {
  const { profile, options } = context;
  const computeObjective = createObjective(requests, profile);
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
    objective += computeObjective(request, tier);
    quality += request.quality[tier];
    count += 1;
  });
  return {
    cost: cost / count,
    latencyMs: latencyMs / count,
    objective: objective / count,
    quality: quality / count,
    secondsBelowTarget: countSecondsBelowTarget(requests, tiers, context),
  };
}

function countSecondsBelowTarget(
  requests: readonly models.CascadeRequest[],
  tiers: readonly decisions.ModelTier[],
  context: {
    readonly profile: models.CascadeProfile;
    readonly options: RunOptions;
  },
): number {
  const { profile, options } = context;
  const readQuality = (index: number) =>
    (requests[index] as models.CascadeRequest)
      .quality[tiers[index] as decisions.ModelTier];
  let first = 0;
  let next = 0;
  let sum = 0;
  let secondsBelowTarget = 0;
  for (let atMs = options.startMs; atMs < options.endMs; atMs += 1_000) {
    while (next < requests.length && (requests[next]?.atMs ?? 0) < atMs) {
      sum += readQuality(next);
      next += 1;
    }
    while ((requests[first]?.atMs ?? 0) < atMs - QUALITY_WINDOW_MS) {
      sum -= readQuality(first);
      first += 1;
    }
    if (next > first && sum / (next - first) < profile.settings.qualityTarget) {
      secondsBelowTarget += 1;
    }
  }
  return secondsBelowTarget;
}
