/** Accepts mesh connections from entries. */
import * as http from "node:http";
import type * as net from "node:net";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as ws from "ws";
import * as connections from "./connection.ts";
import * as frames from "./frames.ts";
import * as handshake from "./handshake.ts";
import * as identities from "./identity.ts";

const CLOSE_POLICY_VIOLATION = 1008;
/** Most that the other end may send before it is authenticated. */
const MAX_BYTES_OF_STRANGER = 32_768;
/** Time for the head of the request that opens a connection. */
const HEADER_TIMEOUT_MS = 5_000;
const CONNECTION_CHECK_INTERVAL_MS = 500;
const MAX_HEADER_BYTES = 16_384;
const HTTP_UPGRADE_REQUIRED = 426;

/** Keeps the connections within the process's descriptors. */
export interface ConnectionGuard {
  /** Accounts for the connections of a server; they may give way to others. */
  watch(server: http.Server): void;
  /** From now on, the connection gives way to no other. */
  keep(socket: net.Socket): void;
  /** Ends a connection after what was written, and reads nothing more from it. */
  end(socket: net.Socket): void;
}

export interface ServerOptions extends connections.ConnectionOptions {
  readonly log: kernel.Logger;
  readonly guard: ConnectionGuard;
}

/** Creates the HTTP server whose requests only open connections. */
function createHttpServer(guard: ConnectionGuard): http.Server {
  const server = http.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADER_TIMEOUT_MS,
    requestTimeout: HEADER_TIMEOUT_MS,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    // Refused below, as the runtime would go on with what was sent behind it.
    requireHostHeader: false,
  });
  for (const event of ["request", "checkContinue", "checkExpectation"]) {
    server.on(
      event,
      (request: http.IncomingMessage, response: http.ServerResponse) => {
        request.resume();
        response.writeHead(HTTP_UPGRADE_REQUIRED, { connection: "close" })
          .end();
        guard.end(request.socket);
      },
    );
  }
  guard.watch(server);
  return server;
}

/** Listens on one address and authenticates incoming connections. */
export class MeshServer {
  readonly #server: ws.WebSocketServer;
  readonly #http: http.Server;
  readonly #identity: identities.MeshIdentity;
  readonly #options: ServerOptions;
  readonly #connections = new Set<connections.MeshConnection>();

  private constructor(
    server: ws.WebSocketServer,
    httpServer: http.Server,
    identity: identities.MeshIdentity,
    options: ServerOptions,
  ) {
    this.#server = server;
    this.#http = httpServer;
    this.#identity = identity;
    this.#options = options;
    server.on("connection", (socket, request) => this.#accept(socket, request));
    server.on(
      "error",
      (error) => this.#options.log.error(`mesh server: ${error.message}`),
    );
  }

  /** Binds the address; fails if that is not possible, for example if it is in use. */
  static listen(
    address: { readonly host: string; readonly port: number },
    identity: identities.MeshIdentity,
    options: ServerOptions,
  ): Promise<kernel.Outcome<MeshServer>> {
    return new Promise((resolve) => {
      const httpServer = createHttpServer(options.guard);
      const server = new ws.WebSocketServer({
        server: httpServer,
        maxPayload: frames.MAX_FRAME_BYTES,
        perMessageDeflate: false,
      });
      server.once("error", (error) => {
        resolve(
          kernel.fail(
            "settings-invalid",
            `cannot listen on the mesh address: ${error.message}`,
          ),
        );
      });
      server.once("listening", () => {
        server.removeAllListeners("error");
        resolve(
          neverthrow.ok(new MeshServer(server, httpServer, identity, options)),
        );
      });
      httpServer.listen(address.port, address.host);
    });
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  get connections(): ReadonlySet<connections.MeshConnection> {
    return this.#connections;
  }

  /** Closes the listener and terminates every connection. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close();
      this.#http.close(() => resolve());
      for (const client of this.#server.clients) client.terminate();
      this.#http.closeAllConnections();
    });
  }

  #accept(socket: ws.WebSocket, request: http.IncomingMessage): void {
    const serverNonce = handshake.createNonce();
    const timer = setTimeout(
      () => socket.terminate(),
      identities.HANDSHAKE_TIMEOUT_MS,
    );
    const endWatch = watchStranger(request.socket);
    socket.on("error", (error) => {
      this.#options.log.warn(
        `mesh connection from ${request.socket.remoteAddress}: ${error.message}`,
      );
    });
    socket.send(
      connections.encodeFrame({ type: "challenge", nonce: serverNonce }),
    );
    socket.once("message", (data) => {
      clearTimeout(timer);
      endWatch();
      const frame = connections.decodeFrame(connections.toBytes(data));
      if (frame?.type !== "hello" || !this.#isAuthentic(frame, serverNonce)) {
        this.#options.log.warn(
          `mesh: refused a connection from ${request.socket.remoteAddress}: invalid hello frame, protocol version or proof of the mesh secret`,
        );
        socket.close(CLOSE_POLICY_VIOLATION, "not authenticated");
        return;
      }
      this.#welcome(socket, frame, { serverNonce, request });
    });
  }

  #isAuthentic(hello: frames.FrameOf<"hello">, serverNonce: string): boolean {
    return hello.protocol === frames.PROTOCOL_VERSION &&
      handshake.isProofValid(hello.proof, {
        secret: this.#identity.secret,
        side: "client",
        clientNonce: hello.nonce,
        serverNonce,
        processId: hello.processId,
      });
  }

  /** Sends this process's own proof and opens the connection. */
  #welcome(
    socket: ws.WebSocket,
    hello: frames.FrameOf<"hello">,
    { serverNonce, request }: {
      readonly serverNonce: string;
      readonly request: http.IncomingMessage;
    },
  ): void {
    const { processId, incarnation, dataCentre, secret } = this.#identity;
    const proof = handshake.computeProof({
      secret,
      side: "server",
      clientNonce: hello.nonce,
      serverNonce,
      processId,
    });
    socket.send(
      connections.encodeFrame({
        type: "welcome",
        processId,
        incarnation,
        dataCentre,
        proof,
      }),
    );
    const connection = new connections.MeshConnection(
      socket,
      hello,
      this.#options,
    );
    this.#connections.add(connection);
    this.#options.guard.keep(request.socket);
    socket.on("close", () => this.#connections.delete(connection));
    this.#options.listener.onOpen(connection);
  }
}

/** Closes a socket that receives much before its authentication; returns the end of the watch. */
function watchStranger(socket: net.Socket): () => void {
  let receivedBytes = 0;
  const count = (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > MAX_BYTES_OF_STRANGER) socket.destroy();
  };
  socket.on("data", count);
  return () => socket.off("data", count);
}
