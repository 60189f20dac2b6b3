/**
 * Where requests of a cascade start. For each class of requests the learner
 * estimates quality and cost on both models from ratings that arrive late. A
 * plan then starts those classes cheap that save the most for each point of
 * quality lost, as far as the mean quality stays at its target.
 */

/** The two models of a cascade. */
export type ModelTier = "cheap" | "large";

/** A class of requests: those of one kind of one client account. */
export interface RequestClass {
  readonly account: string;
  /** What can be seen of a request: its prompt's beginning and length, say. */
  readonly kind: string;
}

/** Settings of a learner. */
export interface CascadeSettings {
  /** Mean rating to reach, from 0 to 1. */
  readonly qualityTarget: number;
  /** Weights of cost and latency in what a cheap start saves. */
  readonly costWeight: number;
  readonly latencyWeight: number;
}

/** What a finished request cost. */
export interface TierCost {
  readonly cost: number;
  readonly latencyMs: number;
}

/** Age of the newest rating after which the static rule takes over. */
const RATINGS_STALE_MS = 1_800_000;
/** Quality above the target that the plan aims at, against noise in the ratings. */
const QUALITY_MARGIN = 0.006;
/** Share of requests that try the tier that the plan does not choose, at the least. */
const EXPLORATION = 0.005;
/** More of them while a kind has few ratings on that tier. */
const MAX_EXPLORATION = 0.15;
/** Ratings of a kind on a tier at which exploration has halved. */
const EXPLORATION_RATINGS = 15;
/** Ratings of a class and tier before its own mean counts fully. */
const PRIOR_RATINGS = 10;
/** Ratings after which older ones fade. */
const RATING_WINDOW = 400;
const COST_WINDOW = 500;
const TRAFFIC_WINDOW = 4_000;
/** Step of the correction by which observed quality moves the plan's aim. */
const CORRECTION_STEP = 0.000_5;
const MAX_CORRECTION = 0.05;
const MIN_CORRECTION = -0.02;
const PRIOR_QUALITY: Readonly<Record<ModelTier, number>> = {
  cheap: 0.5,
  large: 0.95,
};
/** Ratings of a tier over all classes before any class starts cheap by plan. */
const MIN_RATINGS = 50;

/** Mean that forgets: recent values count as much as a window of them. */
class FadingMean {
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
  readonly quality: FadingMean;
  readonly cost: FadingMean;
  readonly latencyMs: FadingMean;
}

interface ClassEstimate {
  /** The kind of request, whose estimate over all accounts is this one's prior. */
  readonly kind: Readonly<Record<ModelTier, TierEstimate>>;
  readonly tiers: Readonly<Record<ModelTier, TierEstimate>>;
  /** Fading count of requests. */
  traffic: number;
}

/** Share of a class that starts cheap, and what it does to quality and cost. */
interface PlanOption {
  readonly classKey: string;
  readonly share: number;
  readonly qualityLoss: number;
  readonly saving: number;
}

function createTier(): TierEstimate {
  return {
    quality: new FadingMean(RATING_WINDOW),
    cost: new FadingMean(COST_WINDOW),
    latencyMs: new FadingMean(COST_WINDOW),
  };
}

/** Learns where the requests of one cascade start. */
export class CascadeLearner {
  readonly #settings: CascadeSettings;
  readonly #classes = new Map<string, ClassEstimate>();
  readonly #kinds = new Map<
    string,
    Readonly<Record<ModelTier, TierEstimate>>
  >();
  readonly #overall = createTiers();
  #plan: ReadonlyMap<string, number> = new Map();
  #traffic = 0;
  #correction = 0;
  #ratedAtMs = Number.NEGATIVE_INFINITY;
  #isPlanned = false;

  constructor(settings: CascadeSettings) {
    this.#settings = settings;
  }

  /** Chooses a tier; `staticTier` is the bundle's rule for the request. */
  chooseTier(
    requestClass: RequestClass,
    options: {
      readonly staticTier: ModelTier;
      readonly nowMs: number;
      readonly random: () => number;
    },
  ): ModelTier {
    this.#countTraffic(requestClass);
    // Without ratings nothing can be learnt: the bundle's rule alone decides.
    const isFresh = options.nowMs - this.#ratedAtMs <= RATINGS_STALE_MS;
    if (!isFresh) return options.staticTier;
    const planned = this.#isPlanned
      ? this.#drawPlanned(requestClass, options.random)
      : options.staticTier;
    const other = planned === "cheap" ? "large" : "cheap";
    return options.random() < this.#exploration(requestClass, other)
      ? other
      : planned;
  }

  #drawPlanned(requestClass: RequestClass, random: () => number): ModelTier {
    const cheapShare = this.#plan.get(nameClass(requestClass)) ?? 0;
    return random() < cheapShare ? "cheap" : "large";
  }

  /** Without ratings of the other tier nothing could be learnt. */
  #exploration(requestClass: RequestClass, tier: ModelTier): number {
    const { count } = this.#openClass(requestClass).kind[tier].quality;
    const extra = EXPLORATION_RATINGS / (EXPLORATION_RATINGS + count);
    return Math.max(EXPLORATION, MAX_EXPLORATION * extra);
  }

  recordCost(
    requestClass: RequestClass,
    tier: ModelTier,
    cost: TierCost,
  ): void {
    const { tiers, kind } = this.#openClass(requestClass);
    for (const estimate of [tiers[tier], kind[tier], this.#overall[tier]]) {
      estimate.cost.add(cost.cost);
      estimate.latencyMs.add(cost.latencyMs);
    }
  }

  /** Takes a rating from 0 to 1 for a request of a class on a tier. */
  recordRating(
    requestClass: RequestClass,
    tier: ModelTier,
    rating: { readonly score: number; readonly nowMs: number },
  ): void {
    const { tiers, kind } = this.#openClass(requestClass);
    for (const estimate of [tiers[tier], kind[tier], this.#overall[tier]]) {
      estimate.quality.add(rating.score);
    }
    this.#ratedAtMs = rating.nowMs;
    if (!this.#isPlanned) return;
    const miss = this.#settings.qualityTarget + QUALITY_MARGIN - rating.score;
    const corrected = this.#correction + CORRECTION_STEP * miss;
    this.#correction = Math.max(
      MIN_CORRECTION,
      Math.min(MAX_CORRECTION, corrected),
    );
  }

  /** Makes the plan anew; called every few seconds. */
  updatePlan(): void {
    const isRated = this.#overall.cheap.quality.count >= MIN_RATINGS &&
      this.#overall.large.quality.count >= MIN_RATINGS;
    if (!isRated || this.#traffic === 0) return;
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
    const aim = this.#settings.qualityTarget + QUALITY_MARGIN +
      this.#correction;
    this.#plan = fillPlan(options, largeQuality - aim);
    this.#isPlanned = true;
  }

  /** Share of a class that starts cheap by the present plan. */
  getCheapShare(requestClass: RequestClass): number {
    return this.#plan.get(nameClass(requestClass)) ?? 0;
  }

  #buildOption(classKey: string, estimate: ClassEstimate): PlanOption {
    const share = estimate.traffic / this.#traffic;
    const lost = this.#estimateQuality(estimate, "large") -
      this.#estimateQuality(estimate, "cheap");
    return {
      classKey,
      share,
      qualityLoss: lost,
      saving: this.#estimateSaving(estimate),
    };
  }

  /** A class with few ratings leans on its kind, and a kind on all classes. */
  #estimateQuality(estimate: ClassEstimate, tier: ModelTier): number {
    const overall = this.#overall[tier].quality;
    const prior = overall.count >= MIN_RATINGS
      ? overall.mean
      : PRIOR_QUALITY[tier];
    const ofKind = blend(estimate.kind[tier].quality, prior);
    return blend(estimate.tiers[tier].quality, ofKind);
  }

  #estimateSaving(estimate: ClassEstimate): number {
    const { costWeight, latencyWeight } = this.#settings;
    const cost = this.#compareTiers(estimate, "cost");
    const latency = this.#compareTiers(estimate, "latencyMs");
    return costWeight * cost + latencyWeight * latency;
  }

  /** What the cheap tier saves, in units of the large tier's overall mean. */
  #compareTiers(estimate: ClassEstimate, field: "cost" | "latencyMs"): number {
    const read = (tier: ModelTier) => {
      const own = estimate.tiers[tier][field];
      return own.count > 0 ? own.mean : this.#overall[tier][field].mean;
    };
    const unit = this.#overall.large[field].mean;
    return unit === 0 ? 0 : (read("large") - read("cheap")) / unit;
  }

  #countTraffic(requestClass: RequestClass): void {
    if (this.#traffic >= TRAFFIC_WINDOW) {
      for (const estimate of this.#classes.values()) estimate.traffic /= 2;
      this.#traffic /= 2;
    }
    this.#openClass(requestClass).traffic += 1;
    this.#traffic += 1;
  }

  #openClass(requestClass: RequestClass): ClassEstimate {
    const name = nameClass(requestClass);
    const held = this.#classes.get(name);
    if (held !== undefined) return held;
    const kind = this.#kinds.get(requestClass.kind) ?? createTiers();
    this.#kinds.set(requestClass.kind, kind);
    const estimate = { kind, tiers: createTiers(), traffic: 0 };
    this.#classes.set(name, estimate);
    return estimate;
  }
}

function nameClass(requestClass: RequestClass): string {
  return `${requestClass.account}/${requestClass.kind}`;
}

function createTiers(): Readonly<Record<ModelTier, TierEstimate>> {
  return { cheap: createTier(), large: createTier() };
}

/** Mean of a fading mean and what stands in while it has few values. */
function blend(own: FadingMean, prior: number): number {
  const count = Math.min(own.count, RATING_WINDOW);
  return (own.mean * count + prior * PRIOR_RATINGS) / (count + PRIOR_RATINGS);
}

/**
 * Gives cheap starts to the classes that save the most for each point of
 * quality, until the slack is used up; the last class gets a part.
 */
function fillPlan(
  options: readonly PlanOption[],
  slack: number,
): ReadonlyMap<string, number> {
  const plan = new Map<string, number>();
  let left = slack;
  const gainful = options.filter((option) =>
    option.saving > 0 && option.share > 0
  );
  const free = gainful.filter((option) => option.qualityLoss <= 0);
  for (const option of free) {
    plan.set(option.classKey, 1);
    left -= option.share * option.qualityLoss;
  }
  const ranked = gainful
    .filter((option) => option.qualityLoss > 0)
    .toSorted((a, b) => b.saving / b.qualityLoss - a.saving / a.qualityLoss);
  for (const option of ranked) {
    if (left <= 0) break;
    const need = option.share * option.qualityLoss;
    const part = Math.min(1, left / need);
    plan.set(option.classKey, part);
    left -= part * need;
  }
  return plan;
}
