/**
 * Seeded workloads of the two deployments' shape for the cascade: each request
 * has a difficulty that nobody sees, and from it the quality on both models.
 */
import type * as decisions from "@jackdawbank/decisions";
import * as randoms from "./random.ts";

/** A deployment's shape. */
export interface CascadeShape {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly settings: decisions.CascadeSettings;
}

export const CASCADE_SHAPES: readonly CascadeShape[] = [
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

/** A kind of task: tags, questions, plans. */
interface TaskKind {
  readonly name: string;
  readonly share: number;
  readonly difficulty: number;
  readonly difficultyDeviation: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

const TASKS: readonly TaskKind[] = [
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
/** About ten client accounts, a few of them large. */
const ACCOUNT_WEIGHTS = [30, 22, 16, 8, 6, 5, 4, 4, 3, 2];
const ACCOUNT_DEVIATION = 0.05;
const LENGTH_SIGMA = 0.6;
/** Correlation of a prompt's length with its difficulty. */
const LENGTH_CORRELATION = 0.5;
const CHARS_PER_TOKEN = 4;
const PRICE = { cheap: 1, large: 10 } as const;
const MS_PER_TOKEN = { cheap: 8, large: 25 } as const;
const FIRST_TOKEN_MS = { cheap: 80, large: 250 } as const;
const RATING_NOISE = 0.1;
export const DRIFTING_TASK = "questions";
export const DRIFT = 0.15;

/** One request with all that the oracle knows. */
export interface CascadeRequest {
  readonly atMs: number;
  readonly requestClass: decisions.RequestClass;
  readonly promptChars: number;
  readonly quality: Readonly<Record<decisions.ModelTier, number>>;
  readonly cost: Readonly<Record<decisions.ModelTier, decisions.RequestCost>>;
  /** Noise of its rating, and the delay until it arrives; `undefined` when unrated. */
  readonly rating:
    | { readonly noise: number; readonly delayMs: number }
    | undefined;
}

/** What happens during a run. */
export interface CascadeScenario {
  readonly durationMs: number;
  readonly ratedShare: number;
  readonly ratingDelayMs: number;
  readonly driftFromMs: number;
}

function clampUnit(value: number): number {
  return Math.max(0, Math.min(1, value));
}

/** Quality on each model by difficulty. */
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

/** Generates the requests of one run. */
export function generateRequests(
  shape: CascadeShape,
  scenario: CascadeScenario,
  seed: number,
): readonly CascadeRequest[] {
  const draw = new randoms.Distributions(randoms.createRandom(seed));
  const offsets = ACCOUNT_WEIGHTS.map(() => draw.normal() * ACCOUNT_DEVIATION);
  const requests: CascadeRequest[] = [];
  let atMs = draw.exponential(1_000 / shape.requestsPerSecond);
  while (atMs < scenario.durationMs) {
    requests.push(generateRequest(draw, { atMs, scenario, offsets }));
    atMs += draw.exponential(1_000 / shape.requestsPerSecond);
  }
  return requests;
}

function generateRequest(
  draw: randoms.Distributions,
  input: {
    readonly atMs: number;
    readonly scenario: CascadeScenario;
    readonly offsets: readonly number[];
  },
): CascadeRequest {
  const { atMs, scenario, offsets } = input;
  const account = draw.pickWeighted(ACCOUNT_WEIGHTS);
  const task =
    TASKS[draw.pickWeighted(TASKS.map((kind) => kind.share))] as TaskKind;
  const length = draw.normal();
  const own = draw.normal();
  const deviation = LENGTH_CORRELATION * length +
    Math.sqrt(1 - LENGTH_CORRELATION ** 2) * own;
  const isDrifted = task.name === DRIFTING_TASK && atMs >= scenario.driftFromMs;
  const difficulty = clampUnit(
    task.difficulty + (offsets[account] ?? 0) +
      deviation * task.difficultyDeviation +
      (isDrifted ? DRIFT : 0),
  );
  const promptTokens = Math.ceil(
    task.promptTokens * Math.exp(LENGTH_SIGMA * length),
  );
  const completionTokens = Math.ceil(
    draw.logNormal(task.completionTokens, 0.4),
  );
  const isRated = draw.uniform() < scenario.ratedShare;
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
        noise: draw.normal() * RATING_NOISE,
        delayMs: draw.exponential(scenario.ratingDelayMs),
      }
      : undefined,
  };
}
