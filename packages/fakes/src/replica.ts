/**
 * Stand-in for a replica on the platform, of a plain service or of model
 * engines. Each test says how it answers; what it was sent is kept.
 */
import * as http from "node:http";
import type * as net from "node:net";

/** How one request is answered. */
export type ReplicaBehaviour =
  | { readonly type: "ok"; readonly body?: string; readonly delayMs?: number }
  /** The replica's own failure, with its receipt. */
  | { readonly type: "failure"; readonly status: number }
  /** Refused before it ran. */
  | { readonly type: "not-run"; readonly status: number }
  /** Another replica has the address. */
  | { readonly type: "misdirected" }
  /** Run, and the connection reset without an answer. */
  | { readonly type: "reset" }
  /** Run, and nothing is ever said. */
  | { readonly type: "hang" }
  /** Less than the announced body, then the connection's end. */
  | { readonly type: "truncated" }
  /** Part of a body without a length, then the connection's end. */
  | { readonly type: "unframed-truncated" }
  /** The answer to another request. */
  | { readonly type: "mismatched" }
  /** A second answer after the right one. */
  | { readonly type: "extra" }
  /** An answer that the replica does not vouch for. */
  | { readonly type: "unsigned"; readonly status: number }
  | {
    readonly type: "stream";
    readonly events: number;
    readonly confidence?: number;
    readonly eventIntervalMs?: number;
    /** Ends the connection within the event after so many. */
    readonly disconnectAfterEvents?: number;
    readonly stallAfterEvents?: number;
    /** Pauses once after so many events, then goes on. */
    readonly pauseAfter?: {
      readonly events: number;
      readonly durationMs: number;
    };
  };

/** A request as the replica saw it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** The caller's side closed before the answer was whole. */
  wasCancelled: boolean;
}

const ATTEMPT_ID = "x-jackdawbank-attempt-id";

/** A listening stand-in. */
export class FakeReplica {
  readonly id: string;
  readonly received: ReceivedRequest[] = [];
  answer: (seen: ReceivedRequest, count: number) => ReplicaBehaviour;
  port = 0;
  readonly #sockets = new Set<net.Socket>();
  readonly #server = http.createServer((request, response) => {
    void this.#serve(request, response);
  });

  constructor(
    id: string,
    answer: (seen: ReceivedRequest, count: number) => ReplicaBehaviour,
  ) {
    this.id = id;
    this.answer = answer;
  }

  /** Requests that began to run. */
  get runs(): readonly ReceivedRequest[] {
    return this.received;
  }

  async listen(): Promise<void> {
    this.#server.on("connection", (socket: net.Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => socket.destroy());
    });
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.port = (this.#server.address() as net.AddressInfo).port;
  }

  /** Its entry in the store. */
  buildEntry(
    service: string,
    overrides: Readonly<Record<string, unknown>> = {},
  ): Readonly<Record<string, unknown>> {
    return {
      service,
      address: `127.0.0.1:${this.port}`,
      zone: "a",
      version: "v1",
      slots: 8,
      state: "ready",
      coldRemainingMs: 0,
      sequence: 1,
      born: 1,
      ...overrides,
    };
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const seen: ReceivedRequest = {
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
      body: Buffer.concat(chunks).toString("utf8"),
      wasCancelled: false,
    };
    response.on("close", () => {
      seen.wasCancelled = !response.writableFinished;
    });
    this.received.push(seen);
    await this.#answer(seen, response, this.answer(seen, this.received.length));
  }

  async #answer(
    seen: ReceivedRequest,
    response: http.ServerResponse,
    answer: ReplicaBehaviour,
  ): Promise<void> {
    const id = String(seen.headers[ATTEMPT_ID] ?? "");
    const receipt = {
      [ATTEMPT_ID]: id,
      "x-jackdawbank-response-signature":
        `receipt-${this.id}-${this.received.length}`,
    };
    switch (answer.type) {
      case "ok": {
        const body = answer.body ?? `run by ${this.id}`;
        if (answer.delayMs !== undefined) await sleep(answer.delayMs);
        response.writeHead(200, { ...receipt, "content-length": body.length });
        response.end(body);
        return;
      }
      case "failure":
        response.writeHead(answer.status, receipt).end("failed");
        return;
      case "not-run":
        response.writeHead(answer.status, {
          [ATTEMPT_ID]: id,
          "x-jackdawbank-not-executed": "1",
        }).end();
        return;
      case "misdirected":
        response.writeHead(421, { "x-jackdawbank-instance-id": "other" }).end();
        return;
      case "reset":
        response.socket?.resetAndDestroy();
        return;
      case "hang":
        return;
      case "truncated":
        response.writeHead(200, { ...receipt, "content-length": 100 });
        response.write("only part");
        await sleep(5);
        response.socket?.destroy();
        return;
      case "unframed-truncated":
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
        response.writeHead(200, receipt);
        response.end("only part");
        return;
      case "mismatched":
        response.writeHead(200, { ...receipt, [ATTEMPT_ID]: "another" })
          .end("not yours");
        return;
      case "extra":
        response.writeHead(200, { ...receipt, "content-length": 4 });
        response.end("mine");
        setImmediate(() =>
          response.socket?.write(
            `HTTP/1.1 200 OK\r\n${ATTEMPT_ID}: another\r\n` +
              "x-jackdawbank-response-signature: x\r\ncontent-length: 5\r\n\r\nextra",
          )
        );
        return;
      case "unsigned":
        response.writeHead(answer.status, { [ATTEMPT_ID]: id }).end("unsigned");
        return;
      case "stream":
        return await this.#stream(seen, response, answer, receipt);
    }
  }

  async #stream(
    seen: ReceivedRequest,
    response: http.ServerResponse,
    answer: Extract<ReplicaBehaviour, { type: "stream" }>,
    receipt: Readonly<Record<string, string>>,
  ): Promise<void> {
    response.writeHead(200, {
      ...receipt,
      "content-type": "text/event-stream",
      ...(answer.confidence === undefined ? {} : {
        "x-jackdawbank-routing-confidence": String(answer.confidence),
      }),
    });
    const first = Number(seen.headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= answer.events; event += 1) {
      const text = `id: ${event}\ndata: piece ${event}\n\n`;
      if (answer.disconnectAfterEvents === event - 1) {
        response.write(text.slice(0, 8));
        await sleep(5);
        response.socket?.destroy();
        return;
      }
      if (answer.stallAfterEvents === event - 1) return;
      response.write(text);
      if (answer.pauseAfter?.events === event) {
        await sleep(answer.pauseAfter.durationMs);
      }
      await sleep(answer.eventIntervalMs ?? 1);
      if (response.destroyed) return;
    }
    response.end();
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
