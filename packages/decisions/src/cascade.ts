/**
 * Decides to which model of a cascade a request is sent. The learner estimates
 * the quality and the cost of each class of requests on both models, from delayed
 * ratings. Its plan sends to the cheap model the classes that save the most per
 * unit of quality lost, as long as the mean quality stays at its target.
 */

/** The two models of a cascade. */
export type ModelTier = "cheap" | "large";

/** Requests of one client account that look alike. */
export interface RequestClass {
  readonly account: string;
  /** Derived from visible features of a request, such as the start and length of its prompt. */
  readonly kind: string;
}

export interface CascadeSettings {
  /** Mean rating to reach, from 0 to 1. */
  readonly qualityTarget: number;
  /** Weights of cost and latency in the saving of the cheap model. */
  readonly costWeight: number;
  readonly latencyWeight: number;
}

/** Cost and latency of a finished request. */
export interface RequestCost {
  readonly cost: number;
  readonly latencyMs: number;
}

/** Age of the newest rating after which the bundle's static rule is used again. */
const MAX_RATING_AGE_MS = 1_800_000;
/** Added to the quality target in the plan, because ratings are noisy. */
const QUALITY_MARGIN = 0.006;
/** Smallest exploration rate: the share of requests sent to the tier that is not planned. */
const MIN_EXPLORATION_RATE = 0.005;
/** Exploration rate while a kind has no ratings on the tier. */
const MAX_EXPLORATION_RATE = 0.15;
/** Ratings of a kind on a tier at which the exploration rate has halved. */
const EXPLORATION_HALF_RATINGS = 15;
/** Weight of the prior, in ratings, where it is blended with a class's own mean. */
const PRIOR_RATINGS = 10;
/** Ratings after which a mean becomes an exponential average, so that older ones lose weight. */
const RATING_WINDOW = 400;
/** The same for costs and latencies. */
const COST_WINDOW = 500;
/** Requests after which all traffic counts are halved. */
const TRAFFIC_WINDOW = 4_000;
/** Gain of the integral control that corrects the planned quality by observed ratings. */
const CORRECTION_GAIN = 0.000_5;
/** Bounds of that correction. */
const MAX_CORRECTION = 0.05;
const MIN_CORRECTION = -0.02;
/** Assumed quality of a tier with fewer than `MIN_TIER_RATINGS` ratings. */
const PRIOR_QUALITY: Readonly<Record<ModelTier, number>> = {
  cheap: 0.5,
  large: 0.95,
};
/** Ratings that each tier needs over all classes before the first plan is made. */
const MIN_TIER_RATINGS = 50;

/** Mean that turns into an exponential moving average once the window is full. */
class MovingMean {
  #mean = 0;
  #count = 0;
  readonly #window: number;

  constructor(window: number) {
    this.#window = window;
  }

  get mean(): number {
    return this.#mean;
  }

  get count(): number {
    return this.#count;
  }

  add(value: number): void {
    this.#count += 1;
    this.#mean += (value - this.#mean) / Math.min(this.#count, this.#window);
  }
}

interface TierEstimate {
  readonly quality: MovingMean;
  readonly cost: MovingMean;
  readonly latencyMs: MovingMean;
}

interface ClassEstimate {
  /** Estimates of the same kind over all accounts: the prior of this class. */
  readonly kind: Readonly<Record<ModelTier, TierEstimate>>;
  readonly tiers: Readonly<Record<ModelTier, TierEstimate>>;
  /** Number of requests, halved at intervals. */
  traffic: number;
}

/** Effect of sending a class to the cheap model. */
interface PlanOption {
  readonly classKey: string;
  /** The class's share of all requests. */
  readonly share: number;
  readonly qualityLoss: number;
  readonly saving: number;
}

function createTierEstimate(): TierEstimate {
  return {
    quality: new MovingMean(RATING_WINDOW),
    cost: new MovingMean(COST_WINDOW),
    latencyMs: new MovingMean(COST_WINDOW),
  };
}

/** Learns to which model of one cascade each class of requests should be sent. */
export class CascadeLearner {
  readonly #settings: CascadeSettings;
  readonly #classes = new Map<string, ClassEstimate>();
  readonly #kinds = new Map<
    string,
    Readonly<Record<ModelTier, TierEstimate>>
  >();
  readonly #overall = createTierEstimates();
  /** Share of each class that goes to the cheap model. */
  #plan: ReadonlyMap<string, number> = new Map();
  #traffic = 0;
  #correction = 0;
  #lastRatingAtMs = Number.NEGATIVE_INFINITY;
  #hasPlan = false;

  constructor(settings: CascadeSettings) {
    this.#settings = settings;
  }

  /** Chooses a tier for a request; `staticTier` is what the bundle's static rule gives. */
  chooseTier(
    requestClass: RequestClass,
    options: {
      readonly staticTier: ModelTier;
      readonly nowMs: number;
      readonly random: () => number;
    },
  ): ModelTier {
    this.#countTraffic(requestClass);
    // Without recent ratings the estimates cannot be trusted.
    const hasRecentRatings =
      options.nowMs - this.#lastRatingAtMs <= MAX_RATING_AGE_MS;
    if (!hasRecentRatings) return options.staticTier;
    const plannedTier = this.#hasPlan
      ? this.#drawPlannedTier(requestClass, options.random)
      : options.staticTier;
    const otherTier = plannedTier === "cheap" ? "large" : "cheap";
    return options.random() <
        this.#computeExplorationRate(requestClass, otherTier)
      ? otherTier
      : plannedTier;
  }

  #drawPlannedTier(
    requestClass: RequestClass,
    random: () => number,
  ): ModelTier {
    const cheapShare = this.#plan.get(formatClassKey(requestClass)) ?? 0;
    return random() < cheapShare ? "cheap" : "large";
  }

  /** Share of requests that go to the tier not planned, so that it gets ratings too. */
  #computeExplorationRate(requestClass: RequestClass, tier: ModelTier): number {
    const { count } = this.#getOrCreateClass(requestClass).kind[tier].quality;
    const uncertainty = EXPLORATION_HALF_RATINGS /
      (EXPLORATION_HALF_RATINGS + count);
    return Math.max(MIN_EXPLORATION_RATE, MAX_EXPLORATION_RATE * uncertainty);
  }

  recordCost(
    requestClass: RequestClass,
    tier: ModelTier,
    cost: RequestCost,
  ): void {
    const { tiers, kind } = this.#getOrCreateClass(requestClass);
    for (const estimate of [tiers[tier], kind[tier], this.#overall[tier]]) {
      estimate.cost.add(cost.cost);
      estimate.latencyMs.add(cost.latencyMs);
    }
  }

  /** Records a rating from 0 to 1. */
  recordRating(
    requestClass: RequestClass,
    tier: ModelTier,
    rating: { readonly score: number; readonly nowMs: number },
  ): void {
    const { tiers, kind } = this.#getOrCreateClass(requestClass);
    for (const estimate of [tiers[tier], kind[tier], this.#overall[tier]]) {
      estimate.quality.add(rating.score);
    }
    this.#lastRatingAtMs = rating.nowMs;
    if (!this.#hasPlan) return;
    const shortfall = this.#settings.qualityTarget + QUALITY_MARGIN -
      rating.score;
    const corrected = this.#correction + CORRECTION_GAIN * shortfall;
    this.#correction = Math.max(
      MIN_CORRECTION,
      Math.min(MAX_CORRECTION, corrected),
    );
  }

  /** Recomputes the plan; called every few seconds. */
  updatePlan(): void {
    const hasEnoughRatings =
      this.#overall.cheap.quality.count >= MIN_TIER_RATINGS &&
      this.#overall.large.quality.count >= MIN_TIER_RATINGS;
    if (!hasEnoughRatings || this.#traffic === 0) return;
    const options = [...this.#classes].map(([classKey, estimate]) =>
      this.#buildOption(classKey, estimate)
    );
    const largeQuality = [...this.#classes.values()].reduce(
      (sum, estimate) =>
        sum +
        estimate.traffic / this.#traffic *
          this.#estimateQuality(estimate, "large"),
      0,
    );
    const plannedQuality = this.#settings.qualityTarget + QUALITY_MARGIN +
      this.#correction;
    this.#plan = allocateCheapShares(options, largeQuality - plannedQuality);
    this.#hasPlan = true;
  }

  /** Returns the share of a class that the current plan sends to the cheap model. */
  getCheapShare(requestClass: RequestClass): number {
    return this.#plan.get(formatClassKey(requestClass)) ?? 0;
  }

  #buildOption(classKey: string, estimate: ClassEstimate): PlanOption {
    const share = estimate.traffic / this.#traffic;
    const qualityLoss = this.#estimateQuality(estimate, "large") -
      this.#estimateQuality(estimate, "cheap");
    return {
      classKey,
      share,
      qualityLoss,
      saving: this.#estimateSaving(estimate),
    };
  }

  /** Blends a class with its kind, and the kind with all classes, by number of ratings. */
  #estimateQuality(estimate: ClassEstimate, tier: ModelTier): number {
    const overall = this.#overall[tier].quality;
    const prior = overall.count >= MIN_TIER_RATINGS
      ? overall.mean
      : PRIOR_QUALITY[tier];
    const kindQuality = blendWithPrior(estimate.kind[tier].quality, prior);
    return blendWithPrior(estimate.tiers[tier].quality, kindQuality);
  }

  #estimateSaving(estimate: ClassEstimate): number {
    const { costWeight, latencyWeight } = this.#settings;
    const cost = this.#computeRelativeSaving(estimate, "cost");
    const latency = this.#computeRelativeSaving(estimate, "latencyMs");
    return costWeight * cost + latencyWeight * latency;
  }

  /** Saving of the cheap tier relative to the large tier's overall mean. */
  #computeRelativeSaving(
    estimate: ClassEstimate,
    field: "cost" | "latencyMs",
  ): number {
    const getMean = (tier: ModelTier) => {
      const classMean = estimate.tiers[tier][field];
      return classMean.count > 0
        ? classMean.mean
        : this.#overall[tier][field].mean;
    };
    const unit = this.#overall.large[field].mean;
    return unit === 0 ? 0 : (getMean("large") - getMean("cheap")) / unit;
  }

  #countTraffic(requestClass: RequestClass): void {
    if (this.#traffic >= TRAFFIC_WINDOW) {
      for (const estimate of this.#classes.values()) estimate.traffic /= 2;
      this.#traffic /= 2;
    }
    this.#getOrCreateClass(requestClass).traffic += 1;
    this.#traffic += 1;
  }

  #getOrCreateClass(requestClass: RequestClass): ClassEstimate {
    const classKey = formatClassKey(requestClass);
    const existing = this.#classes.get(classKey);
    if (existing !== undefined) return existing;
    const kind = this.#kinds.get(requestClass.kind) ?? createTierEstimates();
    this.#kinds.set(requestClass.kind, kind);
    const estimate = { kind, tiers: createTierEstimates(), traffic: 0 };
    this.#classes.set(classKey, estimate);
    return estimate;
  }
}

function formatClassKey(requestClass: RequestClass): string {
  return `${requestClass.account}/${requestClass.kind}`;
}

function createTierEstimates(): Readonly<Record<ModelTier, TierEstimate>> {
  return { cheap: createTierEstimate(), large: createTierEstimate() };
}

/** Mean of observed values and a prior that weighs as much as `PRIOR_RATINGS` of them. */
function blendWithPrior(own: MovingMean, prior: number): number {
  const count = Math.min(own.count, RATING_WINDOW);
  return (own.mean * count + prior * PRIOR_RATINGS) / (count + PRIOR_RATINGS);
}

/**
 * Sends classes to the cheap model in order of their saving per unit of quality
 * lost, until the quality budget is used up; the last class is split.
 */
function allocateCheapShares(
  options: readonly PlanOption[],
  qualityBudget: number,
): ReadonlyMap<string, number> {
  const plan = new Map<string, number>();
  let remaining = qualityBudget;
  const beneficial = options.filter((option) =>
    option.saving > 0 && option.share > 0
  );
  const lossless = beneficial.filter((option) => option.qualityLoss <= 0);
  for (const option of lossless) {
    plan.set(option.classKey, 1);
    remaining -= option.share * option.qualityLoss;
  }
  const ranked = beneficial
    .filter((option) => option.qualityLoss > 0)
    .toSorted((a, b) => b.saving / b.qualityLoss - a.saving / a.qualityLoss);
  for (const option of ranked) {
    if (remaining <= 0) break;
    const fullLoss = option.share * option.qualityLoss;
    const cheapShare = Math.min(1, remaining / fullLoss);
    plan.set(option.classKey, cheapShare);
    remaining -= cheapShare * fullLoss;
  }
  return plan;
}
