/** How claim journals stand in the store: JSON, bodies in base64, checked when read. */
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

type WireAnswer = z.infer<typeof answerSchema>;

function packAnswer(answer: decisions.StoredAnswer): WireAnswer {
  const { status, contentType, body } = answer;
  if (body === undefined) return { status, contentType };
  return { status, contentType, body: Buffer.from(body).toString("base64") };
}

function unpackAnswer(answer: WireAnswer): decisions.StoredAnswer {
  const body = answer.body === undefined
    ? undefined
    : Buffer.from(answer.body, "base64");
  return { status: answer.status, contentType: answer.contentType, body };
}

/** Text of a segment as it is stored. */
export function packSegment(segment: decisions.ClaimSegment): string {
  const records = segment.records.map((record) =>
    record.type === "done"
      ? { ...record, answer: packAnswer(record.answer) }
      : record
  );
  return JSON.stringify({ ...segment, records });
}

/** Reads a stored segment; `undefined` when it is none. */
export function unpackSegment(
  text: string,
): decisions.ClaimSegment | undefined {
  const parsed = parseWith(segmentSchema, text);
  if (parsed === undefined) return undefined;
  const records = parsed.records.map((record) =>
    record.type === "done"
      ? { ...record, answer: unpackAnswer(record.answer) }
      : record
  );
  return { ...parsed, records };
}

/** Text of a snapshot as it is stored. */
export function packSnapshot(snapshot: decisions.ClaimSnapshot): string {
  const entries = snapshot.entries.map((entry) => ({
    ...entry,
    answer: entry.answer && packAnswer(entry.answer),
  }));
  return JSON.stringify({ ...snapshot, entries });
}

/** Reads a stored snapshot; `undefined` when it is none. */
export function unpackSnapshot(
  text: string,
): decisions.ClaimSnapshot | undefined {
  const parsed = parseWith(snapshotSchema, text);
  if (parsed === undefined) return undefined;
  const entries = parsed.entries.map((entry) => ({
    ...entry,
    answer: entry.answer && unpackAnswer(entry.answer),
  }));
  return { ...parsed, entries };
}

function parseWith<S extends z.ZodType>(
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
