/**
 * Stand-in for a replica on the platform, of a plain service or of a model
 * engine. Each test chooses how it responds; the requests are recorded.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as endless from "./endless_bytes.ts";
import * as rawAnswers from "./raw_answer.ts";

/** How the replica handles one request. */
export type ReplicaBehaviour =
  | { readonly type: "ok"; readonly body?: string; readonly delayMs?: number }
  /** An error response of the replica itself, with its signature. */
  | { readonly type: "failure"; readonly status: number }
  /** Refused before the request ran. */
  | {
    readonly type: "not-run";
    readonly status: number;
    readonly delayMs?: number;
  }
  /** Refused because the address now belongs to another replica. */
  | { readonly type: "misdirected" }
  /** Runs the request, then resets the connection without a response. */
  | { readonly type: "reset" }
  /** Runs the request and never responds. */
  | { readonly type: "hang" }
  /** Closes the connection before the announced length of the body was sent. */
  | { readonly type: "truncated" }
  /** Closes the connection within a body without length or chunks. */
  | { readonly type: "unframed-truncated" }
  /** Responds with the attempt id of another request. */
  | { readonly type: "mismatched" }
  /** Sends a second response after the right one. */
  | { readonly type: "extra" }
  /** Responds without the replica's signature. */
  | { readonly type: "unsigned"; readonly status: number }
  /** Sends these bytes, in which ATTEMPT and RECEIPT stand for the request's. */
  | {
    readonly type: "raw";
    readonly text: string;
    readonly encoding?: "utf8" | "latin1";
    /** `reset-at-once` lets the reset arrive together with the bytes. */
    readonly then: "close" | "reset" | "reset-at-once" | "keep";
  }
  /** Sends bytes without end, until the connection is closed. */
  | { readonly type: "endless"; readonly part: endless.EndlessPart }
  /** Sends a single byte of an event now and then, without end. */
  | { readonly type: "drip"; readonly intervalMs: number }
  | {
    readonly type: "stream";
    readonly events: number;
    /** Pads the data of each event to at least this many bytes. */
    readonly eventBytes?: number;
    /** Added to the data of each event. */
    readonly label?: string;
    readonly confidence?: number;
    /** Marks the end of the response by the connection's close, without length or chunks. */
    readonly endsByClose?: boolean;
    readonly eventIntervalMs?: number;
    /** Time before the head. */
    readonly delayMs?: number;
    /** Closes the connection in the middle of the next event after this many. */
    readonly disconnectAfterEvents?: number;
    /** Sends nothing after this many events, but keeps the connection open. */
    readonly stallAfterEvents?: number;
    /** Pauses once after this many events. */
    readonly pauseAfter?: {
      readonly events: number;
      readonly durationMs: number;
    };
  };

/** A request as the replica received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Requests on its connection so far, this one included. */
  readonly connectionUses: number;
  /** Monotonic time of its arrival. */
  readonly atMs: number;
  /** Whether the connection closed before the response was complete. */
  wasCancelled: boolean;
  /** Whether this replica closed it, rather than the router. */
  wasBrokenOff: boolean;
  /** Monotonic time of the end of the response; absent while it runs. */
  endedAtMs: number | undefined;
}

/** Renders an event of a stream. */
export function renderEvent(
  event: number,
  { label, eventBytes = 0 }: {
    readonly label?: string;
    readonly eventBytes?: number;
  },
): string {
  const suffix = label === undefined ? "" : ` ${label}`;
  return `id: ${event}\ndata: piece ${event}${suffix}${
    "x".repeat(eventBytes)
  }\n\n`;
}

const ATTEMPT_ID = "x-jackdawbank-attempt-id";

/** Returns the id of the request's attempt; empty if it has none. */
export function readAttemptId({ headers }: ReceivedRequest): string {
  return String(headers[ATTEMPT_ID] ?? "");
}

/** Returns the model that a request names. */
export function readModel({ headers }: ReceivedRequest): string | undefined {
  return headers["x-jackdawbank-model"]?.toString();
}

export class FakeReplica {
  readonly id: string;
  readonly received: ReceivedRequest[] = [];
  /** Chooses the behaviour for a request; `count` includes this request. */
  answer: (request: ReceivedRequest, count: number) => ReplicaBehaviour;
  port = 0;
  /** Added to the headers of its own answers. */
  extraHeaders: Readonly<Record<string, string>> = {};
  readonly #sockets = new Set<net.Socket>();
  readonly #usesBySocket = new WeakMap<net.Socket, number>();
  readonly #server = http.createServer((request, response) => {
    void this.#serve(request, response);
  });

  constructor(
    id: string,
    answer: (request: ReceivedRequest, count: number) => ReplicaBehaviour,
  ) {
    this.id = id;
    this.answer = answer;
  }

  /** All received requests, also those that the replica refused. */
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

  /** Builds the item that the replica publishes in the store. */
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
    for (const request of this.received) {
      if (request.endedAtMs === undefined) request.wasBrokenOff = true;
    }
    for (const socket of this.#sockets) socket.destroy();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      // The connection closed within the request, which did not run.
      return;
    }
    const received: ReceivedRequest = {
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
      body: Buffer.concat(chunks).toString("utf8"),
      connectionUses: this.#countUse(request.socket),
      atMs: performance.now(),
      wasCancelled: false,
      wasBrokenOff: false,
      endedAtMs: undefined,
    };
    response.on("close", () => {
      received.wasCancelled = !response.writableFinished;
      received.endedAtMs = performance.now();
    });
    this.received.push(received);
    await this.#answer(
      received,
      response,
      this.answer(received, this.received.length),
    );
  }

  #countUse(socket: net.Socket): number {
    const uses = (this.#usesBySocket.get(socket) ?? 0) + 1;
    this.#usesBySocket.set(socket, uses);
    return uses;
  }

  async #answer(
    received: ReceivedRequest,
    response: http.ServerResponse,
    behaviour: ReplicaBehaviour,
  ): Promise<void> {
    const attemptId = readAttemptId(received);
    const signedHeaders = {
      ...this.extraHeaders,
      [ATTEMPT_ID]: attemptId,
      "x-jackdawbank-response-signature":
        `receipt-${this.id}-${this.received.length}`,
    };
    switch (behaviour.type) {
      case "ok": {
        const body = behaviour.body ?? `run by ${this.id}`;
        if (behaviour.delayMs !== undefined) await sleep(behaviour.delayMs);
        response.writeHead(200, {
          ...signedHeaders,
          "content-length": body.length,
        });
        response.end(body);
        return;
      }
      case "failure":
        response.writeHead(behaviour.status, signedHeaders).end("failed");
        return;
      case "not-run":
        if (behaviour.delayMs !== undefined) await sleep(behaviour.delayMs);
        response.writeHead(behaviour.status, {
          ...this.extraHeaders,
          [ATTEMPT_ID]: attemptId,
          "x-jackdawbank-not-executed": "1",
        }).end();
        return;
      case "misdirected":
        response.writeHead(421, { "x-jackdawbank-instance-id": "other" }).end();
        return;
      case "reset":
        received.wasBrokenOff = true;
        response.socket?.resetAndDestroy();
        return;
      case "hang":
        return;
      case "truncated":
        response.writeHead(200, { ...signedHeaders, "content-length": 100 });
        response.write("only part");
        await sleep(5);
        if (!response.destroyed) received.wasBrokenOff = true;
        response.socket?.destroy();
        return;
      case "unframed-truncated":
        received.wasBrokenOff = true;
        endByClose(response);
        response.writeHead(200, signedHeaders);
        response.end("only part");
        return;
      case "mismatched":
        response.writeHead(200, { ...signedHeaders, [ATTEMPT_ID]: "another" })
          .end("not yours");
        return;
      case "extra":
        response.writeHead(200, { ...signedHeaders, "content-length": 4 });
        response.end("mine");
        setImmediate(() =>
          response.socket?.write(
            `HTTP/1.1 200 OK\r\n${ATTEMPT_ID}: another\r\n` +
              "x-jackdawbank-response-signature: x\r\ncontent-length: 5\r\n\r\nextra",
          )
        );
        return;
      case "unsigned":
        response.writeHead(behaviour.status, { [ATTEMPT_ID]: attemptId }).end(
          "unsigned",
        );
        return;
      case "raw":
        return rawAnswers.sendRaw(response, behaviour, {
          ATTEMPT: attemptId,
          RECEIPT: `receipt-${this.id}-${this.received.length}`,
        });
      case "endless":
        if (response.socket !== null) {
          endless.sendEndlessBytes(
            response.socket,
            behaviour.part,
            signedHeaders,
          );
        }
        return;
      case "drip":
        response.writeHead(200, {
          ...signedHeaders,
          "content-type": "text/event-stream",
        });
        response.write("id: 1\ndata: piece 1\n\nid: 2\ndata: ");
        while (!response.destroyed) {
          response.write("x");
          await sleep(behaviour.intervalMs);
        }
        return;
      case "stream":
        return await this.#stream(
          received,
          response,
          behaviour,
          signedHeaders,
        );
    }
  }

  async #stream(
    received: ReceivedRequest,
    response: http.ServerResponse,
    behaviour: Extract<ReplicaBehaviour, { type: "stream" }>,
    signedHeaders: Readonly<Record<string, string>>,
  ): Promise<void> {
    if (behaviour.delayMs !== undefined) await sleep(behaviour.delayMs);
    if (behaviour.endsByClose === true) endByClose(response);
    response.writeHead(200, {
      ...signedHeaders,
      "content-type": "text/event-stream",
      ...(behaviour.confidence === undefined ? {} : {
        "x-jackdawbank-routing-confidence": String(behaviour.confidence),
      }),
    });
    const firstEvent = Number(received.headers["last-event-id"] ?? 0) + 1;
    for (let event = firstEvent; event <= behaviour.events; event += 1) {
      const text = renderEvent(event, behaviour);
      if (behaviour.disconnectAfterEvents === event - 1) {
        response.write(text.slice(0, 8));
        await sleep(5);
        if (!response.destroyed) received.wasBrokenOff = true;
        response.socket?.destroy();
        return;
      }
      if (behaviour.stallAfterEvents === event - 1) return;
      response.write(text);
      if (behaviour.pauseAfter?.events === event) {
        await sleep(behaviour.pauseAfter.durationMs);
      }
      await sleep(behaviour.eventIntervalMs ?? 1);
      if (response.destroyed) return;
    }
    response.end();
  }
}

/** Lets a response have neither length nor chunks. */
function endByClose(response: http.ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
