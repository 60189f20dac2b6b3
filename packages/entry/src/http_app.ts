/** The callers' HTTP interface: the OpenAI-style API and plain services. */
import * as crypto from "node:crypto";
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as hono from "hono";
import * as honoBodyLimit from "hono/body-limit";
import * as neverthrow from "neverthrow";
import type * as carriers from "./response_relay.ts";
import * as callerRequests from "./caller_request.ts";
import type * as dispatchers from "./dispatch.ts";
import type * as requests from "./requests.ts";
import type * as sessionTables from "./session_resolver.ts";
import type * as tokens from "./tokens.ts";

const FALLBACK_MAX_BODY_BYTES = 1_048_576;

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

/** Builds the callers' routes. */
export class CallerApp {
  readonly #options: HttpOptions;

  constructor(options: HttpOptions) {
    this.#options = options;
  }

  build(): hono.Hono<callerRequests.CallerEnvironment> {
    const app = new hono.Hono<callerRequests.CallerEnvironment>();
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
      return callerRequests.createErrorResponse(error, crypto.randomUUID());
    });
    app.onError((error) => {
      this.#options.services.log.error(
        `request: ${kernel.describeThrown(error)}`,
      );
      const answer = kernel.makeError("internal", "an internal error");
      return callerRequests.createErrorResponse(answer, crypto.randomUUID());
    });
    return app;
  }

  async #track(
    context: callerRequests.CallerContext,
    next: hono.Next,
  ): Promise<Response | undefined> {
    const { tracker } = this.#options;
    if (tracker.isDraining) {
      const error = kernel.makeError("leaving", "this entry is shutting down");
      const response = callerRequests.createErrorResponse(
        error,
        crypto.randomUUID(),
      );
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
    context: callerRequests.CallerContext,
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
        const response = callerRequests.createErrorResponse(
          error,
          crypto.randomUUID(),
        );
        // The rest of the body is not read, so the connection cannot be used again.
        response.headers.set("connection", "close");
        return response;
      },
    });
    return limit(context, next);
  }

  #readBase(context: callerRequests.CallerContext): kernel.Outcome<CallerBase> {
    const { holder, services } = this.#options;
    const index = holder.index;
    if (index === undefined) {
      return kernel.fail("no-bundle", "no bundle is held yet");
    }
    const account = callerRequests.authenticate(
      context.req.header("authorization"),
      index,
    );
    if (account.isErr()) return neverthrow.err(account.error);
    const key = callerRequests.readIdempotencyKey(
      context.req.header("idempotency-key"),
    );
    if (key.isErr()) return neverthrow.err(key.error);
    return callerRequests.readDeadline(
      context.req.header(callerRequests.HEADERS.deadline),
      index,
    ).map((
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

  #listModels(context: callerRequests.CallerContext): Response {
    const base = this.#readBase(context);
    if (base.isErr()) {
      return callerRequests.createErrorResponse(
        base.error,
        crypto.randomUUID(),
      );
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

  async #chat(context: callerRequests.CallerContext): Promise<Response> {
    const base = this.#readBase(context);
    if (base.isErr()) {
      return callerRequests.createErrorResponse(
        base.error,
        crypto.randomUUID(),
      );
    }
    const { requestId } = base.value;
    const bytes = new Uint8Array(await context.req.arrayBuffer());
    const body = callerRequests.parseChat(bytes);
    if (body.isErr()) {
      return callerRequests.createErrorResponse(body.error, requestId);
    }
    const request = await this.#buildModelRequest(context, base.value, {
      bytes,
      body: body.value,
    });
    if (request.isErr()) {
      return callerRequests.createErrorResponse(request.error, requestId);
    }
    const response = request.value.isStreamed
      ? await this.#answerStreamed(context, request.value)
      : await this.#answerWhole(request.value);
    return response;
  }

  async #buildModelRequest(
    context: callerRequests.CallerContext,
    base: CallerBase,
    input: {
      readonly bytes: Uint8Array;
      readonly body: callerRequests.ChatBody;
    },
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
      context.req.header(callerRequests.HEADERS.session),
      account.name,
    );
    const promptStart = callerRequests.readPromptStart(body);
    return session.map(({ pin, isNamed }) => ({
      ...base,
      body: bytes,
      model: body.model,
      isStreamed: body.stream === true,
      wantsUsage: body.stream_options?.include_usage === true,
      promptChars: callerRequests.countPromptChars(body),
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
    context: callerRequests.CallerContext,
    request: requests.ModelRequest,
  ): Promise<Response> {
    const started = await this.#options.dispatcher.startChat(request);
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

  async #callService(context: callerRequests.CallerContext): Promise<Response> {
    const base = this.#readBase(context);
    if (base.isErr()) {
      return callerRequests.createErrorResponse(
        base.error,
        crypto.randomUUID(),
      );
    }
    const { index, account, requestId } = base.value;
    const name = context.req.param("service") ?? "";
    const service = index.serviceByName.get(name);
    if (service === undefined) {
      const error = kernel.makeError(
        "unknown-service",
        `there is no service '${name}'`,
      );
      return callerRequests.createErrorResponse(error, requestId);
    }
    if (!account.services.includes(name)) {
      const error = kernel.makeError(
        "service-not-allowed",
        `this account may not use '${name}'`,
      );
      return callerRequests.createErrorResponse(error, requestId);
    }
    const request: requests.ServiceRequest = {
      ...base.value,
      body: new Uint8Array(await context.req.arrayBuffer()),
      service,
      method: context.req.method,
      path: callerRequests.readServicePath(context.req.url, name),
      headers: callerRequests.pickRequestHeaders(context),
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
    return callerRequests.createErrorResponse(error, requestId);
  }

  #buildHeaders(
    request: requests.CallerRequest,
    answer: requests.StartedResponse,
  ): Record<string, string> {
    const headers: Record<string, string> = {
      ...answer.headers,
      [callerRequests.HEADERS.requestId]: request.requestId,
      [callerRequests.HEADERS.version]: answer.item,
      [callerRequests.HEADERS.revision]: String(this.#options.holder.revision),
    };
    if (answer.pin !== undefined) {
      headers[callerRequests.HEADERS.session] = this.#options.tokens.mint(
        answer.pin,
      );
    }
    if (answer.movedFrom !== undefined) {
      headers[callerRequests.HEADERS.movedFrom] = answer.movedFrom;
    }
    if (answer.isReplay) headers[callerRequests.HEADERS.replayed] = "true";
    return headers;
  }
}
