/**
 * Writes responses to callers: forwarded replica responses, and errors by their
 * kind. A caller that does not read its response is disconnected after some time.
 */
import type * as http from "node:http";
import type * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as connections from "./caller_connections.ts";
import type * as budgets from "./memory_budget.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";
import * as check from "./response_check.ts";

/** Longest pause of a caller that reads a refusal, or whose route is not known. */
const DEFAULT_MAX_PAUSE_MS = 5_000;
/** Longest pause that callers bear: a time, or multiples of the route's targets. */
const MIN_CALLER_PAUSE_MS = 2_000;
const CALLER_PAUSE_TARGETS = 4;
const CALLER_PAUSE_GAPS = 8;
/** Longest time for which a caller may read a buffered response. */
const MAX_READING_MS = 60_000;

/** Response headers that are hop-by-hop or that this process sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "trailer",
  "upgrade",
  "te",
]);

function listForwardedHeaders(rawHeaders: readonly string[]): string[] {
  const connectionScoped = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if ((rawHeaders[index] as string).toLowerCase() !== "connection") continue;
    for (const name of (rawHeaders[index + 1] as string).split(",")) {
      connectionScoped.add(name.trim().toLowerCase());
    }
  }
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase();
    if (CONNECTION_HEADERS.has(name) || connectionScoped.has(name)) continue;
    forwarded.push(
      rawHeaders[index] as string,
      rawHeaders[index + 1] as string,
    );
  }
  return forwarded;
}

/** Writes one response to a caller. */
export class ResponseWriter implements requests.CallerResponseWriter {
  readonly #response: http.ServerResponse;
  readonly #codec: ports.MessageCodec;
  readonly #hold: budgets.RequestHold;
  readonly #shouldClose: () => boolean;
  readonly #waitForTurn: (callback: () => void) => void;
  readonly #onCut: (reason: budgets.YieldReason) => void;
  #maxPauseMs = DEFAULT_MAX_PAUSE_MS;
  /** The response has neither length nor chunks. */
  #endsByClose = false;

  constructor(response: http.ServerResponse, options: {
    readonly codec: ports.MessageCodec;
    readonly hold: budgets.RequestHold;
    readonly shouldClose: () => boolean;
    /** Calls back once the responses before this one are written, or now if they are. */
    readonly waitForTurn: (callback: () => void) => void;
    /** Called when the caller is disconnected because it does not read. */
    readonly onCut: (reason: budgets.YieldReason) => void;
  }) {
    this.#response = response;
    this.#codec = options.codec;
    this.#hold = options.hold;
    this.#shouldClose = options.shouldClose;
    this.#waitForTurn = options.waitForTurn;
    this.#onCut = options.onCut;
  }

  get isStarted(): boolean {
    return this.#response.headersSent;
  }

  start(status: number, rawHeaders: readonly string[]): void {
    // Callers of HTTP/1.0 know no chunks.
    this.#endsByClose = !this.#response.useChunkedEncodingByDefault;
    // What arrives behind a response that takes time is answered, too.
    this.#response.writeHead(status, listForwardedHeaders(rawHeaders));
  }

  /** Sets for how long the caller may take no part of the response: as long as it waits for one. */
  setRoute({ targetLatencyMs, maxGapMs }: bundle.Route): void {
    this.#maxPauseMs = Math.max(
      MIN_CALLER_PAUSE_MS,
      CALLER_PAUSE_TARGETS * targetLatencyMs,
      CALLER_PAUSE_GAPS * maxGapMs,
    );
  }

  reserve(bytes: number): boolean {
    return this.#hold.setAnswerBytes(bytes);
  }

  write(chunk: Buffer): boolean {
    const isTaken = this.#response.write(chunk);
    if (!isTaken) {
      this.#waitForCaller(Infinity);
      this.#hold.setAnswerBytes(this.#response.writableLength);
    }
    return isTaken;
  }

  onDrain(callback: () => void): void {
    this.#response.once("drain", () => {
      this.#hold.begin("running");
      this.#hold.setAnswerBytes(0);
      callback();
    });
  }

  end(): void {
    this.#waitForCaller(MAX_READING_MS);
    this.#response.end();
  }

  answer(
    status: number,
    rawHeaders: readonly string[],
    bodyParts: readonly Buffer[],
    isFramed: boolean,
  ): void {
    const bodyBytes = bodyParts.reduce((sum, part) => sum + part.length, 0);
    const headers = listForwardedHeaders(rawHeaders);
    if (isFramed) {
      if (!check.hasNoBody(status)) {
        headers.push("content-length", String(bodyBytes));
      }
    } else {
      // The body may be truncated; a content length would make it look complete.
      this.#endsByClose = true;
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.shouldKeepAlive = false;
    }
    this.#writeHead(status, headers);
    this.#waitForCaller(MAX_READING_MS);
    this.#hold.setAnswerBytes(bodyBytes);
    if (!this.#response.destroyed) this.#endWith(bodyParts, bodyBytes);
  }

  abort(): void {
    // An orderly close would be the end of such a response.
    if (this.#endsByClose) connections.reset(this.#response.req.socket);
    this.#response.destroy();
  }

  refuse(error: kernel.AppError, retryAfterMs?: number): void {
    if (this.#response.headersSent || this.#response.destroyed) return;
    const { status, notRun, retry } = kernel.findErrorResponse(error.kind);
    const body = JSON.stringify({
      error: {
        type: error.kind,
        message: error.message,
        not_run: notRun,
        retry,
      },
    });
    const headers = [
      "content-type",
      "application/json",
      "content-length",
      String(Buffer.byteLength(body)),
    ];
    if (retryAfterMs !== undefined) {
      headers.push(...this.#codec.encodeRetryAfter(retryAfterMs));
    }
    this.#writeHead(status, headers);
    this.#waitForCaller(MAX_READING_MS);
    this.#response.end(body);
  }

  /** Writes the rest of a response in parts, as fast as the caller reads. */
  #endWith(bodyParts: readonly Buffer[], bodyBytes: number): void {
    const rest = [...bodyParts].reverse();
    let restBytes = bodyBytes;
    const writeMore = () => {
      while (rest.length > 1) {
        const part = rest.pop() as Buffer;
        restBytes -= part.length;
        if (this.#response.write(part)) continue;
        this.#response.once("drain", () => {
          this.#hold.recordProgress(part.length);
          this.#hold.setAnswerBytes(restBytes);
          writeMore();
        });
        return;
      }
      this.#response.end(rest.pop());
    };
    writeMore();
  }

  /** From now on, the response is given up if the caller does not read it in its turn. */
  #waitForCaller(maxDurationMs: number): void {
    const onYield = (reason: budgets.YieldReason) => this.#cut(reason);
    this.#hold.begin("answering", { onYield });
    this.#waitForTurn(() => {
      // It may have been taken in the meantime, and go on.
      if (this.#hold.stage !== "answering") return;
      const maxPauseMs = this.#maxPauseMs;
      this.#hold.begin("answering", { maxPauseMs, maxDurationMs, onYield });
    });
  }

  #cut(reason: budgets.YieldReason): void {
    this.#onCut(reason);
    this.abort();
    // A response that waits for an earlier one has no socket of its own yet.
    this.#response.req.socket.destroy();
  }

  /** Writes the head of a response that is ended at once. */
  #writeHead(status: number, headers: string[]): void {
    if (this.#shouldClose()) headers.push("connection", "close");
    this.#response.writeHead(status, headers);
  }
}
