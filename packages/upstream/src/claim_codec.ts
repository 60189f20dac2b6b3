/** Stored form of claim journals: JSON with bodies in base64, validated when read. */
import type * as decisions from "@jackdawbank/decisions";
import * as z from "zod";

const answerSchema = z.object({
  status: z.int(),
  contentType: z.string(),
  /** Base64. */
  body: z.string().optional(),
});
const recordSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("claim"),
    key: z.string(),
    bodyHash: z.string(),
    atMs: z.number(),
    claimId: z.string(),
    replaces: z.string().optional(),
  }),
  z.object({
    type: z.literal("release"),
    key: z.string(),
    claimId: z.string(),
  }),
  z.object({
    type: z.literal("done"),
    key: z.string(),
    claimId: z.string(),
    answer: answerSchema,
  }),
]);
const segmentSchema = z.object({
  ownerId: z.string(),
  isOpening: z.boolean(),
  batchId: z.string(),
  records: z.array(recordSchema),
});
const snapshotSchema = z.object({
  number: z.int(),
  entries: z.array(z.object({
    key: z.string(),
    bodyHash: z.string(),
    claimId: z.string(),
    atMs: z.number(),
    state: z.enum(["claimed", "done", "released"]),
    answer: answerSchema.optional(),
  })),
});

type EncodedAnswer = z.infer<typeof answerSchema>;

function encodeAnswer(answer: decisions.StoredAnswer): EncodedAnswer {
  const { status, contentType, body } = answer;
  if (body === undefined) return { status, contentType };
  return { status, contentType, body: Buffer.from(body).toString("base64") };
}

function decodeAnswer(answer: EncodedAnswer): decisions.StoredAnswer {
  const body = answer.body === undefined
    ? undefined
    : Buffer.from(answer.body, "base64");
  return { status: answer.status, contentType: answer.contentType, body };
}

/** Encodes a segment for the store. */
export function encodeSegment(segment: decisions.ClaimSegment): string {
  const records = segment.records.map((record) =>
    record.type === "done"
      ? { ...record, answer: encodeAnswer(record.answer) }
      : record
  );
  return JSON.stringify({ ...segment, records });
}

/** Decodes a stored segment; `undefined` if the text is invalid. */
export function decodeSegment(
  text: string,
): decisions.ClaimSegment | undefined {
  const parsed = parseJson(segmentSchema, text);
  if (parsed === undefined) return undefined;
  const records = parsed.records.map((record) =>
    record.type === "done"
      ? { ...record, answer: decodeAnswer(record.answer) }
      : record
  );
  return { ...parsed, records };
}

/** Encodes a snapshot for the store. */
export function encodeSnapshot(snapshot: decisions.ClaimSnapshot): string {
  const entries = snapshot.entries.map((entry) => ({
    ...entry,
    answer: entry.answer && encodeAnswer(entry.answer),
  }));
  return JSON.stringify({ ...snapshot, entries });
}

/** Decodes a stored snapshot; `undefined` if the text is invalid. */
export function decodeSnapshot(
  text: string,
): decisions.ClaimSnapshot | undefined {
  const parsed = parseJson(snapshotSchema, text);
  if (parsed === undefined) return undefined;
  const entries = parsed.entries.map((entry) => ({
    ...entry,
    answer: entry.answer && decodeAnswer(entry.answer),
  }));
  return { ...parsed, entries };
}

function parseJson<S extends z.ZodType>(
  schema: S,
  text: string,
): z.infer<S> | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
