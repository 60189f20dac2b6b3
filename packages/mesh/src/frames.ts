/**
 * Schemas of the frames between the system's processes. The receiver validates
 * every frame; an invalid frame closes the connection.
 */
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as z from "zod";

/** Largest frame that a process accepts. */
export const MAX_FRAME_BYTES = 4 * 1_048_576;
/** Largest part of a response body in one frame. */
export const MAX_CHUNK_BYTES = 65_536;
/** Chunk frames that may be sent before the receiver grants more credit. */
export const INITIAL_CREDIT_FRAMES = 32;
/** Version of this protocol; it must be the same on both sides. */
export const PROTOCOL_VERSION = 1;

const idSchema = z.string().min(1).max(256);
const bytesSchema = z.custom<Uint8Array>((data) => data instanceof Uint8Array);
const headersSchema = z.record(z.string(), z.string()).readonly();
const errorKindSchema = z.string().refine(
  kernel.isErrorKind,
  "unknown error kind",
) as unknown as z.ZodType<
  kernel.ErrorKind
>;

const statusSchema = z.strictObject({
  type: z.enum(["model", "service"]),
  /** `model@version` names, or the service's name. */
  serves: z.array(z.string()).readonly(),
  capacity: z.int().min(0),
  running: z.int().min(0),
  queued: z.int().min(0),
  /** Moving average of the time for which a request occupies a slot. */
  serviceMs: z.number().min(0),
  isLeaving: z.boolean(),
  dataCentre: z.string(),
}).readonly();

/** What a process tells the other end of a connection about its bundle and its load. */
const viewSchema = z.strictObject({
  /** Bundle revision that the process holds. */
  revision: z.int().min(0),
  /** Time since the store last confirmed that revision; -1 for never. */
  confirmedAgeMs: z.number().min(-1),
  /** Time since the store was last read, successfully or not; -1 for never. */
  checkedAgeMs: z.number().min(-1),
  time: z.strictObject({ wallMs: z.number(), count: z.number() }).readonly(),
  status: statusSchema.optional(),
  /** Rollouts that a guard has stopped, as `model@version#step`. */
  stopped: z.array(z.string()).readonly().optional(),
}).readonly();

const billSchema = z.strictObject({
  /** Ledger of one run of an entry process. */
  cell: idSchema,
  /** Consecutive within the cell. */
  number: z.int().min(1),
  account: idSchema,
  /** `model@version`, or `service:` and the name of a service. */
  item: idSchema,
  promptTokens: z.int().min(0),
  completionTokens: z.int().min(0),
  priceMicros: z.int().min(0),
  /** Digest of the idempotency key, if there was one; repeated requests are billed once by it. */
  keyDigest: z.string().max(64).optional(),
}).readonly();

const usageSchema = z.strictObject({
  promptTokens: z.int().min(0),
  completionTokens: z.int().min(0),
}).readonly();

const modelWorkSchema = z.strictObject({
  type: z.literal("model"),
  model: idSchema,
  version: idSchema,
  isStreamed: z.boolean(),
  /** Whether the caller asked for the usage event of a streamed response. */
  wantsUsage: z.boolean(),
}).readonly();

const serviceWorkSchema = z.strictObject({
  type: z.literal("service"),
  service: idSchema,
  method: z.string().max(16),
  path: z.string().max(4_096),
  headers: headersSchema,
  /** Present if the idempotency key must be claimed before the call is run. */
  claim: z.strictObject({
    key: z.string().max(64),
    bodyHash: z.string().max(64),
    partition: z.int().min(0),
    /** Earlier attempts under this key that were never committed and never will be. */
    voided: z.array(z.string().max(256)).max(16).readonly(),
  }).readonly().optional(),
  isRepeatable: z.boolean(),
}).readonly();

const timeSchema = z.strictObject({ wallMs: z.number(), count: z.number() })
  .readonly();
/** Hybrid time of frames that cause timeline events at the receiver; set on sending. */
const timestampField = { time: timeSchema.optional() };

/** Schemas by frame type. */
export const frameSchemas = {
  challenge: z.strictObject({ type: z.literal("challenge"), nonce: idSchema }),
  hello: z.strictObject({
    type: z.literal("hello"),
    protocol: z.int(),
    processId: idSchema,
    incarnation: idSchema,
    dataCentre: z.string().max(64),
    nonce: idSchema,
    proof: idSchema,
  }),
  welcome: z.strictObject({
    type: z.literal("welcome"),
    processId: idSchema,
    incarnation: idSchema,
    dataCentre: z.string().max(64),
    proof: idSchema,
  }),
  ping: z.strictObject({
    type: z.literal("ping"),
    nonce: z.int(),
    view: viewSchema,
  }),
  pong: z.strictObject({
    type: z.literal("pong"),
    nonce: z.int(),
    view: viewSchema,
  }),
  /** An unsolicited view, for a change that must not wait for the next ping. */
  notice: z.strictObject({ type: z.literal("notice"), view: viewSchema }),
  bundle: z.strictObject({
    type: z.literal("bundle"),
    signed: bundle.signedBundleSchema,
  }),
  /** Requests the bundle if it is newer than `heldRevision`. */
  pull: z.strictObject({
    type: z.literal("pull"),
    heldRevision: z.int().min(0),
  }),
  /** Tells the receiver that the platform's VM list marks it as leaving. */
  marked: z.strictObject({ type: z.literal("marked") }),
  work: z.strictObject({
    ...timestampField,
    type: z.literal("work"),
    attemptId: idSchema,
    requestId: idSchema,
    revision: z.int().min(0),
    account: idSchema,
    shareWeight: z.number().positive(),
    priority: z.int(),
    deadlineInMs: z.number(),
    body: bytesSchema,
    /**
     * The gate waits for `commit` before it runs the call, so that the entry knows
     * that a call which it has not committed was not run.
     */
    isTwoPhase: z.boolean(),
    call: z.discriminatedUnion("type", [modelWorkSchema, serviceWorkSchema]),
  }),
  reserved: z.strictObject({
    ...timestampField,
    type: z.literal("reserved"),
    attemptId: idSchema,
  }),
  commit: z.strictObject({
    ...timestampField,
    type: z.literal("commit"),
    attemptId: idSchema,
  }),
  head: z.strictObject({
    ...timestampField,
    type: z.literal("head"),
    attemptId: idSchema,
    status: z.int().min(100).max(599),
    headers: headersSchema,
    isReplay: z.boolean(),
  }),
  chunk: z.strictObject({
    type: z.literal("chunk"),
    attemptId: idSchema,
    number: z.int().min(1),
    data: bytesSchema,
  }),
  final: z.strictObject({
    ...timestampField,
    type: z.literal("final"),
    attemptId: idSchema,
    count: z.int().min(0),
    checksum: z.int().min(0),
    usage: usageSchema,
  }),
  refused: z.strictObject({
    ...timestampField,
    type: z.literal("refused"),
    attemptId: idSchema,
    kind: errorKindSchema,
    message: z.string().max(1_000),
  }),
  cancel: z.strictObject({ type: z.literal("cancel"), attemptId: idSchema }),
  credit: z.strictObject({
    type: z.literal("credit"),
    attemptId: idSchema,
    frames: z.int().min(1),
  }),
  /** A backup copy of a bill, for the process that served the request. */
  bill: z.strictObject({ type: z.literal("bill"), bill: billSchema }),
  /** Stored bills of a cell: all numbers up to `watermark`, and those in `above`. */
  stored: z.strictObject({
    type: z.literal("stored"),
    cell: idSchema,
    watermark: z.int().min(0),
    above: z.array(z.int()).readonly(),
  }),
  /** Registers a session's pin at an upstream process, which answers with the pin in effect. */
  pin: z.strictObject({
    type: z.literal("pin"),
    nonce: z.int(),
    sessionId: z.string().max(256),
    birthRevision: z.int().min(0),
    excluded: z.array(z.string()).readonly(),
  }),
  pinned: z.strictObject({
    type: z.literal("pinned"),
    nonce: z.int(),
    birthRevision: z.int().min(0),
    excluded: z.array(z.string()).readonly(),
  }),
} as const;

/** Types of the frames that carry a hybrid time of their own. */
export const TIMESTAMPED_FRAME_TYPES: ReadonlySet<string> = new Set(
  Object.entries(frameSchemas)
    .filter(([, schema]) => "time" in schema.shape)
    .map(([type]) => type),
);

export type FrameType = keyof typeof frameSchemas;

export type FrameOf<T extends FrameType> = Readonly<
  z.infer<(typeof frameSchemas)[T]>
>;

export type Frame = { [T in FrameType]: FrameOf<T> }[FrameType];

/** View that one process sends to another. */
export type PeerView = z.infer<typeof viewSchema>;
export type UpstreamStatus = z.infer<typeof statusSchema>;
export type WireBill = z.infer<typeof billSchema>;
export type WorkCall = FrameOf<"work">["call"];
export type Usage = z.infer<typeof usageSchema>;

/** Validates a decoded frame; `undefined` if it has an unknown type or does not match its schema. */
export function parseFrame(data: unknown): Frame | undefined {
  if (typeof data !== "object" || data === null || !("type" in data)) {
    return undefined;
  }
  const type = data.type;
  if (typeof type !== "string" || !Object.hasOwn(frameSchemas, type)) {
    return undefined;
  }
  const parsed = frameSchemas[type as FrameType].safeParse(data);
  return parsed.success ? parsed.data as Frame : undefined;
}
