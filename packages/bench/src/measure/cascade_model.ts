/**
 * Seeded workloads for the cascade, modelled on the two deployments. Each
 * request has a hidden difficulty, from which its quality on both models
 * follows.
 */
import type * as decisions from "@jackdawbank/decisions";
import * as randoms from "./random.ts";

/** Load and objective of a deployment. */
export interface CascadeProfile {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly settings: decisions.CascadeSettings;
}

export const CASCADE_PROFILES: readonly CascadeProfile[] = [
  {
    name: "kivu",
    requestsPerSecond: 20,
    settings: { qualityTarget: 0.9, costWeight: 0.9, latencyWeight: 0.1 },
  },
  {
    name: "ruamjai",
    requestsPerSecond: 25,
    settings: { qualityTarget: 0.9, costWeight: 0.3, latencyWeight: 0.7 },
  },
];

/** A kind of task: its share of the requests, and the means of their difficulty and lengths. */
interface TaskKind {
  readonly name: string;
  readonly share: number;
  readonly difficulty: number;
  readonly difficultyDeviation: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

const TASK_KINDS: readonly TaskKind[] = [
  {
    name: "tags",
    share: 0.45,
    difficulty: 0.05,
    difficultyDeviation: 0.04,
    promptTokens: 100,
    completionTokens: 20,
  },
  {
    name: "questions",
    share: 0.35,
    difficulty: 0.3,
    difficultyDeviation: 0.12,
    promptTokens: 300,
    completionTokens: 150,
  },
  {
    name: "plans",
    share: 0.2,
    difficulty: 0.65,
    difficultyDeviation: 0.15,
    promptTokens: 800,
    completionTokens: 600,
  },
];
/** Request shares of ten client accounts, a few of them large. */
const ACCOUNT_WEIGHTS = [30, 22, 16, 8, 6, 5, 4, 4, 3, 2];
/** Standard deviation of the accounts' offsets to the difficulty. */
const ACCOUNT_DIFFICULTY_DEVIATION = 0.05;
const LENGTH_SIGMA = 0.6;
/** Correlation of a prompt's length with its difficulty. */
const LENGTH_CORRELATION = 0.5;
const CHARS_PER_TOKEN = 4;
const PRICE = { cheap: 1, large: 10 } as const;
const MS_PER_TOKEN = { cheap: 8, large: 25 } as const;
const FIRST_TOKEN_MS = { cheap: 80, large: 250 } as const;
const RATING_NOISE = 0.1;
export const DRIFTING_TASK_KIND = "questions";
export const DIFFICULTY_DRIFT = 0.15;

/** A request, with what only the oracle knows in advance: quality and cost on both models. */
export interface CascadeRequest {
  readonly atMs: number;
  readonly requestClass: decisions.RequestClass;
  readonly promptChars: number;
  readonly quality: Readonly<Record<decisions.ModelTier, number>>;
  readonly cost: Readonly<Record<decisions.ModelTier, decisions.RequestCost>>;
  /** Noise and delay of the rating; `undefined` if the request is not rated. */
  readonly rating:
    | { readonly noise: number; readonly delayMs: number }
    | undefined;
}

/** Conditions of a run. */
export interface CascadeScenario {
  readonly durationMs: number;
  readonly ratedShare: number;
  readonly ratingDelayMs: number;
  readonly driftStartMs: number;
}

function clampUnit(value: number): number {
  return Math.max(0, Math.min(1, value));
}

/** Computes the quality on each model from the difficulty. */
function computeQuality(difficulty: number): CascadeRequest["quality"] {
  return {
    cheap: clampUnit(1 - 0.9 * difficulty ** 1.3),
    large: clampUnit(1 - 0.2 * difficulty),
  };
}

function computeCost(
  promptTokens: number,
  completionTokens: number,
): CascadeRequest["cost"] {
  const build = (tier: decisions.ModelTier) => ({
    cost: (promptTokens + completionTokens) * PRICE[tier],
    latencyMs: FIRST_TOKEN_MS[tier] + completionTokens * MS_PER_TOKEN[tier],
  });
  return { cheap: build("cheap"), large: build("large") };
}

export function generateRequests(
  profile: CascadeProfile,
  scenario: CascadeScenario,
  seed: number,
): readonly CascadeRequest[] {
  const distributions = new randoms.Distributions(randoms.createRandom(seed));
  const difficultyOffsets = ACCOUNT_WEIGHTS.map(() =>
    distributions.normal() * ACCOUNT_DIFFICULTY_DEVIATION
  );
  const requests: CascadeRequest[] = [];
  let atMs = distributions.exponential(1_000 / profile.requestsPerSecond);
  while (atMs < scenario.durationMs) {
    requests.push(
      generateRequest(distributions, { atMs, scenario, difficultyOffsets }),
    );
    atMs += distributions.exponential(1_000 / profile.requestsPerSecond);
  }
  return requests;
}

function generateRequest(
  distributions: randoms.Distributions,
  input: {
    readonly atMs: number;
    readonly scenario: CascadeScenario;
    readonly difficultyOffsets: readonly number[];
  },
): CascadeRequest {
  const { atMs, scenario, difficultyOffsets } = input;
  const account = distributions.drawIndex(ACCOUNT_WEIGHTS);
  const task = TASK_KINDS[
    distributions.drawIndex(TASK_KINDS.map((kind) => kind.share))
  ] as TaskKind;
  const length = distributions.normal();
  const independent = distributions.normal();
  const deviation = LENGTH_CORRELATION * length +
    Math.sqrt(1 - LENGTH_CORRELATION ** 2) * independent;
  const isDrifted = task.name === DRIFTING_TASK_KIND &&
    atMs >= scenario.driftStartMs;
  const difficulty = clampUnit(
    task.difficulty + (difficultyOffsets[account] ?? 0) +
      deviation * task.difficultyDeviation +
      (isDrifted ? DIFFICULTY_DRIFT : 0),
  );
  const promptTokens = Math.ceil(
    task.promptTokens * Math.exp(LENGTH_SIGMA * length),
  );
  const completionTokens = Math.ceil(
    distributions.logNormal(task.completionTokens, 0.4),
  );
  const isRated = distributions.uniform() < scenario.ratedShare;
  const promptChars = promptTokens * CHARS_PER_TOKEN;
  return {
    atMs,
    promptChars,
    requestClass: {
      account: `account-${account}`,
      kind: `${task.name}/${Math.floor(Math.log2(promptChars))}`,
    },
    quality: computeQuality(difficulty),
    cost: computeCost(promptTokens, completionTokens),
    rating: isRated
      ? {
        noise: distributions.normal() * RATING_NOISE,
        delayMs: distributions.exponential(scenario.ratingDelayMs),
      }
      : undefined,
  };
}
