/**
 * Creates the HTTP servers beside the callers' one: metrics, readiness, relay. They
 * answer small requests without a body, and whoever connects to them leaves this
 * process its memory and descriptors.
 */
import * as http from "node:http";
import * as callerConnections from "./caller_connections.ts";
import * as pacedSockets from "./paced_socket.ts";

const MAX_HEADER_BYTES = 16_384;
const HEADER_TIMEOUT_MS = 5_000;
/** Time for a request with a body, which is discarded. */
const REQUEST_TIMEOUT_MS = 10_000;
/** Interval at which the server checks connections for these time-outs. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

export interface SideListenerOptions {
  /** At this number, the connection that has been idle longest gives way to a new one. */
  readonly maxConnections: number;
  /** A connection on which nothing is sent or taken for this time is closed. */
  readonly idleTimeoutMs: number;
}

/** Probes and scrapes are few; a scrape that is not read is given up. */
const READINESS_LIMITS: SideListenerOptions = {
  maxConnections: 64,
  idleTimeoutMs: 60_000,
};
export const METRICS_LIMITS: SideListenerOptions = {
  maxConnections: 32,
  idleTimeoutMs: 15_000,
};

/** Creates a server that handles one request at a time on each connection. */
export function createSideServer(
  options: SideListenerOptions,
  handle: http.RequestListener,
): http.Server {
  const connections = new callerConnections.CallerConnections({
    maxConnections: options.maxConnections,
    maxRequests: 1,
    onOpened: () => {},
    onClosed: () => {},
    onRefused: () => {},
  });
  const server = http.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADER_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    // What the runtime answers by itself passes by the limits; these paths need no host.
    requireHostHeader: false,
  });
  const answer = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => {
    const end = () => connections.endRequest(request.socket, end);
    if (!connections.startRequest(request.socket, end)) return;
    connections.endBody(request.socket);
    response.once("close", end);
    request.resume();
    handle(request, response);
  };
  server.on("request", answer);
  server.on("checkExpectation", answer);
  pacedSockets.paceConnections(server, (socket) => connections.accept(socket));
  server.setTimeout(options.idleTimeoutMs);
  return server;
}

/** Creates the server of the readiness probe. */
export function createReadinessServer(
  handle: http.RequestListener,
): http.Server {
  return createSideServer(READINESS_LIMITS, handle);
}
