/**
 * Closes the connections of an HTTP server once their responses are written. The runtime
 * counts a connection as idle as soon as its response was handed over.
 */
import type * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";

/** Connection of a caller. */
export interface Connection extends stream.Duplex {
  /** Ends the connection after what was written. */
  destroySoon(): void;
}

/** Connections of one server. */
export class ConnectionDrain {
  readonly #server: http.Server;
  /** Responses that are not written yet, by connection. */
  readonly #unwritten = new Map<Connection, number>();
  #isClosing = false;

  constructor(server: http.Server) {
    this.#server = server;
    const record = (
      { socket }: http.IncomingMessage,
      response: http.ServerResponse,
    ) => {
      this.#count(socket, 1);
      response.once("close", () => this.#count(socket, -1));
    };
    server.on("request", record);
    server.on("checkContinue", record);
    server.on("checkExpectation", record);
  }

  /** Records a new connection. */
  add(socket: Connection): void {
    this.#unwritten.set(socket, 0);
    socket.once("close", () => this.#unwritten.delete(socket));
  }

  /** Accepts no more connections; resolves when all are closed. */
  close(): Promise<void> {
    this.#isClosing = true;
    return new Promise((resolve) => {
      // http.Server.close would also close connections whose responses are being written.
      net.Server.prototype.close.call(this.#server, () => resolve());
      for (const [socket, unwritten] of this.#unwritten) {
        if (unwritten === 0) socket.destroySoon();
      }
    });
  }

  #count(socket: Connection, change: number): void {
    const unwritten = this.#unwritten.get(socket);
    if (unwritten === undefined) return;
    this.#unwritten.set(socket, unwritten + change);
    if (this.#isClosing && unwritten + change === 0) socket.destroySoon();
  }
}
