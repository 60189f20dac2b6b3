/** Writes responses to callers: forwarded replica responses, and errors by their kind. */
import type * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

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
  readonly #shouldClose: () => boolean;

  constructor(
    response: http.ServerResponse,
    codec: ports.MessageCodec,
    shouldClose: () => boolean,
  ) {
    this.#response = response;
    this.#codec = codec;
    this.#shouldClose = shouldClose;
  }

  get isStarted(): boolean {
    return this.#response.headersSent;
  }

  start(status: number, rawHeaders: readonly string[]): void {
    this.#writeHead(status, listForwardedHeaders(rawHeaders));
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
    const headers = listForwardedHeaders(rawHeaders);
    if (isFramed) headers.push("content-length", String(body.length));
    else {
      // The body may be truncated; a content length would make it look complete.
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
    if (this.#shouldClose()) headers.push("connection", "close");
    this.#response.writeHead(status, headers);
  }
}
