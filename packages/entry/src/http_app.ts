/** The callers' HTTP interface: the OpenAI-compatible API and plain services. */
import * as crypto from "node:crypto";
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as hono from "hono";
import * as honoBodyLimit from "hono/body-limit";
import * as neverthrow from "neverthrow";
import type * as relays from "./response_relay.ts";
import * as callerRequests from "./caller_request.ts";
import type * as dispatchers from "./dispatch.ts";
import type * as requests from "./requests.ts";
import type * as sessionResolvers from "./sessions.ts";
import type * as tokens from "./tokens.ts";

const FALLBACK_MAX_BODY_BYTES = 1_048_576;

export interface CallerAppOptions {
  readonly services: kernel.KernelServices;
  readonly holder: config.BundleHolder;
  readonly relay: relays.ResponseRelay;
  readonly dispatcher: dispatchers.Dispatcher;
  readonly sessions: sessionResolvers.SessionResolver;
  readonly tokens: tokens.SessionTokens;
  /** Counts requests in flight; while it drains, new requests are refused. */
  readonly tracker: RequestTracker;
}

/** Counts the requests that a drain has to wait for. */
export interface RequestTracker {
  readonly isDraining: boolean;
  startRequest(): void;
  endRequest(): void;
}

/** Fields of every request, from authentication and common headers. */
interface CommonRequestFields {
  readonly account: bundle.Account;
  readonly index: decisions.BundleIndex;
  readonly requestId: string;
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  readonly signal: AbortSignal;
}

/** Builds the callers' routes. */
export class CallerApp {
  readonly #options: CallerAppOptions;

  constructor(options: CallerAppOptions) {
    this.#options = options;
  }

  build(): hono.Hono<callerRequests.CallerEnvironment> {
    const app = new hono.Hono<callerRequests.CallerEnvironment>();
    app.use("*", (context, next) => this.#trackInFlight(context, next));
    app.use("*", (context, next) => this.#limitBody(context, next));
    app.get("/v1/models", (context) => this.#listModels(context));
    app.post("/v1/chat/completions", (context) => this.#handleChat(context));
    app.all(
      "/services/:service/*",
      (context) => this.#handleServiceCall(context),
    );
    app.all(
      "/services/:service",
      (context) => this.#handleServiceCall(context),
    );
    app.notFound((context) => {
      const error = kernel.makeError(
        "not-found",
        `no such path: ${context.req.path}`,
      );
      return callerRequests.createErrorResponse(error, crypto.randomUUID());
    });
    app.onError((error) => {
      this.#options.services.log.error(
        `unhandled error in a request: ${kernel.describeThrown(error)}`,
      );
      const internalError = kernel.makeError("internal", "internal error");
      return callerRequests.createErrorResponse(
        internalError,
        crypto.randomUUID(),
      );
    });
    return app;
  }

  async #trackInFlight(
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
    tracker.startRequest();
    try {
      await next();
    } finally {
      // A streamed response calls `endRequest` itself when its stream ends.
      if (context.get("isStreamed") !== true) tracker.endRequest();
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
          `the request body exceeds ${maxSize} bytes`,
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

  #readCommonFields(
    context: callerRequests.CallerContext,
  ): kernel.Outcome<CommonRequestFields> {
    const { holder, services } = this.#options;
    const index = holder.index;
    if (index === undefined) {
      return kernel.fail("no-bundle", "no bundle has been loaded yet");
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
    return callerRequests.readDeadlineMs(
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
    const common = this.#readCommonFields(context);
    if (common.isErr()) {
      return callerRequests.createErrorResponse(
        common.error,
        crypto.randomUUID(),
      );
    }
    const { index, account } = common.value;
    const data = decisions.listUsableModels(index, account).map((id) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "jackdawbank",
    }));
    return context.json({ object: "list", data });
  }

  async #handleChat(context: callerRequests.CallerContext): Promise<Response> {
    const common = this.#readCommonFields(context);
    if (common.isErr()) {
      return callerRequests.createErrorResponse(
        common.error,
        crypto.randomUUID(),
      );
    }
    const { requestId } = common.value;
    const bytes = new Uint8Array(await context.req.arrayBuffer());
    const body = callerRequests.parseChatBody(bytes);
    if (body.isErr()) {
      return callerRequests.createErrorResponse(body.error, requestId);
    }
    const request = await this.#buildModelRequest(context, common.value, {
      bytes,
      body: body.value,
    });
    if (request.isErr()) {
      return callerRequests.createErrorResponse(request.error, requestId);
    }
    const response = request.value.isStreamed
      ? await this.#respondStreamed(context, request.value)
      : await this.#respondComplete(request.value);
    return response;
  }

  async #buildModelRequest(
    context: callerRequests.CallerContext,
    common: CommonRequestFields,
    input: {
      readonly bytes: Uint8Array;
      readonly body: callerRequests.ChatBody;
    },
  ): Promise<kernel.Outcome<requests.ModelRequest>> {
    const { body, bytes } = input;
    const { index, account } = common;
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
    return session.map(({ pin, hasSessionHeader }) => ({
      ...common,
      body: bytes,
      model: body.model,
      isStreamed: body.stream === true,
      wantsUsage: body.stream_options?.include_usage === true,
      promptChars: callerRequests.countPromptChars(body),
      promptStart,
      prefixKey: `${account.name}/${body.model}/${promptStart}`,
      arrivedAtMs: this.#options.services.clock.monotonicMs(),
      pin,
      hasSessionHeader,
    }));
  }

  async #respondComplete(request: requests.ModelRequest): Promise<Response> {
    const collected = await this.#options.relay.collectChat(request);
    if (collected.isErr()) return this.#refuse(request, collected.error);
    const { status, body } = collected.value;
    const headers = this.#buildHeaders(request, collected.value);
    return new Response(Buffer.from(body), { status, headers });
  }

  async #respondStreamed(
    context: callerRequests.CallerContext,
    request: requests.ModelRequest,
  ): Promise<Response> {
    const started = await this.#options.dispatcher.startChat(request);
    if (started.isErr()) return this.#refuse(request, started.error);
    const { relay, tracker } = this.#options;
    const headers = this.#buildHeaders(request, started.value);
    const isEventStream =
      headers["content-type"]?.includes("event-stream") === true;
    if (!isEventStream) {
      const collected = await relay.collectStarted(request, started.value);
      if (collected.isErr()) return this.#refuse(request, collected.error);
      return new Response(Buffer.from(collected.value.body), {
        status: collected.value.status,
        headers,
      });
    }
    context.set("isStreamed", true);
    const stream = relay.stream(
      request,
      started.value,
      () => tracker.endRequest(),
    );
    return new Response(stream, { status: started.value.status, headers });
  }

  async #handleServiceCall(
    context: callerRequests.CallerContext,
  ): Promise<Response> {
    const common = this.#readCommonFields(context);
    if (common.isErr()) {
      return callerRequests.createErrorResponse(
        common.error,
        crypto.randomUUID(),
      );
    }
    const { index, account, requestId } = common.value;
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
      ...common.value,
      body: new Uint8Array(await context.req.arrayBuffer()),
      service,
      method: context.req.method,
      path: callerRequests.readServicePath(context.req.url, name),
      headers: callerRequests.pickForwardedHeaders(context),
    };
    const collected = await this.#options.relay.collectServiceCall(request);
    if (collected.isErr()) return this.#refuse(request, collected.error);
    const { status, body } = collected.value;
    const headers = this.#buildHeaders(request, collected.value);
    const hasBody = body.byteLength > 0 && request.method !== "HEAD";
    return new Response(hasBody ? Buffer.from(body) : null, {
      status,
      headers,
    });
  }

  #refuse(request: requests.CallerRequest, error: kernel.AppError): Response {
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
    response: requests.StartedResponse,
  ): Record<string, string> {
    const headers: Record<string, string> = {
      ...response.headers,
      [callerRequests.HEADERS.requestId]: request.requestId,
      [callerRequests.HEADERS.version]: response.item,
      [callerRequests.HEADERS.revision]: String(this.#options.holder.revision),
    };
    if (response.pin !== undefined) {
      headers[callerRequests.HEADERS.session] = this.#options.tokens.mint(
        response.pin,
      );
    }
    if (response.movedFrom !== undefined) {
      headers[callerRequests.HEADERS.movedFrom] = response.movedFrom;
    }
    if (response.isReplay) headers[callerRequests.HEADERS.replayed] = "true";
    return headers;
  }
}
