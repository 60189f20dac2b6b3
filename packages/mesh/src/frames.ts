/**
 * The frames between the system's processes. Both sides validate every frame;
 * a frame that does not fit closes the connection.
 */
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as z from "zod";

/** Largest frame that a process accepts. */
export const MAX_FRAME_BYTES = 4 * 1_048_576;
/** Largest piece of an answer in one frame. */
export const MAX_CHUNK_BYTES = 65_536;
/** Frames of an answer that may be on their way before the reader grants more. */
export const INITIAL_CREDIT_FRAMES = 32;
/** Version of this protocol; both sides must speak the same. */
export const PROTOCOL_VERSION = 1;

const idSchema = z.string().min(1).max(256);
const bytesSchema = z.custom<Uint8Array>((data) => data instanceof Uint8Array);
const headersSchema = z.record(z.string(), z.string()).readonly();
const kindSchema = z.string().refine(
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
  /** Mean time that a unit of work held a slot lately. */
  serviceMs: z.number().min(0),
  isLeaving: z.boolean(),
  dataCentre: z.string(),
}).readonly();

const viewSchema = z.strictObject({
  revision: z.int().min(0),
  /** Age of the store's last confirmation of that revision; -1 for never. */
  confirmedAgeMs: z.number().min(-1),
  /** Age of the last try to learn what the store holds; -1 for never. */
  checkedAgeMs: z.number().min(-1),
  time: z.strictObject({ wallMs: z.number(), count: z.number() }).readonly(),
  status: statusSchema.optional(),
  /** Roll-outs that a guard has stopped, as `model@version#step`. */
  stopped: z.array(z.string()).readonly().optional(),
}).readonly();

const billSchema = z.strictObject({
  cell: idSchema,
  number: z.int().min(1),
  account: idSchema,
  item: idSchema,
  promptTokens: z.int().min(0),
  completionTokens: z.int().min(0),
  priceMicros: z.int().min(0),
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
  /** The caller asked for the usage event of a streamed answer. */
  wantsUsage: z.boolean(),
}).readonly();

const serviceWorkSchema = z.strictObject({
  type: z.literal("service"),
  service: idSchema,
  method: z.string().max(16),
  path: z.string().max(4_096),
  headers: headersSchema,
  /** Set when the call has to be claimed before it runs. */
  claim: z.strictObject({
    key: z.string().max(64),
    bodyHash: z.string().max(64),
    partition: z.int().min(0),
    /** Attempts under this key that were never committed and never will be. */
    voided: z.array(z.string().max(256)).max(16).readonly(),
  }).readonly().optional(),
  isRepeatable: z.boolean(),
}).readonly();

const timeSchema = z.strictObject({ wallMs: z.number(), count: z.number() })
  .readonly();
/** Hybrid time of frames that cause events on the other side; set when they are sent. */
const stamp = { time: timeSchema.optional() };

/** Every frame by its type. */
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
  /** Sent at once when a view changes in a way that cannot wait for a heartbeat. */
  notice: z.strictObject({ type: z.literal("notice"), view: viewSchema }),
  bundle: z.strictObject({
    type: z.literal("bundle"),
    signed: bundle.signedBundleSchema,
  }),
  pull: z.strictObject({
    type: z.literal("pull"),
    heldRevision: z.int().min(0),
  }),
  /** The platform's VM list marks the receiver as leaving. */
  marked: z.strictObject({ type: z.literal("marked") }),
  work: z.strictObject({
    ...stamp,
    type: z.literal("work"),
    attemptId: idSchema,
    requestId: idSchema,
    revision: z.int().min(0),
    account: idSchema,
    shareWeight: z.number().positive(),
    priority: z.int(),
    deadlineInMs: z.number(),
    body: bytesSchema,
    /** The gate asks before it starts, so that silence before that is "not run". */
    isTwoPhase: z.boolean(),
    call: z.discriminatedUnion("type", [modelWorkSchema, serviceWorkSchema]),
  }),
  reserved: z.strictObject({
    ...stamp,
    type: z.literal("reserved"),
    attemptId: idSchema,
  }),
  commit: z.strictObject({
    ...stamp,
    type: z.literal("commit"),
    attemptId: idSchema,
  }),
  head: z.strictObject({
    ...stamp,
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
    ...stamp,
    type: z.literal("final"),
    attemptId: idSchema,
    count: z.int().min(0),
    checksum: z.int().min(0),
    usage: usageSchema,
  }),
  refused: z.strictObject({
    ...stamp,
    type: z.literal("refused"),
    attemptId: idSchema,
    kind: kindSchema,
    message: z.string().max(1_000),
  }),
  cancel: z.strictObject({ type: z.literal("cancel"), attemptId: idSchema }),
  credit: z.strictObject({
    type: z.literal("credit"),
    attemptId: idSchema,
    frames: z.int().min(1),
  }),
  /** A copy of a bill for the process that served the answer. */
  bill: z.strictObject({ type: z.literal("bill"), bill: billSchema }),
  /** Bills of a cell that are stored: all up to the watermark and those above. */
  stored: z.strictObject({
    type: z.literal("stored"),
    cell: idSchema,
    watermark: z.int().min(0),
    above: z.array(z.int()).readonly(),
  }),
  /** Asks a session's home for its birth revision, and registers it. */
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

/** Types of the frames that carry a hybrid time. */
export const TIMESTAMPED_FRAME_TYPES: ReadonlySet<string> = new Set(
  Object.entries(frameSchemas)
    .filter(([, schema]) => "time" in schema.shape)
    .map(([type]) => type),
);

export type FrameType = keyof typeof frameSchemas;

/** A frame of one type. */
export type FrameOf<T extends FrameType> = Readonly<
  z.infer<(typeof frameSchemas)[T]>
>;

/** Any frame. */
export type Frame = { [T in FrameType]: FrameOf<T> }[FrameType];

export type PeerView = z.infer<typeof viewSchema>;
export type UpstreamStatus = z.infer<typeof statusSchema>;
export type WireBill = z.infer<typeof billSchema>;
export type WorkCall = FrameOf<"work">["call"];
export type Usage = z.infer<typeof usageSchema>;

/** Checks a decoded frame. */
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
