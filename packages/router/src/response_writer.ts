/** Writes answers to callers: replicas' answers as they are, refusals by their error kind. */
import type * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

/** Headers of an answer that concern one connection only, or that are set anew. */
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

function listPassedHeaders(rawHeaders: readonly string[]): string[] {
  const named = new Set<string>();
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if ((rawHeaders[at] as string).toLowerCase() !== "connection") continue;
    for (const name of (rawHeaders[at + 1] as string).split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  const passed: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = (rawHeaders[at] as string).toLowerCase();
    if (CONNECTION_HEADERS.has(name) || named.has(name)) continue;
    passed.push(rawHeaders[at] as string, rawHeaders[at + 1] as string);
  }
  return passed;
}

/** Writes one answer to a caller. */
export class ResponseWriter implements requests.AnswerWriter {
  readonly #response: http.ServerResponse;
  readonly #codec: ports.MessageCodec;
  readonly #isClosing: () => boolean;

  constructor(
    response: http.ServerResponse,
    codec: ports.MessageCodec,
    isClosing: () => boolean,
  ) {
    this.#response = response;
    this.#codec = codec;
    this.#isClosing = isClosing;
  }

  get isStarted(): boolean {
    return this.#response.headersSent;
  }

  start(status: number, rawHeaders: readonly string[]): void {
    this.#writeHead(status, listPassedHeaders(rawHeaders));
  }

  write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  onDrain(callback: () => void): void {
    this.#response.once("drain", callback);
  }

  end(): void {
    this.#response.end();
  }

  answer(
    status: number,
    rawHeaders: readonly string[],
    body: Buffer,
    isFramed: boolean,
  ): void {
    const headers = listPassedHeaders(rawHeaders);
    if (isFramed) headers.push("content-length", String(body.length));
    else {
      // A length would vouch for a body that the replica may have cut.
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.shouldKeepAlive = false;
    }
    this.#writeHead(status, headers);
    this.#response.end(body);
  }

  abort(): void {
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
    this.#response.end(body);
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#isClosing()) headers.push("connection", "close");
    this.#response.writeHead(status, headers);
  }
}
