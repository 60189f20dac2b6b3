/** One attempt to send a request to a replica, with exclusive use of a connection. */
import type * as undici from "undici";
import * as faults from "./answer_fault.ts";
import type * as meters from "./answer_meter.ts";
import type * as connections from "./connections.ts";
import * as headerMaps from "./header_map.ts";
import type * as ports from "./ports.ts";
import * as paces from "./read_pace.ts";
import * as check from "./response_check.ts";

/** Time-out for the connection; when it expires, no part of the request has been sent. */
const CONNECT_TIMEOUT_MS = 500;
/** Informational responses (1xx) accepted before the response itself. */
const MAX_INFORMATIONAL_RESPONSES = 8;

/** A chunk below this size is a small piece of a body. */
const SMALL_CHUNK_BYTES = 64;
/** Smaller chunks of a body that arrive together are passed on together. */
const JOINED_BYTES = 16_384;

const MIN_FINAL_STATUS = 200;

/** Request sent to a replica. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Asked when the connection is ready: why nothing may be sent any more. */
  readonly findObstacle?: () => string | undefined;
}

/** Status and headers of a replica's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: ports.HeaderMap;
  /** Headers as the replica sent them; names and values alternate. */
  readonly rawHeaders: readonly string[];
  /** The end is marked by status, length or chunks, not only by the connection's close. */
  readonly isFramed: boolean;
  /** The connection has carried a request before, of which this may be a late response. */
  readonly isOnUsedConnection: boolean;
}

/** Result of an attempt at the transport level. */
export type AttemptEnd =
  /** The request was certainly not sent. */
  | { readonly type: "unsent"; readonly reason: string }
  /** A complete response was received. */
  | { readonly type: "whole" }
  /** The request was sent, but no complete response was received. */
  | {
    readonly type: "lost";
    readonly reason: string;
    /** This process ended it, not the replica or the connection. */
    readonly isGivenUp: boolean;
  };

/**
 * Receives the response as it arrives; `onEnd` is called exactly once. Nothing is
 * called before the attempt's constructor has returned.
 */
export interface AttemptListener {
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): void;
  onEnd(end: AttemptEnd): void;
}

/** Raw headers as text; undici provides them as buffers, outside its types. */
function listRawHeaders(
  controller: undici.Dispatcher.DispatchController,
): readonly string[] {
  const raw = (controller as { readonly rawHeaders?: unknown }).rawHeaders;
  return Array.isArray(raw)
    ? raw.map((part) =>
      Buffer.isBuffer(part) ? part.toString("latin1") : String(part)
    )
    : [];
}

/** A request in flight to a replica. */
export class Attempt {
  readonly #connection: connections.Connection;
  readonly #pool: connections.ConnectionPool;
  readonly #listener: AttemptListener;
  readonly #connectTimer: NodeJS.Timeout;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #isConstructed = false;
  #isSent = false;
  #isOver = false;
  #isHeldBack = false;
  #informationalResponses = 0;
  #fault: faults.AnswerFault | undefined;
  #answerBytes: meters.AnswerBytes | undefined;
  #pendingChunks: Buffer[] = [];
  #pendingBytes = 0;
  readonly #pace = new paces.ReadPace(performance.now());
  #paceTimer: NodeJS.Timeout | undefined;
  #isPaused = false;

  constructor(
    pool: connections.ConnectionPool,
    connection: connections.Connection,
    request: AttemptRequest,
    listener: AttemptListener,
  ) {
    this.#pool = pool;
    this.#connection = connection;
    this.#listener = listener;
    // A process that lagged reads first whether the connection has become ready.
    this.#connectTimer = setTimeout(
      () => setImmediate(() => this.#endUnconnected()),
      CONNECT_TIMEOUT_MS,
    );
    this.#dispatch(request);
    this.#isConstructed = true;
  }

  get isSent(): boolean {
    return this.#isSent;
  }

  /** Not sent because of an obstacle, which says nothing about the replica. */
  get isHeldBack(): boolean {
    return this.#isHeldBack;
  }

  /** Why its answer was given up; absent if it was not. */
  get fault(): faults.AnswerFault | undefined {
    return this.#fault;
  }

  /** Bytes of its answer so far. */
  get answerBytes(): meters.AnswerBytes {
    return this.#answerBytes ?? this.#connection.meter.read();
  }

  /** Aborts the attempt because of what the replica sends. */
  giveUp(fault: faults.AnswerFault): void {
    if (this.#isOver) return;
    this.#fault = fault;
    this.cancel(faults.describeFault(fault));
  }

  /** Aborts the attempt; closing the connection makes the replica stop. */
  cancel(reason: string): void {
    this.#finish(
      this.#isSent
        ? { type: "lost", reason, isGivenUp: true }
        : { type: "unsent", reason },
    );
  }

  pause(): void {
    this.#isPaused = true;
    if (!this.#isOver) this.#controller?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    this.#resumeReading();
  }

  /** Counts small pieces of the answer; with too many of them it is read more slowly. */
  countPieces(pieces: number): void {
    if (this.#isOver) return;
    const pauseMs = this.#pace.record(pieces, performance.now());
    if (pauseMs === 0) return;
    this.#controller?.pause();
    clearTimeout(this.#paceTimer);
    this.#paceTimer = setTimeout(() => {
      this.#paceTimer = undefined;
      this.#resumeReading();
    }, pauseMs);
  }

  #resumeReading(): void {
    if (this.#isOver || this.#isPaused || this.#paceTimer !== undefined) return;
    this.#controller?.resume();
  }

  #dispatch(request: AttemptRequest): void {
    const { client, isReusable } = this.#connection;
    const options: undici.Dispatcher.DispatchOptions = {
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: [...request.headers],
      body: request.body.length === 0 ? null : request.body,
      reset: !isReusable,
      blocking: false,
    };
    try {
      client.dispatch(options, {
        onRequestStart: (controller) => {
          this.#controller = controller;
          this.#connection.meter.begin(() => this.giveUp("framing"));
          clearTimeout(this.#connectTimer);
          const obstacle = request.findObstacle?.();
          this.#isHeldBack = obstacle !== undefined;
          this.#isSent = !this.#isHeldBack;
          // undici writes nothing after an abort in this callback.
          if (this.#isHeldBack) controller.abort(new Error(obstacle));
        },
        onResponseStart: (controller, status, headers) => {
          if (this.#isOver) return;
          if (status < MIN_FINAL_STATUS) {
            this.#countInformationalResponse();
            return;
          }
          this.#listener.onHead({
            status,
            headers: headerMaps.joinHeaders(headers),
            rawHeaders: listRawHeaders(controller),
            isOnUsedConnection: this.#connection.isUsed,
            isFramed: check.hasNoBody(status) ||
              headers["content-length"] !== undefined ||
              headers["transfer-encoding"] !== undefined,
          });
        },
        onResponseData: (_controller, chunk) => {
          if (!this.#isOver) this.#addData(chunk);
        },
        onResponseEnd: () => this.#finish({ type: "whole" }),
        onResponseError: (_controller, error) =>
          this.#finish(
            this.#isSent
              ? { type: "lost", reason: error.message, isGivenUp: false }
              : { type: "unsent", reason: error.message },
          ),
      });
    } catch (thrown) {
      // undici throws on invalid requests before it writes any byte.
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      this.#finish({ type: "unsent", reason });
    }
  }

  #endUnconnected(): void {
    if (this.#controller !== undefined) return;
    this.#finish({ type: "unsent", reason: "connection timed out" });
  }

  #countInformationalResponse(): void {
    this.#informationalResponses += 1;
    if (this.#informationalResponses <= MAX_INFORMATIONAL_RESPONSES) return;
    this.giveUp("informational");
  }

  #addData(chunk: Buffer): void {
    this.#connection.meter.addBody(chunk.length);
    if (chunk.length < SMALL_CHUNK_BYTES) this.countPieces(1);
    this.#pendingChunks.push(chunk);
    this.#pendingBytes += chunk.length;
    if (this.#pendingBytes >= JOINED_BYTES) this.#passOnData();
    else if (this.#pendingChunks.length === 1) {
      // Runs once all that was read with the chunk is parsed.
      queueMicrotask(() => this.#passOnData());
    }
  }

  #passOnData(): void {
    const [first, ...rest] = this.#pendingChunks;
    if (first === undefined || this.#isOver) return;
    this.#pendingChunks = [];
    this.#pendingBytes = 0;
    this.#listener.onData(
      rest.length === 0 ? first : Buffer.concat([first, ...rest]),
    );
  }

  #finish(end: AttemptEnd): void {
    if (this.#isOver) return;
    if (!this.#isConstructed) {
      // undici reports an invalid request or a closed client synchronously.
      queueMicrotask(() => this.#finish(end));
      return;
    }
    const isGivenUp = end.type === "lost" && end.isGivenUp;
    if (!isGivenUp) {
      this.#passOnData();
      // The listener may have cancelled the attempt.
      if (this.#isOver) return;
    }
    this.#isOver = true;
    this.#answerBytes = this.#connection.meter.read();
    clearTimeout(this.#connectTimer);
    clearTimeout(this.#paceTimer);
    // undici must finish with the connection before the next request may use it.
    if (end.type === "whole") {
      setImmediate(() => this.#pool.release(this.#connection));
    } else this.#pool.discard(this.#connection);
    this.#listener.onEnd(end);
  }
}
