/**
 * HTTP server for callers: reads each request completely, within the configured
 * limits and the memory budget, runs an exchange for it and records the outcome.
 */
import * as http from "node:http";
import * as net from "node:net";
import type * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as admissions from "./admission.ts";
import * as bodies from "./body_reader.ts";
import type * as callerConnections from "./caller_connections.ts";
import * as disconnects from "./caller_disconnect.ts";
import * as resources from "./caller_resources.ts";
import type * as control from "./control_task.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as logs from "./decision_log.ts";
import * as deadlines from "./exchange_deadline.ts";
import * as incomingRequests from "./incoming_request.ts";
import * as headerMaps from "./header_map.ts";
import * as bufferedExchanges from "./buffered_exchange.ts";
import * as malformedRequests from "./malformed_request.ts";
import type * as budgets from "./memory_budget.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";
import * as writers from "./response_writer.ts";
import * as streamExchanges from "./stream_exchange.ts";
import * as telemetry from "./telemetry.ts";
import * as turns from "./request_turn.ts";
import type * as watchdogs from "./watchdog.ts";

/** Longest wait of a request for the first control plane view after a start. */
const FIRST_VIEW_WAIT_MS = 1_500;
/** Share of the caller's deadline that this wait may use. */
const FIRST_VIEW_WAIT_SHARE = 0.5;
/** Limit of the HTTP parser, in multiples of the configured one, which is checked afterwards. */
const PARSER_HEADER_FACTOR = 2;
/** The parser's own time-out comes later than that of the body, which says why. */
const PARSER_TIMEOUT_MARGIN_MS = 2_000;
/** Limits until the first configuration is received. */
const DEFAULT_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Interval at which the server checks connections for header and request time-outs. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
const YIELD_RETRY_AFTER_MS = 1_000;

/** Dependencies of the caller server. */
export interface CallerServerOptions extends resources.CallerResourcesOptions {
  readonly telemetry: telemetry.Telemetry;
  readonly dispatcher: dispatchers.Dispatcher;
  readonly watchdog: watchdogs.Watchdog;
  readonly control: control.ControlTask;
  readonly codec: ports.MessageCodec;
  readonly log: logs.DecisionLog;
}

/** Accepts and answers callers' requests. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: http.Server;
  readonly #resources: resources.CallerResources;
  #isDraining = false;
  #isRefusing = false;
  /** What is held for the requests without a complete response. */
  readonly #holds = new Set<budgets.RequestHold>();
  /** Those without a complete response, by what is held for them. */
  readonly #writers = new Map<budgets.RequestHold, writers.ResponseWriter>();
  /** Requests so far; used to generate IDs for requests without one. */
  #count = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#resources = new resources.CallerResources(options);
    this.#server = http.createServer(
      {
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        keepAlive: true,
        noDelay: true,
        // Refused here, as what the runtime answers by itself passes by the limits.
        requireHostHeader: false,
      },
    );
    for (const event of ["request", "checkContinue", "checkExpectation"]) {
      this.#server.on(event, (request, response) => {
        void this.#handleRequest(request, response, event === "checkContinue");
      });
    }
    this.#server.on("clientError", (error, socket) => {
      this.#rejectMalformedRequest(error, socket as net.Socket);
    });
    this.#resources.watch(this.#server);
  }

  /** What is held for callers, by name of the gauge. */
  readGauges(): Readonly<Record<string, number>> {
    return this.#resources.readGauges();
  }

  get inFlight(): number {
    return this.#holds.size;
  }

  /** Requests without a complete response, by what they wait for. */
  countByStage(): Readonly<Record<decisions.HoldStage, number>> {
    const count = { receiving: 0, running: 0, answering: 0 };
    for (const { stage } of this.#holds) count[stage] += 1;
    return count;
  }

  async listen(address: ports.Address): Promise<number> {
    this.applyLimits();
    return await telemetry.listen(this.#server, address);
  }

  /** Applies the limits of the current configuration. */
  applyLimits(): void {
    const limits = this.#limits;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.requestTimeout = limits.headerTimeoutMs +
      limits.idleTimeoutMs + PARSER_TIMEOUT_MARGIN_MS;
    // Read by the server for each new connection, though its type does not declare it.
    Object.assign(this.#server, {
      maxHeaderSize: PARSER_HEADER_FACTOR * limits.maxHeaderBytes,
    });
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** From now on, each response closes its connection. */
  startDraining(): void {
    this.#isDraining = true;
  }

  get connections(): callerConnections.CallerConnections {
    return this.#resources.connections;
  }

  /** Refuses further requests, and accepts no connections. */
  stopAccepting(): void {
    this.#isRefusing = true;
    // http.Server.close would also close connections whose responses are still being written.
    net.Server.prototype.close.call(this.#server);
  }

  /** Closes all connections, also those with requests in flight. */
  close(): void {
    this.#server.close();
    for (const writer of this.#writers.values()) writer.abort();
    this.#server.closeAllConnections();
    this.#resources.close();
  }

  get #limits() {
    return this.#options.control.routeIndex?.table.limits ?? DEFAULT_LIMITS;
  }

  async #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const receivedAtMs = this.#options.clock.monotonicMs();
    const { socket } = request;
    const { budget, connections } = this.#resources;
    const callerAbort = new AbortController();
    let hasEnded = false;
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      this.#holds.delete(hold);
      this.#writers.delete(hold);
      hold.close();
      connections.endRequest(socket, end);
      if (!response.writableFinished) callerAbort.abort();
    };
    if (!connections.startRequest(socket, end, () => request.complete)) {
      request.resume();
      return;
    }
    const waitForTurn = (callback: () => void) =>
      connections.waitForTurn(socket, end, callback);
    if (expectsContinue) {
      // The runtime would write it after the head of a response that waits for its turn.
      waitForTurn(() => {
        if (!response.headersSent) response.writeContinue();
      });
    }
    const hold = budget.open(
      socket.remoteAddress ?? "",
      bodies.measureHead(request),
    );
    this.#holds.add(hold);
    response.once("close", end);
    const isOverBudget = budget.isFull;
    // Its refusal would be held until those before it are answered.
    if (isOverBudget && connections.refuseBehindOthers(socket)) {
      end();
      request.resume();
      return;
    }
    request.once("aborted", () => callerAbort.abort());
    // The close event reports a lost connection; the write error adds no information.
    response.on("error", () => callerAbort.abort());
    this.#count += 1;
    let requestId = `unnamed-${this.#count}`;
    const writer = new writers.ResponseWriter(response, {
      codec: this.#options.codec,
      hold,
      shouldClose: () =>
        (this.#isDraining || isUnread) &&
        connections.beginLastResponse(socket, end, isUnread),
      waitForTurn,
      onCut: (reason) =>
        this.#options.log.addNotable("caller.cut", { requestId, reason }),
    });
    this.#writers.set(hold, writer);
    let isUnread = false;
    let outcome: requests.RequestOutcome;
    let route = "none";
    try {
      const fields = this.#options.codec.decodeRequest(
        headerMaps.joinHeaders(request.headers),
        request.rawHeaders,
      );
      requestId = fields.attemptId ?? requestId;
      if (isOverBudget) throw bodies.makeOverBudgetError();
      const received = await bodies.readBody(request, hold, {
        ...this.#limits,
        deadlineMs: fields.deadlineMs,
        smallChunkBodies: this.#resources.smallChunkBodies,
        mayCloseAtOnce: () => !connections.isBehindOthers(socket),
      }).finally(() => connections.endBody(socket));
      const { signal } = callerAbort;
      const body = await turns.holdUntilTurn(received, {
        hold,
        signal,
        waitForTurn,
      });
      const incoming = incomingRequests.buildIncomingRequest(request, {
        requestId,
        fields,
        body,
        receivedAtMs,
        signal,
      });
      if (await disconnects.hasCallerDisconnected(incoming.signal)) {
        this.#recordOutcome(
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
      // The rest of the request is not read, so the connection cannot be reused.
      isUnread = thrown instanceof bodies.RequestReadError;
      const { signal } = callerAbort;
      outcome = this.#handleFailure(thrown, { requestId, writer, signal });
      // What is left of the exchange must not go on.
      callerAbort.abort();
    }
    this.#recordOutcome(requestId, route, outcome, receivedAtMs);
  }

  async #exchange(
    incoming: requests.IncomingRequest,
    writer: writers.ResponseWriter,
  ): Promise<
    { readonly route: string; readonly outcome: requests.RequestOutcome }
  > {
    if (this.#isRefusing) {
      const { error, retryAfterMs } = admissions.LEAVING_REFUSAL;
      writer.refuse(error, retryAfterMs);
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
    const admitted = dispatcher.dependencies.admission.admit(incoming);
    if (admitted.isErr()) {
      const { error, retryAfterMs } = admitted.error;
      writer.refuse(error, retryAfterMs);
      return {
        route: "none",
        outcome: { outcome: error.kind, reason: error.message },
      };
    }
    const { route } = admitted.value;
    writer.setRoute(route);
    const remainingMs = admitted.value.deadlineAtMs -
      this.#options.clock.monotonicMs();
    if (remainingMs <= 0) {
      const { error } = admissions.TOO_LATE_REFUSAL;
      writer.refuse(error);
      const { kind, message } = error;
      return { route: route.name, outcome: { outcome: kind, reason: message } };
    }
    const Exchange = route.kind === "stream"
      ? streamExchanges.StreamExchange
      : bufferedExchanges.BufferedExchange;
    const exchange = new Exchange(dispatcher, watchdog, admitted.value, writer);
    const outcome = await deadlines.enforceDeadline(
      exchange.run(),
      remainingMs,
    );
    return { route: route.name, outcome };
  }

  #handleFailure(
    thrown: unknown,
    { requestId, writer, signal }: {
      readonly requestId: string;
      readonly writer: requests.CallerResponseWriter;
      readonly signal: AbortSignal;
    },
  ): requests.RequestOutcome {
    const reason = kernel.describeThrown(thrown);
    if (thrown instanceof bodies.RequestReadError) {
      writer.refuse(
        kernel.makeError(thrown.kind, reason),
        kernel.findErrorResponse(thrown.kind).retry === "later"
          ? YIELD_RETRY_AFTER_MS
          : undefined,
      );
      return { outcome: thrown.kind, reason };
    }
    if (signal.aborted) return { outcome: "caller-gone", reason };
    this.#options.log.addNotable("request.fault", {
      requestId,
      reason,
      stack: thrown instanceof Error ? thrown.stack : undefined,
    });
    // A response that was begun must not look complete.
    if (writer.isStarted) writer.abort();
    else writer.refuse(kernel.makeError("internal", "internal error"));
    return { outcome: "internal", reason };
  }

  #recordOutcome(
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
      tableRevision: control.routeIndex?.table.revision,
      viewAgeMs: Math.round(control.viewAgeMs),
    };
    if (outcome.outcome === "answered") log.addRoutine("request.ended", fields);
    else log.addNotable("request.ended", fields);
  }

  #rejectMalformedRequest(
    error: Error & { code?: string },
    socket: net.Socket,
  ): void {
    const { connections } = this.#resources;
    // What follows a malformed request is malformed, too.
    if (connections.isEnding(socket)) return;
    this.#options.log.addNotable("request.malformed", {
      code: error.code,
      reason: error.message,
    });
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    // An answer that is being written must not be followed by another one.
    if (connections.isAnswering(socket)) {
      connections.endWhenAnswered(socket);
      return;
    }
    socket.write(malformedRequests.renderRefusal(error.code));
    connections.endSoon(socket);
  }
}
