/**
 * Parsing of callers' requests and building of error responses: authentication,
 * headers, deadlines, chat bodies.
 */
import * as crypto from "node:crypto";
import type * as bundle from "@jackdawbank/bundle";
import type * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as hono from "hono";
import * as neverthrow from "neverthrow";
import * as z from "zod";

const MAX_KEY_CHARS = 256;
const MIN_DEADLINE_MS = 1;
const PROMPT_START_CHARS = 512;

/** Variables that the routes keep in a request's context. */
export interface CallerEnvironment {
  Variables: { isStreamed: boolean };
}

export type CallerContext = hono.Context<CallerEnvironment>;

/** Names of the headers that this API defines. */
export const HEADERS = {
  requestId: "x-jackdaw-request-id",
  version: "x-jackdaw-version",
  revision: "x-jackdaw-revision",
  session: "x-jackdaw-session",
  movedFrom: "x-jackdaw-moved-from",
  replayed: "idempotent-replayed",
  deadline: "x-jackdaw-deadline-ms",
} as const;

const chatSchema = z.looseObject({
  model: z.string().min(1).max(128),
  messages: z.array(z.looseObject({
    role: z.string().max(32),
    content: z.unknown(),
  })).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() })
    .nullish(),
});
/** Body of a chat request as callers send it. */
export type ChatBody = z.infer<typeof chatSchema>;

/** Builds the error response to a request, with the status of its error kind. */
export function createErrorResponse(
  error: kernel.AppError,
  requestId: string,
): Response {
  const errorResponse = kernel.findErrorResponse(error.kind);
  const headers: Record<string, string> = {
    "content-type": "application/json",
    [HEADERS.requestId]: requestId,
  };
  if (errorResponse.retry === "later" || errorResponse.status === 409) {
    headers["retry-after"] = "1";
  }
  const body = {
    error: {
      message: error.message,
      type: error.kind,
      code: error.kind,
      not_run: errorResponse.notRun,
      retry: errorResponse.retry,
      request_id: requestId,
    },
  };
  return new Response(JSON.stringify(body), {
    status: errorResponse.status,
    headers,
  });
}

/** Reads a request's deadline; the bundle's default is also the upper limit. */
export function readDeadlineMs(
  header: string | undefined,
  index: decisions.BundleIndex,
): kernel.Outcome<number> {
  const { defaultDeadlineMs } = index.bundle.limits;
  if (header === undefined) return neverthrow.ok(defaultDeadlineMs);
  const value = Number(header);
  if (!Number.isFinite(value) || value < MIN_DEADLINE_MS) {
    return kernel.fail(
      "bad-request",
      `${HEADERS.deadline} must be a number of milliseconds`,
    );
  }
  return neverthrow.ok(Math.min(value, defaultDeadlineMs));
}

export function readIdempotencyKey(
  header: string | undefined,
): kernel.Outcome<string | undefined> {
  if (header === undefined) return neverthrow.ok(undefined);
  if (header.length === 0 || header.length > MAX_KEY_CHARS) {
    return kernel.fail(
      "bad-request",
      `idempotency-key must have 1 to ${MAX_KEY_CHARS} characters`,
    );
  }
  return neverthrow.ok(header);
}

/** Finds the account of the bearer key. */
export function authenticate(
  authorization: string | undefined,
  index: decisions.BundleIndex,
): kernel.Outcome<bundle.Account> {
  const [scheme, key = ""] = (authorization ?? "").split(" ");
  const digest = crypto.createHash("sha256").update(key).digest("hex");
  const account = scheme?.toLowerCase() === "bearer"
    ? index.accountByKey.get(digest)
    : undefined;
  if (account !== undefined) return neverthrow.ok(account);
  return kernel.fail(
    "unauthenticated",
    "the account's key is missing or unknown: send it as 'Authorization: Bearer <key>'",
  );
}

/** Counts the characters of all messages. */
export function countPromptChars(body: ChatBody): number {
  return body.messages.reduce(
    (sum, message) => sum + measureContent(message.content),
    0,
  );
}

function measureContent(content: unknown): number {
  if (typeof content === "string") return content.length;
  return content === undefined || content === null
    ? 0
    : JSON.stringify(content).length;
}

/** Reads the start of the first message, which related requests often share. */
export function readPromptStart(body: ChatBody): string {
  const first = body.messages[0]?.content;
  const text = typeof first === "string" ? first : JSON.stringify(first ?? "");
  return text.slice(0, PROMPT_START_CHARS);
}

/** Parses and checks the body of a chat request. */
export function parseChatBody(bytes: Uint8Array): kernel.Outcome<ChatBody> {
  let data: unknown;
  try {
    data = JSON.parse(Buffer.from(bytes).toString());
  } catch {
    return kernel.fail("bad-request", "the body is not JSON");
  }
  const parsed = chatSchema.safeParse(data);
  if (parsed.success) return neverthrow.ok(parsed.data);
  const reasons = parsed.error.issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.message}`
  );
  return kernel.fail("bad-request", reasons.join("; "));
}

/** Returns the path and query of a service call, without the `/services/NAME` prefix. */
export function readServicePath(url: string, service: string): string {
  const { pathname, search } = new URL(url);
  const rest = pathname.slice(`/services/${service}`.length);
  return `${rest === "" ? "/" : rest}${search}`;
}

const FORWARDED_HEADERS = [
  "content-type",
  "accept",
  "accept-language",
  "traceparent",
];

/** Picks the request headers that are forwarded to a service. */
export function pickForwardedHeaders(
  context: CallerContext,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    FORWARDED_HEADERS.flatMap((name) => {
      const value = context.req.header(name);
      return value === undefined ? [] : [[name, value] as const];
    }),
  );
}
