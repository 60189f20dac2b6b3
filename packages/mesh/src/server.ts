/** Accepts mesh connections from entries. */
import type * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as ws from "ws";
import * as connections from "./connection.ts";
import * as frames from "./frames.ts";
import * as handshake from "./handshake.ts";
import * as identities from "./identity.ts";

const CLOSE_POLICY_VIOLATION = 1008;

export interface ServerOptions extends connections.ConnectionOptions {
  readonly log: kernel.Logger;
}

/** Listens on one address and authenticates incoming connections. */
export class MeshServer {
  readonly #server: ws.WebSocketServer;
  readonly #identity: identities.MeshIdentity;
  readonly #options: ServerOptions;
  readonly #connections = new Set<connections.MeshConnection>();

  private constructor(
    server: ws.WebSocketServer,
    identity: identities.MeshIdentity,
    options: ServerOptions,
  ) {
    this.#server = server;
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
      const server = new ws.WebSocketServer({
        ...address,
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
        resolve(neverthrow.ok(new MeshServer(server, identity, options)));
      });
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
      this.#server.close(() => resolve());
      for (const client of this.#server.clients) client.terminate();
    });
  }

  #accept(socket: ws.WebSocket, request: http.IncomingMessage): void {
    const serverNonce = handshake.createNonce();
    const timer = setTimeout(
      () => socket.terminate(),
      identities.HANDSHAKE_TIMEOUT_MS,
    );
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
      const frame = connections.decodeFrame(connections.toBytes(data));
      if (frame?.type !== "hello" || !this.#isAuthentic(frame, serverNonce)) {
        this.#options.log.warn(
          `mesh: refused a connection from ${request.socket.remoteAddress}: invalid hello frame, protocol version or proof of the mesh secret`,
        );
        socket.close(CLOSE_POLICY_VIOLATION, "not authenticated");
        return;
      }
      this.#welcome(socket, frame, serverNonce);
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
    serverNonce: string,
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
    socket.on("close", () => this.#connections.delete(connection));
    this.#options.listener.onOpen(connection);
  }
}
