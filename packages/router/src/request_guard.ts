/**
 * Guards an HTTP listener of our own interface with the rules of the callers'
 * server: reads bodies within the limits and the memory budget, bounds connections,
 * and disconnects callers that do not read their responses.
 */
import type * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as bodies from "./body_reader.ts";
import type * as budgets from "./memory_budget.ts";
import type * as resources from "./caller_resources.ts";
import type * as pacedSockets from "./paced_socket.ts";

/** Interval at which the server checks connections for header and request time-outs. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** The parser's own time-out comes later than that of the body, which says why. */
const PARSER_TIMEOUT_MARGIN_MS = 2_000;
/** Longest time for which a caller may read a response that is complete. */
const MAX_READING_MS = 60_000;

/** What callers of one listener may send, and for how long. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  /** Largest body; may change with the configuration. */
  readonly getMaxBodyBytes: () => number;
}

/** Guards one listener; the resources are shared by all of a process. */
export class RequestGuard {
  readonly #resources: resources.CallerResources;
  readonly #limits: ListenerLimits;

  constructor(
    resources: resources.CallerResources,
    limits: ListenerLimits,
  ) {
    this.#resources = resources;
    this.#limits = limits;
  }

  /** Settings for `http.createServer`. */
  get serverOptions(): http.ServerOptions {
    const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = this.#limits;
    return {
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      headersTimeout: headerTimeoutMs,
      requestTimeout: headerTimeoutMs + idleTimeoutMs +
        PARSER_TIMEOUT_MARGIN_MS,
      keepAliveTimeout: idleTimeoutMs,
      // Refused with the body, as what the runtime answers by itself passes by the limits.
      requireHostHeader: false,
    };
  }

  /** Bounds the connections of a server; `onConnection` is called for each new one. */
  watch(
    server: http.Server,
    onConnection?: (socket: pacedSockets.CallerSocket) => void,
  ): void {
    this.#resources.watch(server, onConnection);
  }

  /**
   * Reads the body of a request. Fails with the error to answer, after which the
   * connection is closed, or with `undefined` if it is closed already.
   */
  async readBody(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    expectsContinue = false,
  ): Promise<neverthrow.Result<Buffer, kernel.AppError | undefined>> {
    const { socket } = request;
    const { budget, connections, smallChunkBodies } = this.#resources;
    let hasEnded = false;
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      hold.close();
      connections.endRequest(socket, end);
    };
    if (!connections.startRequest(socket, end, () => request.complete)) {
      request.resume();
      return neverthrow.err(undefined);
    }
    if (expectsContinue) {
      // The runtime would write it after the head of a response that waits for its turn.
      connections.waitForTurn(socket, end, () => {
        if (!response.headersSent) response.writeContinue();
      });
    }
    const hold = budget.open(
      socket.remoteAddress ?? "",
      bodies.measureHead(request),
    );
    response.once("close", end);
    const isOverBudget = budget.isFull;
    if (isOverBudget && connections.refuseBehindOthers(socket)) {
      end();
      request.resume();
      return neverthrow.err(undefined);
    }
    watchResponse(response, hold);
    try {
      if (isOverBudget) throw bodies.makeOverBudgetError();
      const body = await bodies.readBody(request, hold, {
        ...this.#limits,
        maxBodyBytes: this.#limits.getMaxBodyBytes(),
        deadlineMs: undefined,
        smallChunkBodies,
        mayCloseAtOnce: () => !connections.isBehindOthers(socket),
      }).finally(() => connections.endBody(socket));
      return neverthrow.ok(body);
    } catch (thrown) {
      if (!(thrown instanceof bodies.RequestReadError)) {
        return neverthrow.err(undefined);
      }
      // The rest of the request is not read, so the connection cannot be reused.
      setImmediate(() => connections.endAfterRefusal(socket));
      return neverthrow.err(kernel.makeError(thrown.kind, thrown.message));
    }
  }
}

/** Accounts for what is written to a response and not taken yet by its caller. */
function watchResponse(
  response: http.ServerResponse,
  hold: budgets.RequestHold,
): void {
  const cut = () => {
    response.req.socket.destroy();
    response.destroy();
  };
  const account = (maxDurationMs: number) => {
    if (hold.stage !== "answering") {
      hold.begin("answering", { maxDurationMs, onYield: cut });
    }
    hold.setAnswerBytes(response.writableLength);
  };
  const write = response.write.bind(response);
  const end = response.end.bind(response);
  Object.assign(response, {
    write: (...args: Parameters<typeof write>) => {
      const isTaken = write(...args);
      if (!isTaken) account(Infinity);
      return isTaken;
    },
    end: (...args: Parameters<typeof end>) => {
      end(...args);
      if (!response.writableFinished) account(MAX_READING_MS);
      return response;
    },
  });
  response.on("drain", () => {
    if (response.writableEnded) return;
    hold.begin("running");
    hold.setAnswerBytes(0);
  });
}
