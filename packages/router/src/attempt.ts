/** One send of a request to one replica, over a connection of its own. */
import type * as undici from "undici";
import type * as connections from "./connections.ts";
import * as headerViews from "./header_view.ts";
import type * as ports from "./ports.ts";

/** A connection that is not there by then is given up: nothing was sent. */
const CONNECT_TIMEOUT_MS = 500;

/** What is sent. */
export interface SendRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** The beginning of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: ports.HeaderMap;
  /** Names and values, alternating, as the replica sent them. */
  readonly rawHeaders: readonly string[];
  /** Its end is told by a length or by chunks, not by the connection's end alone. */
  readonly isFramed: boolean;
}

/** How an attempt ended. */
export type AttemptEnd =
  /** Surely not sent. */
  | { readonly type: "unsent"; readonly reason: string }
  /** The answer is whole. */
  | { readonly type: "whole" }
  /** Sent, and no whole answer came. */
  | { readonly type: "lost"; readonly reason: string };

/** Takes the answer as it comes; `onEnd` is called once. */
export interface AttemptListener {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(end: AttemptEnd): void;
}

/** Headers in the form that undici gives them, as text. */
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

/** A send under way. */
export class Attempt {
  readonly #connection: connections.Connection;
  readonly #pool: connections.ReplicaConnections;
  readonly #listener: AttemptListener;
  readonly #connectTimer: NodeJS.Timeout;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #isSent = false;
  #isOver = false;

  constructor(
    pool: connections.ReplicaConnections,
    connection: connections.Connection,
    request: SendRequest,
    listener: AttemptListener,
  ) {
    this.#pool = pool;
    this.#connection = connection;
    this.#listener = listener;
    this.#connectTimer = setTimeout(
      () => this.#finish({ type: "unsent", reason: "connect timed out" }),
      CONNECT_TIMEOUT_MS,
    );
    this.#dispatch(request);
  }

  get isSent(): boolean {
    return this.#isSent;
  }

  /** Gives the answer up: the closed connection makes the replica stop. */
  cancel(reason: string): void {
    this.#finish(
      this.#isSent ? { type: "lost", reason } : { type: "unsent", reason },
    );
  }

  pause(): void {
    if (!this.#isOver) this.#controller?.pause();
  }

  resume(): void {
    if (!this.#isOver) this.#controller?.resume();
  }

  #dispatch(request: SendRequest): void {
    const { client, isKept } = this.#connection;
    const options: undici.Dispatcher.DispatchOptions = {
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: [...request.headers],
      body: request.body.length === 0 ? null : request.body,
      reset: !isKept,
      blocking: false,
    };
    try {
      client.dispatch(options, {
        onRequestStart: (controller) => {
          this.#controller = controller;
          this.#isSent = true;
          clearTimeout(this.#connectTimer);
        },
        onResponseStart: (controller, status, headers) => {
          if (this.#isOver || status < 200) return;
          this.#listener.onHead({
            status,
            headers: headerViews.joinHeaders(headers),
            rawHeaders: listRawHeaders(controller),
            isFramed: headers["content-length"] !== undefined ||
              headers["transfer-encoding"] !== undefined,
          });
        },
        onResponseData: (_controller, chunk) => {
          if (!this.#isOver) this.#listener.onData(chunk);
        },
        onResponseEnd: () => this.#finish({ type: "whole" }),
        onResponseError: (_controller, error) =>
          this.#finish(
            this.#isSent
              ? { type: "lost", reason: error.message }
              : { type: "unsent", reason: error.message },
          ),
      });
    } catch (thrown) {
      // The client refuses what it cannot send before it writes any byte.
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      queueMicrotask(() => this.#finish({ type: "unsent", reason }));
    }
  }

  #finish(end: AttemptEnd): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#connectTimer);
    // After a whole answer the client first takes the connection back itself.
    if (end.type === "whole") {
      setImmediate(() => this.#pool.giveBack(this.#connection));
    } else this.#pool.drop(this.#connection);
    this.#listener.onEnd(end);
  }
}
