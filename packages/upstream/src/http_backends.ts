/** HTTP clients of upstreams: model engines with an OpenAI-style API, and plain services. */
import * as kernel from "@jackdawbank/kernel";
import * as mesh from "@jackdawbank/mesh";
import * as eventsourceParser from "eventsource-parser";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";
import type * as backends from "./backend.ts";

const STATE_TIMEOUT_MS = 1_000;
const MAX_BUFFERED_RESPONSE_BYTES = 32 * 1_048_576;
/** Longest line of a stream, in characters; each event's data is one line. */
const MAX_LINE_CHARS = 1_048_576;
const MIN_SUCCESS_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;
type HandlerEvents = undici.Dispatcher.DispatchHandler;

const NO_USAGE: mesh.Usage = { promptTokens: 0, completionTokens: 0 };

const stateSchema = z.object({
  serves: z.array(z.string()).readonly(),
  capacity: z.int().min(0),
});
const usageSchema = z.object({
  usage: z.object({
    prompt_tokens: z.int().min(0),
    completion_tokens: z.int().min(0),
  }).nullish(),
  choices: z.array(z.unknown()).optional(),
});

/** Reason for which a request was not sent. */
class NotSentError extends Error {
  readonly kind: kernel.ErrorKind;

  constructor(kind: kernel.ErrorKind) {
    super("refused before any byte was sent to the upstream");
    this.kind = kind;
  }
}

/** Passes all events on, and aborts a request before its first byte if it must not be sent any more. */
class SendCheckHandler implements undici.Dispatcher.DispatchHandler {
  readonly #handler: undici.Dispatcher.DispatchHandler;
  readonly #findRefusal: () => kernel.ErrorKind | undefined;

  constructor(
    handler: undici.Dispatcher.DispatchHandler,
    findRefusal: () => kernel.ErrorKind | undefined,
  ) {
    this.#handler = handler;
    this.#findRefusal = findRefusal;
  }

  onRequestStart(
    ...args: Parameters<Required<HandlerEvents>["onRequestStart"]>
  ): void {
    this.#handler.onRequestStart?.(...args);
    const kind = this.#findRefusal();
    if (kind !== undefined) args[0].abort(new NotSentError(kind));
  }

  onRequestUpgrade(
    ...args: Parameters<Required<HandlerEvents>["onRequestUpgrade"]>
  ): void {
    this.#handler.onRequestUpgrade?.(...args);
  }

  onResponseStart(
    ...args: Parameters<Required<HandlerEvents>["onResponseStart"]>
  ): void {
    this.#handler.onResponseStart?.(...args);
  }

  onResponseData(
    ...args: Parameters<Required<HandlerEvents>["onResponseData"]>
  ): void {
    this.#handler.onResponseData?.(...args);
  }

  onResponseEnd(
    ...args: Parameters<Required<HandlerEvents>["onResponseEnd"]>
  ): void {
    this.#handler.onResponseEnd?.(...args);
  }

  onResponseError(
    ...args: Parameters<Required<HandlerEvents>["onResponseError"]>
  ): void {
    this.#handler.onResponseError?.(...args);
  }
}

function createPool(url: string): undici.Pool {
  return new undici.Pool(url, {
    connections: null,
    pipelining: 1,
    connect: kernel.markResets(undici.buildConnector({})),
  });
}

/** Returns the client with a check of `work` between connecting and sending. */
function checkBeforeSending(
  client: undici.Pool,
  work: backends.BackendWork,
): undici.Dispatcher {
  return client.compose((dispatch) => (options, handler) =>
    dispatch(options, new SendCheckHandler(handler, work.findRefusal))
  );
}

function isSuccess(status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
}

function readUsage(data: unknown): mesh.Usage | undefined {
  const parsed = usageSchema.safeParse(data);
  const usage = parsed.success ? parsed.data.usage : undefined;
  if (usage === undefined || usage === null) return undefined;
  return {
    promptTokens: usage.prompt_tokens,
    completionTokens: usage.completion_tokens,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Maps a thrown error to an error kind that tells whether the upstream was reached. */
function toAppError(
  thrown: unknown,
  signal: AbortSignal,
): kernel.AppError {
  if (thrown instanceof NotSentError) {
    return kernel.makeError(thrown.kind, thrown.message);
  }
  if (signal.aborted) {
    return kernel.makeError("cancelled", "the request was cancelled");
  }
  const code = thrown instanceof Error && "code" in thrown
    ? String(thrown.code)
    : "";
  const isConnectFailure = code === "ECONNREFUSED" ||
    code === "UND_ERR_CONNECT_TIMEOUT";
  const kind = isConnectFailure ? "upstream-unreachable" : "upstream-failed";
  return kernel.makeError(kind, kernel.describeThrown(thrown));
}

async function sendInChunks(
  data: Uint8Array,
  sink: backends.ResponseSink,
): Promise<void> {
  for (let from = 0; from < data.byteLength; from += mesh.MAX_CHUNK_BYTES) {
    await sink.onChunk(data.subarray(from, from + mesh.MAX_CHUNK_BYTES));
  }
}

async function readState(
  client: undici.Pool,
): Promise<kernel.Outcome<backends.BackendState>> {
  try {
    const response = await client.request({
      method: "GET",
      path: "/state",
      signal: AbortSignal.timeout(STATE_TIMEOUT_MS),
    });
    const parsed = stateSchema.safeParse(await response.body.json());
    if (parsed.success) return neverthrow.ok(parsed.data);
    return kernel.fail(
      "upstream-failed",
      "the upstream's /state response does not have the expected form",
    );
  } catch (thrown) {
    return kernel.fail("upstream-unreachable", kernel.describeThrown(thrown));
  }
}

/** Client of a model engine. */
export class ModelBackend implements backends.Backend {
  readonly #client: undici.Pool;

  constructor(url: string) {
    this.#client = createPool(url);
  }

  readState(): Promise<kernel.Outcome<backends.BackendState>> {
    return readState(this.#client);
  }

  async run(
    work: backends.BackendWork,
    sink: backends.ResponseSink,
  ): Promise<kernel.Outcome<mesh.Usage>> {
    const { call } = work;
    kernel.invariant(
      call.type === "model",
      "a model backend runs model calls only",
    );
    const body = this.#prepareBody(call, work.body);
    if (body === undefined) {
      return kernel.fail("bad-request", "the body is not a JSON object");
    }
    try {
      const response = await checkBeforeSending(this.#client, work).request({
        method: "POST",
        path: "/v1/chat/completions",
        body,
        headers: {
          "content-type": "application/json",
          "x-request-id": work.requestId,
          "x-priority": String(work.priority),
        },
        signal: work.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
        // Answers bear no ID, so a late one on a kept connection could not be told apart.
        reset: true,
      });
      const contentType = String(
        response.headers["content-type"] ?? "application/json",
      );
      sink.onHead(response.statusCode, { "content-type": contentType });
      const isStream = call.isStreamed && isSuccess(response.statusCode);
      return isStream
        ? await this.#forwardStream(response.body, call, sink)
        : await this.#forwardBuffered(response.body, sink);
    } catch (thrown) {
      return neverthrow.err(toAppError(thrown, work.signal));
    }
  }

  async close(): Promise<void> {
    await this.#client.destroy();
  }

  #prepareBody(
    call: Extract<mesh.WorkCall, { type: "model" }>,
    body: Uint8Array,
  ): string | undefined {
    const request = parseJson(Buffer.from(body).toString());
    if (typeof request !== "object" || request === null) return undefined;
    const options = call.isStreamed
      ? { stream_options: { include_usage: true } }
      : {};
    return JSON.stringify({
      ...request,
      ...options,
      model: `${call.model}@${call.version}`,
    });
  }

  async #forwardBuffered(
    body: undici.Dispatcher.ResponseData["body"],
    sink: backends.ResponseSink,
  ): Promise<kernel.Outcome<mesh.Usage>> {
    const chunks: Uint8Array[] = [];
    let byteCount = 0;
    for await (const chunk of body) {
      chunks.push(chunk as Uint8Array);
      byteCount += (chunk as Uint8Array).byteLength;
      if (byteCount > MAX_BUFFERED_RESPONSE_BYTES) {
        return kernel.fail(
          "upstream-failed",
          "the upstream's response is larger than 32 MiB",
        );
      }
    }
    const data = Buffer.concat(chunks);
    await sendInChunks(data, sink);
    return neverthrow.ok(
      readUsage(parseJson(data.toString())) ?? NO_USAGE,
    );
  }

  /** Forwards events one by one, without the end marker: the final frame stands for it. */
  async #forwardStream(
    body: undici.Dispatcher.ResponseData["body"],
    call: Extract<mesh.WorkCall, { type: "model" }>,
    sink: backends.ResponseSink,
  ): Promise<kernel.Outcome<mesh.Usage>> {
    const events: string[] = [];
    const parser = eventsourceParser.createParser({
      maxBufferSize: MAX_LINE_CHARS,
      onEvent: (event) => events.push(event.data),
    });
    const decoder = new TextDecoder();
    let usage = NO_USAGE;
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
      for (const data of events.splice(0)) {
        if (data === "[DONE]") return neverthrow.ok(usage);
        const parsed = data.includes('"usage"') ? parseJson(data) : undefined;
        usage = readUsage(parsed) ?? usage;
        if (isUsageOnly(parsed) && !call.wantsUsage) continue;
        await sendInChunks(Buffer.from(`data: ${data}\n\n`), sink);
      }
    }
    return kernel.fail(
      "answer-incomplete",
      "the upstream's stream ended without [DONE]",
    );
  }
}

/** Whether an event is the additional one that carries only the token usage. */
function isUsageOnly(data: unknown): boolean {
  const parsed = usageSchema.safeParse(data);
  return parsed.success && parsed.data.choices?.length === 0;
}

const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "host",
  "upgrade",
  "te",
  "trailer",
  "proxy-connection",
]);

function dropHopByHopHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> {
  const entries = Object.entries(headers).flatMap(([name, value]) =>
    value === undefined || HOP_BY_HOP_HEADERS.has(name)
      ? []
      : [[name, String(value)] as const]
  );
  return Object.fromEntries(entries);
}

/** Client of a plain service, such as an ordering service. */
export class ServiceBackend implements backends.Backend {
  readonly #client: undici.Pool;
  readonly #name: string;

  constructor(url: string, name: string) {
    this.#client = createPool(url);
    this.#name = name;
  }

  async readState(): Promise<kernel.Outcome<backends.BackendState>> {
    const state = await readState(this.#client);
    return state.map((read) => ({ ...read, serves: [this.#name] }));
  }

  async run(
    work: backends.BackendWork,
    sink: backends.ResponseSink,
  ): Promise<kernel.Outcome<mesh.Usage>> {
    const { call } = work;
    kernel.invariant(
      call.type === "service",
      "a service backend runs service calls only",
    );
    try {
      const response = await checkBeforeSending(this.#client, work).request({
        method: call.method as undici.Dispatcher.HttpMethod,
        path: call.path,
        body: work.body.byteLength === 0 ? null : work.body,
        headers: { ...call.headers, "x-request-id": work.requestId },
        signal: work.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
        // Answers bear no ID, so a late one on a kept connection could not be told apart.
        reset: true,
        // Keeps the HTTP client from retrying calls that must not be repeated.
        idempotent: false,
      });
      sink.onHead(response.statusCode, dropHopByHopHeaders(response.headers));
      for await (const chunk of response.body) {
        await sendInChunks(chunk as Uint8Array, sink);
      }
      return neverthrow.ok(NO_USAGE);
    } catch (thrown) {
      return neverthrow.err(toAppError(thrown, work.signal));
    }
  }

  async close(): Promise<void> {
    await this.#client.destroy();
  }
}
