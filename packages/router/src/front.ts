/**
 * The listener for callers: reads each request whole, within the limits of the
 * configuration, hands it to an exchange and writes the answer.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as kernel from "@jackdawbank/kernel";
import type * as control from "./control_task.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as logs from "./decision_log.ts";
import * as headerViews from "./header_view.ts";
import * as plain from "./plain_exchange.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";
import * as writers from "./response_writer.ts";
import * as streams from "./stream_exchange.ts";
import * as telemetry from "./telemetry.ts";
import type * as watchdogs from "./watchdog.ts";

/** Largest head that the parser takes; the configuration's limit is checked after it. */
/** A process that has just started soon has its first view: a request waits for it. */
const FIRST_VIEW_WAIT_MS = 1_500;
/** Share of the caller's time that the wait may take. */
const FIRST_VIEW_WAIT_SHARE = 0.5;
const PARSER_HEADER_BYTES = 65_536;
/** Limits before the first configuration. */
const DEFAULT_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** How often the listener looks for connections that are too slow. */
const SLOW_CHECK_INTERVAL_MS = 500;
/** Turns of the event loop after which a connection's end that came with its request is known. */
const TURNS_FOR_END = 2;
const HTTP_BAD_REQUEST = 400;
const HTTP_HEADERS_TOO_LARGE = 431;

/** What the front works with. */
export interface FrontOptions {
  readonly dispatcher: dispatchers.Dispatcher;
  readonly watchdog: watchdogs.Watchdog;
  readonly control: control.ControlTask;
  readonly codec: ports.MessageCodec;
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
}

/** Why a request could not be read. */
class ReadFailure extends Error {
  readonly kind: kernel.ErrorKind;

  constructor(kind: kernel.ErrorKind, message: string) {
    super(message);
    this.kind = kind;
  }
}

/**
 * Lets the connection's end be read: a process that was slow reads a request
 * and, one turn of its event loop later, that the caller has left meanwhile.
 */
async function hasLeft(signal: AbortSignal): Promise<boolean> {
  for (let turn = 0; turn < TURNS_FOR_END && !signal.aborted; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  return signal.aborted;
}

/** The listener. */
export class Front {
  readonly #options: FrontOptions;
  readonly #server: http.Server;
  readonly #idle = new Set<net.Socket>();
  #isClosing = false;
  #isRefusing = false;
  #inFlight = 0;
  #count = 0;

  constructor(options: FrontOptions) {
    this.#options = options;
    this.#server = http.createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CHECK_INTERVAL_MS,
      keepAlive: true,
      noDelay: true,
    }, (request, response) => void this.#serve(request, response));
    this.#server.on("clientError", (error, socket) => {
      this.#answerBadRequest(error, socket as net.Socket);
    });
    this.#server.on("connection", (socket: net.Socket) => {
      this.#idle.add(socket);
      socket.once("close", () => this.#idle.delete(socket));
    });
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  async listen(address: ports.Address): Promise<number> {
    this.applyLimits();
    return await telemetry.listen(this.#server, address);
  }

  /** Takes over the limits of the configuration. */
  applyLimits(): void {
    const limits = this.#limits;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** From now on each answer ends its connection. */
  startClosing(): void {
    this.#isClosing = true;
  }

  /** Requests are refused before they are passed on; idle connections end. */
  stopAccepting(): void {
    this.#isRefusing = true;
    this.#server.close();
    for (const socket of this.#idle) socket.end();
  }

  /** Breaks what is left. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get #limits() {
    return this.#options.control.index?.table.limits ?? DEFAULT_LIMITS;
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const receivedAtMs = this.#options.clock.monotonicMs();
    const { socket } = request;
    this.#inFlight += 1;
    this.#idle.delete(socket);
    const gone = new AbortController();
    response.once("close", () => {
      this.#inFlight -= 1;
      if (!socket.destroyed) this.#idle.add(socket);
      if (!response.writableFinished) gone.abort();
    });
    request.once("aborted", () => gone.abort());
    // A broken connection shows as its end; the write error adds nothing.
    response.on("error", () => gone.abort());
    const writer = new writers.ResponseWriter(
      response,
      this.#options.codec,
      () => this.#isClosing,
    );
    const fields = this.#options.codec.decodeRequest(
      headerViews.joinHeaders(request.headers),
      request.rawHeaders,
    );
    this.#count += 1;
    const requestId = fields.attemptId ?? `unnamed-${this.#count}`;
    let outcome: requests.RequestOutcome;
    let route = "none";
    try {
      const body = await this.#readBody(request);
      const incoming = this.#build(request, {
        requestId,
        fields,
        body,
        receivedAtMs,
        signal: gone.signal,
      });
      if (await hasLeft(incoming.signal)) {
        this.#report(
          requestId,
          route,
          { outcome: "caller-gone" },
          receivedAtMs,
        );
        return;
      }
      const exchanged = await this.#exchange(incoming, writer);
      outcome = exchanged.outcome;
      route = exchanged.route;
    } catch (thrown) {
      outcome = this.#refuseUnread(thrown, writer, request);
    }
    this.#report(requestId, route, outcome, receivedAtMs);
  }

  async #exchange(
    incoming: requests.IncomingRequest,
    writer: requests.AnswerWriter,
  ): Promise<
    { readonly route: string; readonly outcome: requests.RequestOutcome }
  > {
    if (this.#isRefusing) {
      const error = kernel.makeError("leaving", "this process is stopping");
      writer.refuse(error, 0);
      return { route: "none", outcome: { outcome: "leaving" } };
    }
    const { dispatcher, watchdog, control } = this.#options;
    await control.waitForView(
      Math.min(
        FIRST_VIEW_WAIT_MS,
        FIRST_VIEW_WAIT_SHARE * (incoming.fields.deadlineMs ?? Infinity),
      ),
    );
    if (incoming.signal.aborted) {
      return { route: "none", outcome: { outcome: "caller-gone" } };
    }
    const admitted = dispatcher.parts.admission.admit(incoming);
    if (admitted.isErr()) {
      const { error, retryAfterMs } = admitted.error;
      writer.refuse(error, retryAfterMs);
      return {
        route: "none",
        outcome: { outcome: error.kind, reason: error.message },
      };
    }
    const { route } = admitted.value;
    const Exchange = route.kind === "stream"
      ? streams.StreamExchange
      : plain.PlainExchange;
    const exchange = new Exchange(dispatcher, watchdog, admitted.value, writer);
    return { route: route.name, outcome: await exchange.run() };
  }

  #build(
    request: http.IncomingMessage,
    rest: Pick<
      requests.IncomingRequest,
      "requestId" | "fields" | "body" | "receivedAtMs" | "signal"
    >,
  ): requests.IncomingRequest {
    const target = request.url ?? "";
    if (!target.startsWith("/")) {
      throw new ReadFailure("bad-request", "the target must be a path");
    }
    const host = request.headers.host ?? "";
    return {
      ...rest,
      method: request.method ?? "GET",
      target,
      hostName: host.replace(/:\d+$/, "").toLowerCase(),
    };
  }

  async #readBody(request: http.IncomingMessage): Promise<Buffer> {
    const { maxBodyBytes, maxHeaderBytes } = this.#limits;
    const headerBytes = request.rawHeaders.reduce(
      (sum, part) => sum + part.length + 2,
      request.url?.length ?? 0,
    );
    if (headerBytes > maxHeaderBytes) {
      throw new ReadFailure("headers-too-large", "the headers are too large");
    }
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > maxBodyBytes) {
      throw new ReadFailure("body-too-large", "the body is too large");
    }
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBodyBytes) {
        throw new ReadFailure("body-too-large", "the body is too large");
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  }

  #refuseUnread(
    thrown: unknown,
    writer: requests.AnswerWriter,
    request: http.IncomingMessage,
  ): requests.RequestOutcome {
    const reason = kernel.describeThrown(thrown);
    if (thrown instanceof ReadFailure) {
      // The rest of the request is not read: the connection cannot go on.
      setImmediate(() => request.socket.end());
      writer.refuse(kernel.makeError(thrown.kind, reason));
      return { outcome: thrown.kind, reason };
    }
    if (request.destroyed || request.errored !== null) {
      return { outcome: "caller-gone", reason };
    }
    this.#options.log.addNotable("request.fault", { reason });
    writer.refuse(kernel.makeError("internal", "internal error"));
    return { outcome: "internal", reason };
  }

  #report(
    requestId: string,
    route: string,
    outcome: requests.RequestOutcome,
    receivedAtMs: number,
  ): void {
    const { log, clock, control } = this.#options;
    const tookMs = clock.monotonicMs() - receivedAtMs;
    this.#options.telemetry.countRequest(route, outcome.outcome);
    this.#options.telemetry.observeRequest(route, tookMs);
    const fields = {
      requestId,
      route,
      ...outcome,
      tookMs: Math.round(tookMs),
      tableRevision: control.index?.table.revision,
      viewAgeMs: Math.round(control.ageMs),
    };
    if (outcome.outcome === "answered") log.addRoutine("request.ended", fields);
    else log.addNotable("request.ended", fields);
  }

  #answerBadRequest(
    error: Error & { code?: string },
    socket: net.Socket,
  ): void {
    const status = error.code === "HPE_HEADER_OVERFLOW"
      ? HTTP_HEADERS_TOO_LARGE
      : HTTP_BAD_REQUEST;
    this.#options.log.addNotable("request.malformed", {
      code: error.code,
      reason: error.message,
    });
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const text = http.STATUS_CODES[status] ?? "Bad Request";
    socket.end(
      `HTTP/1.1 ${status} ${text}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
    );
  }
}
