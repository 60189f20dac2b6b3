/** The callers' HTTP interface: the OpenAI-style API and plain services. */
import * as crypto from "node:crypto";
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as hono from "hono";
import * as honoBodyLimit from "hono/body-limit";
import * as neverthrow from "neverthrow";
import * as z from "zod";
import type * as carriers from "./answers.ts";
import type * as dispatchers from "./dispatch.ts";
import type * as requests from "./requests.ts";
import type * as sessionTables from "./sessions.ts";
import type * as tokens from "./tokens.ts";

const MAX_KEY_CHARS = 256;
const MIN_DEADLINE_MS = 1;
const PREFIX_KEY_CHARS = 512;
const FALLBACK_MAX_BODY_BYTES = 1_048_576;

/** What the routes keep with a request. */
interface CallerEnvironment {
  Variables: { isStreamed: boolean };
}

type CallerContext = hono.Context<CallerEnvironment>;

/** Response headers of ours. */
const HEADERS = {
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
type ChatBody = z.infer<typeof chatSchema>;

/** What the routes need from the process. */
export interface HttpOptions {
  readonly services: kernel.KernelServices;
  readonly holder: config.BundleHolder;
  readonly carrier: carriers.AnswerCarrier;
  readonly dispatcher: dispatchers.Dispatcher;
  readonly sessions: sessionTables.Sessions;
  readonly tokens: tokens.SessionTokens;
  /** Counts requests in flight; refuses once the entry drains. */
  readonly tracker: RequestTracker;
}

/** Counts the requests that a drain has to wait for. */
export interface RequestTracker {
  readonly isDraining: boolean;
  open(): void;
  close(): void;
}

/** What authentication and headers give for every request. */
interface CallerBase {
  readonly account: bundle.Account;
  readonly index: decisions.BundleIndex;
  readonly requestId: string;
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  readonly signal: AbortSignal;
}

function createErrorResponse(
  error: kernel.AppError,
  requestId: string,
): Response {
  const answer = kernel.findAnswer(error.kind);
  const headers: Record<string, string> = {
    "content-type": "application/json",
    [HEADERS.requestId]: requestId,
  };
  if (answer.retry === "later" || answer.status === 409) {
    headers["retry-after"] = "1";
  }
  const body = {
    error: {
      message: error.message,
      type: error.kind,
      code: error.kind,
      not_run: answer.notRun,
      retry: answer.retry,
      request_id: requestId,
    },
  };
  return new Response(JSON.stringify(body), { status: answer.status, headers });
}

function readDeadline(
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

function readIdempotencyKey(
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

function authenticate(
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
    "give the account's key as 'Authorization: Bearer <key>'",
  );
}

function countPromptChars(body: ChatBody): number {
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

function readPromptStart(body: ChatBody): string {
  const first = body.messages[0]?.content;
  const text = typeof first === "string" ? first : JSON.stringify(first ?? "");
  return text.slice(0, PREFIX_KEY_CHARS);
}

/** Builds the callers' routes. */
export class CallerApp {
  readonly #options: HttpOptions;

  constructor(options: HttpOptions) {
    this.#options = options;
  }

  build(): hono.Hono<CallerEnvironment> {
    const app = new hono.Hono<CallerEnvironment>();
    app.use("*", (context, next) => this.#track(context, next));
    app.use("*", (context, next) => this.#limitBody(context, next));
    app.get("/v1/models", (context) => this.#listModels(context));
    app.post("/v1/chat/completions", (context) => this.#chat(context));
    app.all("/services/:service/*", (context) => this.#callService(context));
    app.all("/services/:service", (context) => this.#callService(context));
    app.notFound((context) => {
      const error = kernel.makeError(
        "not-found",
        `no such path: ${context.req.path}`,
      );
      return createErrorResponse(error, crypto.randomUUID());
    });
    app.onError((error) => {
      this.#options.services.log.error(
        `request: ${kernel.describeThrown(error)}`,
      );
      const answer = kernel.makeError("internal", "an internal error");
      return createErrorResponse(answer, crypto.randomUUID());
    });
    return app;
  }

  async #track(
    context: CallerContext,
    next: hono.Next,
  ): Promise<Response | undefined> {
    const { tracker } = this.#options;
    if (tracker.isDraining) {
      const error = kernel.makeError("leaving", "this entry is shutting down");
      const response = createErrorResponse(error, crypto.randomUUID());
      response.headers.set("connection", "close");
      return response;
    }
    tracker.open();
    try {
      await next();
    } finally {
      // A streamed answer closes itself when its last byte has been passed on.
      if (context.get("isStreamed") !== true) tracker.close();
    }
    return undefined;
  }

  #limitBody(
    context: CallerContext,
    next: hono.Next,
  ): Promise<Response | void> {
    const maxSize = this.#options.holder.index?.bundle.limits.maxBodyBytes ??
      FALLBACK_MAX_BODY_BYTES;
    const limit = honoBodyLimit.bodyLimit({
      maxSize,
      onError: () => {
        const error = kernel.makeError(
          "body-too-large",
          `the body is over ${maxSize} bytes`,
        );
        const response = createErrorResponse(error, crypto.randomUUID());
        // The rest of the body is not read, so the connection cannot be used again.
        response.headers.set("connection", "close");
        return response;
      },
    });
    return limit(context, next);
  }

  #readBase(context: CallerContext): kernel.Outcome<CallerBase> {
    const { holder, services } = this.#options;
    const index = holder.index;
    if (index === undefined) {
      return kernel.fail("no-bundle", "no bundle is held yet");
    }
    const account = authenticate(context.req.header("authorization"), index);
    if (account.isErr()) return neverthrow.err(account.error);
    const key = readIdempotencyKey(context.req.header("idempotency-key"));
    if (key.isErr()) return neverthrow.err(key.error);
    return readDeadline(context.req.header(HEADERS.deadline), index).map((
      deadlineMs,
    ) => ({
      account: account.value,
      index,
      requestId: crypto.randomUUID(),
      deadlineAtMs: services.clock.monotonicMs() + deadlineMs,
      idempotencyKey: key.value,
      signal: context.req.raw.signal,
    }));
  }

  #listModels(context: CallerContext): Response {
    const base = this.#readBase(context);
    if (base.isErr()) {
      return createErrorResponse(base.error, crypto.randomUUID());
    }
    const { index, account } = base.value;
    const data = decisions.listUsableModels(index, account).map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "jackdawbank",
    }));
    return context.json({ object: "list", data });
  }

  async #chat(context: CallerContext): Promise<Response> {
    const base = this.#readBase(context);
    if (base.isErr()) {
      return createErrorResponse(base.error, crypto.randomUUID());
    }
    const { requestId } = base.value;
    const bytes = new Uint8Array(await context.req.arrayBuffer());
    const body = parseChat(bytes);
    if (body.isErr()) return createErrorResponse(body.error, requestId);
    const request = await this.#buildModelRequest(context, base.value, {
      bytes,
      body: body.value,
    });
    if (request.isErr()) return createErrorResponse(request.error, requestId);
    const response = request.value.isStreamed
      ? await this.#answerStreamed(context, request.value)
      : await this.#answerWhole(request.value);
    return response;
  }

  async #buildModelRequest(
    context: CallerContext,
    base: CallerBase,
    input: { readonly bytes: Uint8Array; readonly body: ChatBody },
  ): Promise<kernel.Outcome<requests.ModelRequest>> {
    const { body, bytes } = input;
    const { index, account } = base;
    const isKnown = index.modelByName.has(body.model) ||
      index.cascadeByName.has(body.model);
    if (!isKnown) {
      return kernel.fail("unknown-model", `there is no model '${body.model}'`);
    }
    if (!decisions.listUsableModels(index, account).includes(body.model)) {
      return kernel.fail(
        "model-not-allowed",
        `this account may not use '${body.model}'`,
      );
    }
    const session = await this.#options.sessions.resolve(
      context.req.header(HEADERS.session),
      account.name,
    );
    const promptStart = readPromptStart(body);
    return session.map(({ pin, isNamed }) => ({
      ...base,
      body: bytes,
      model: body.model,
      isStreamed: body.stream === true,
      wantsUsage: body.stream_options?.include_usage === true,
      promptChars: countPromptChars(body),
      promptStart,
      prefixKey: `${account.name}/${body.model}/${promptStart}`,
      arrivedAtMs: this.#options.services.clock.monotonicMs(),
      pin,
      hasSession: isNamed,
    }));
  }

  async #answerWhole(request: requests.ModelRequest): Promise<Response> {
    const answer = await this.#options.carrier.gatherModel(request);
    if (answer.isErr()) return this.#fail(request, answer.error);
    const { status, body } = answer.value;
    const headers = this.#buildHeaders(request, answer.value);
    return new Response(Buffer.from(body), { status, headers });
  }

  async #answerStreamed(
    context: CallerContext,
    request: requests.ModelRequest,
  ): Promise<Response> {
    const started = await this.#options.dispatcher.startModel(request);
    if (started.isErr()) return this.#fail(request, started.error);
    const { carrier, tracker } = this.#options;
    const headers = this.#buildHeaders(request, started.value);
    const isStream = headers["content-type"]?.includes("event-stream") === true;
    if (!isStream) {
      const whole = await carrier.gatherStarted(request, started.value);
      if (whole.isErr()) return this.#fail(request, whole.error);
      return new Response(Buffer.from(whole.value.body), {
        status: whole.value.status,
        headers,
      });
    }
    context.set("isStreamed", true);
    const stream = carrier.stream(
      request,
      started.value,
      () => tracker.close(),
    );
    return new Response(stream, { status: started.value.status, headers });
  }

  async #callService(context: CallerContext): Promise<Response> {
    const base = this.#readBase(context);
    if (base.isErr()) {
      return createErrorResponse(base.error, crypto.randomUUID());
    }
    const { index, account, requestId } = base.value;
    const name = context.req.param("service") ?? "";
    const service = index.serviceByName.get(name);
    if (service === undefined) {
      const error = kernel.makeError(
        "unknown-service",
        `there is no service '${name}'`,
      );
      return createErrorResponse(error, requestId);
    }
    if (!account.services.includes(name)) {
      const error = kernel.makeError(
        "service-not-allowed",
        `this account may not use '${name}'`,
      );
      return createErrorResponse(error, requestId);
    }
    const request: requests.ServiceRequest = {
      ...base.value,
      body: new Uint8Array(await context.req.arrayBuffer()),
      service,
      method: context.req.method,
      path: readServicePath(context.req.url, name),
      headers: pickRequestHeaders(context),
    };
    const answer = await this.#options.carrier.gatherService(request);
    if (answer.isErr()) return this.#fail(request, answer.error);
    const { status, body } = answer.value;
    const headers = this.#buildHeaders(request, answer.value);
    const hasBody = body.byteLength > 0 && request.method !== "HEAD";
    return new Response(hasBody ? Buffer.from(body) : null, {
      status,
      headers,
    });
  }

  #fail(request: requests.CallerRequest, error: kernel.AppError): Response {
    const { requestId, account } = request;
    this.#options.services.timeline.record("request.refused", {
      requestId,
      account: account.name,
      detail: error.kind,
    });
    this.#options.services.metrics.increment("request.refused", {
      kind: error.kind,
    });
    return createErrorResponse(error, requestId);
  }

  #buildHeaders(
    request: requests.CallerRequest,
    answer: requests.StartedAnswer,
  ): Record<string, string> {
    const headers: Record<string, string> = {
      ...answer.headers,
      [HEADERS.requestId]: request.requestId,
      [HEADERS.version]: answer.item,
      [HEADERS.revision]: String(this.#options.holder.revision),
    };
    if (answer.pin !== undefined) {
      headers[HEADERS.session] = this.#options.tokens.mint(answer.pin);
    }
    if (answer.movedFrom !== undefined) {
      headers[HEADERS.movedFrom] = answer.movedFrom;
    }
    if (answer.isReplay) headers[HEADERS.replayed] = "true";
    return headers;
  }
}

function parseChat(bytes: Uint8Array): kernel.Outcome<ChatBody> {
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

function readServicePath(url: string, service: string): string {
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

function pickRequestHeaders(
  context: CallerContext,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    FORWARDED_HEADERS.flatMap((name) => {
      const value = context.req.header(name);
      return value === undefined ? [] : [[name, value] as const];
    }),
  );
}
