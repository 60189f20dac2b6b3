/**
 * Schema of a bundle. All fields are read-only; durations are in milliseconds,
 * sizes in bytes, prices in thousandths of a currency unit, per call or per
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
  /**
   * `rolling`: being rolled out, receives requests only while the configuration
   * is fresh; `withdrawn`: receives no requests.
   */
  state: z.enum(["serving", "rolling", "withdrawn"]),
  /** The version to which sessions of a withdrawn version move. */
  successor: nameSchema.optional(),
}).readonly();

const rolloutStepSchema = z.strictObject({
  /** The bundle revision that introduced this step. */
  sinceRevision: revisionSchema,
  /** Percentage of new sessions by version; the values add up to 100. */
  sharesPercent: z.record(nameSchema, z.number().min(0).max(100)).readonly(),
}).readonly();

const guardSchema = z.strictObject({
  /**
   * Requests on the rolling version that the guard needs before it decides. To
   * compare error rates it needs as many on the stable version.
   */
  minSamples: z.int().min(1).default(20),
  /** Increase in error rate over the stable version above which the guard stops a roll-out. */
  maxErrorIncrease: z.number().min(0).max(1).default(0.05),
  /** Decrease in mean rating against the stable version above which the guard stops a roll-out. */
  maxRatingDecrease: z.number().min(0).max(1).default(0.1),
}).readonly();

const modelSchema = z.strictObject({
  name: nameSchema,
  promptPriceMilliPerMillion: z.int().min(0).default(0),
  completionPriceMilliPerMillion: z.int().min(0).default(0),
  versions: z.array(versionSchema).min(1).readonly(),
  /** All steps, oldest first; the last one applies to new sessions. */
  rollout: z.array(rolloutStepSchema).min(1).readonly(),
  /** When a roll-out is stopped automatically. */
  guard: guardSchema.prefault({}),
}).readonly();

/** A virtual model: each request starts at the cheap or at the large model. */
const cascadeSchema = z.strictObject({
  /** Model name by which callers select the cascade. */
  name: nameSchema,
  cheap: nameSchema,
  large: nameSchema,
  /** Without ratings: longest prompt that is sent to the cheap model first. */
  cheapMaxPromptChars: z.int().min(0).default(2_000),
}).readonly();

const serviceSchema = z.strictObject({
  name: nameSchema,
  /**
   * How a call that is repeated with the same key is kept from running twice:
   * `claim`: the upstream process stores a claim of the key before the call;
   * `upstream-key`: the service itself deduplicates by key;
   * `idempotent`: running twice is harmless.
   */
  repeats: z.enum(["claim", "upstream-key", "idempotent"]),
  /** HTTP methods without side effects, whose calls may always be repeated. */
  safeMethods: z.array(z.string()).readonly().default([
    "GET",
    "HEAD",
    "OPTIONS",
  ]),
  /** Number of claim journals that keys are hashed to; must not change once in use. */
  partitions: z.int().min(1).max(256).default(4),
  /** How long a claimed key is kept. */
  keyRetentionMs: z.int().min(1_000).default(DEFAULT_KEY_RETENTION_MS),
  pricePerCallMilli: z.int().min(0).default(0),
}).readonly();

const modelGrantSchema = z.strictObject({
  model: nameSchema,
  /** Versions that the account may use; all versions if absent. */
  versions: z.array(nameSchema).min(1).readonly().optional(),
}).readonly();

const accountSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 digests of the bearer keys, so that the bundle contains no secrets. */
  keysSha256: z.array(digestSchema).min(1).readonly(),
  models: z.array(modelGrantSchema).readonly().default([]),
  services: z.array(nameSchema).readonly().default([]),
  /** Weight of this account's share while upstream capacity is scarce. */
  shareWeight: z.number().positive().default(1),
  /** Order within the account's share; higher values go first. */
  priority: z.int().min(0).max(9).default(5),
}).readonly();

const limitsSchema = z.strictObject({
  maxBodyBytes: z.int().min(1_024).max(64 * 1_048_576).default(
    DEFAULT_MAX_BODY_BYTES,
  ),
  defaultDeadlineMs: z.int().min(100).default(DEFAULT_DEADLINE_MS),
  /** Time since the bundle was last confirmed after which rolling versions receive no new requests. */
  freshnessBoundMs: z.int().min(500).default(DEFAULT_FRESHNESS_BOUND_MS),
  /** Retries allowed per first attempt. */
  retryRatio: z.number().min(0).max(1).default(0.1),
}).readonly();

const policySchema = z.strictObject({
  /** Weights of cost and latency in the choice between a cascade's models. */
  costWeight: z.number().min(0).max(1).default(0.5),
  latencyWeight: z.number().min(0).max(1).default(0.5),
  /** Mean rating, from 0 to 1, that answers of a cascade must reach. */
  qualityTarget: z.number().min(0).max(1).default(0.9),
}).readonly();

export const bundleSchema = z.strictObject({
  format: z.literal(1),
  revision: revisionSchema,
  /** Revision of the bundle that this one replaces; 0 in the first bundle. */
  baseRevision: revisionSchema,
  /** Digest of the bundle that this one replaces; absent from the first bundle. */
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
