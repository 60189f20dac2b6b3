/**
 * The shape of a bundle. All fields are read-only; durations are in
 * milliseconds, sizes in bytes, prices in thousandths of a currency unit per
 * million tokens.
 */
import * as z from "zod";

const MAX_NAME_LENGTH = 64;
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_FRESHNESS_BOUND_MS = 15_000;
const DEFAULT_KEY_RETENTION_MS = 86_400_000;

const nameSchema = z.string().max(MAX_NAME_LENGTH).regex(
  /^[a-z0-9][a-z0-9._-]*$/,
  "must be lower-case letters, digits, '.', '_' or '-'",
);
const revisionSchema = z.int().min(0);
const digestSchema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "must be 64 hex digits",
);

const versionSchema = z.strictObject({
  version: nameSchema,
  state: z.enum(["serving", "rolling", "withdrawn"]),
  /** The version that sessions of a withdrawn one move to. */
  successor: nameSchema.optional(),
}).readonly();

const rolloutStepSchema = z.strictObject({
  /** The revision that brought this step into force. */
  sinceRevision: revisionSchema,
  /** Percentage of new sessions for each version; sums to 100. */
  sharesPercent: z.record(nameSchema, z.number().min(0).max(100)).readonly(),
}).readonly();

const guardSchema = z.strictObject({
  /** New sessions on the rolling version before the guard may decide. */
  minSamples: z.int().min(1).default(20),
  /** Error-rate increase over the stable version that stops a roll-out. */
  maxErrorIncrease: z.number().min(0).max(1).default(0.05),
  /** Rating decrease below the stable version that stops a roll-out. */
  maxRatingDecrease: z.number().min(0).max(1).default(0.1),
}).readonly();

const modelSchema = z.strictObject({
  name: nameSchema,
  promptPriceMilliPerMillion: z.int().min(0).default(0),
  completionPriceMilliPerMillion: z.int().min(0).default(0),
  versions: z.array(versionSchema).min(1).readonly(),
  /** Every step since the first, oldest first; the last one is in force. */
  rollout: z.array(rolloutStepSchema).min(1).readonly(),
  guard: guardSchema.prefault({}),
}).readonly();

const cascadeSchema = z.strictObject({
  /** The name that callers give as their model. */
  name: nameSchema,
  cheap: nameSchema,
  large: nameSchema,
  /** Static rule while ratings are missing: longest prompt that starts cheap. */
  cheapMaxPromptChars: z.int().min(0).default(2_000),
}).readonly();

const serviceSchema = z.strictObject({
  name: nameSchema,
  /**
   * How a repeated call is kept from running twice: `claim` by our durable
   * claim, `upstream-key` by the service itself, `idempotent` needs nothing.
   */
  repeats: z.enum(["claim", "upstream-key", "idempotent"]),
  safeMethods: z.array(z.string()).readonly().default([
    "GET",
    "HEAD",
    "OPTIONS",
  ]),
  /** Claim journals that keys are spread over; never changed once in use. */
  partitions: z.int().min(1).max(256).default(4),
  /** How long a claimed key is remembered. */
  keyRetentionMs: z.int().min(1_000).default(DEFAULT_KEY_RETENTION_MS),
  pricePerCallMilli: z.int().min(0).default(0),
}).readonly();

const modelGrantSchema = z.strictObject({
  model: nameSchema,
  /** Versions the account may use; all of them when left out. */
  versions: z.array(nameSchema).min(1).readonly().optional(),
}).readonly();

const accountSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the bearer keys, so that the bundle holds no secret. */
  keysSha256: z.array(digestSchema).min(1).readonly(),
  models: z.array(modelGrantSchema).readonly().default([]),
  services: z.array(nameSchema).readonly().default([]),
  /** Weight of this account when upstreams are short. */
  shareWeight: z.number().positive().default(1),
  /** Higher goes first within the account's share. */
  priority: z.int().min(0).max(9).default(5),
}).readonly();

const limitsSchema = z.strictObject({
  maxBodyBytes: z.int().min(1_024).max(64 * 1_048_576).default(
    DEFAULT_MAX_BODY_BYTES,
  ),
  defaultDeadlineMs: z.int().min(100).default(DEFAULT_DEADLINE_MS),
  /** Age of the last confirmation after which rolling versions get no new work. */
  freshnessBoundMs: z.int().min(500).default(DEFAULT_FRESHNESS_BOUND_MS),
  /** Retries allowed for each first attempt. */
  retryRatio: z.number().min(0).max(1).default(0.1),
}).readonly();

const policySchema = z.strictObject({
  costWeight: z.number().min(0).max(1).default(0.5),
  latencyWeight: z.number().min(0).max(1).default(0.5),
  /** Mean rating, from 0 to 1, that the cascade has to reach. */
  qualityTarget: z.number().min(0).max(1).default(0.9),
}).readonly();

/** The schema of one whole bundle. */
export const bundleSchema = z.strictObject({
  format: z.literal(1),
  revision: revisionSchema,
  baseRevision: revisionSchema,
  /** Digest of the bundle that this one replaces; absent for the first. */
  baseDigest: digestSchema.optional(),
  comment: z.string().max(2_000).optional(),
  limits: limitsSchema.prefault({}),
  policy: policySchema.prefault({}),
  models: z.array(modelSchema).readonly().default([]),
  cascades: z.array(cascadeSchema).readonly().default([]),
  services: z.array(serviceSchema).readonly().default([]),
  accounts: z.array(accountSchema).readonly().default([]),
}).readonly();

export type Bundle = z.infer<typeof bundleSchema>;
export type Model = Bundle["models"][number];
export type RolloutStep = Model["rollout"][number];
export type Cascade = Bundle["cascades"][number];
export type Service = Bundle["services"][number];
export type Account = Bundle["accounts"][number];
export type ModelGrant = Account["models"][number];
