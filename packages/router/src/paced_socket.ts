/**
 * Connection whose bytes reach the HTTP parser in portions. The runtime reads up
 * to 64 KB at a time, and its parser turns all of them into requests at once: some
 * thousands if they are small, before any of them can be refused. Here each portion
 * contains the end of at most one head, and no further one is passed on while
 * enough requests of the connection wait for their responses. What is not passed on
 * stays in one buffer and in the kernel.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import * as stream from "node:stream";

/** Connection of a caller, paced or not. */
export interface CallerSocket extends stream.Duplex {
  readonly remoteAddress?: string | undefined;
  destroySoon(): void;
  resetAndDestroy(): this;
}

/** What may be done with the next bytes of a connection. */
export type PassDecision = "pass" | "hold" | "discard";

/** Decides what a connection may pass on, and accounts for what it holds. */
export interface Pace {
  /** Called before each portion. */
  decide(): PassDecision;
  /** Called when the number of held bytes has changed by this much. */
  onHeld(addedBytes: number): void;
}

const PASS_ALL: Pace = { decide: () => "pass", onHeld: () => {} };

const HEAD_END = Buffer.from("\r\n\r\n");
/** Reading goes on below this, so that the end of a connection is noticed behind a few requests. */
const MAX_HELD_BYTES = 16_384;
const NOTHING = Buffer.alloc(0);
const CR = 0x0d;
const LF = 0x0a;
/** A held portion of a read buffer is copied if it uses less than this share of it. */
const MIN_USED_SHARE = 0.5;

/**
 * Finds the end of the first portion, after the empty line that ends a head. Line
 * breaks behind it are included: they begin no request.
 */
function findPortionEnd(bytes: Buffer): number {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd === -1) return bytes.length;
  let end = headEnd + HEAD_END.length;
  while (bytes[end] === CR || bytes[end] === LF) end += 1;
  return end;
}

/** Copies a small part of a read buffer, so that it does not keep the rest in memory. */
function detach(bytes: Buffer): Buffer {
  return bytes.length < MIN_USED_SHARE * bytes.buffer.byteLength
    ? Buffer.from(bytes)
    : bytes;
}

/** Passes the bytes of a connection on in portions; what is written is not changed. */
export class PacedSocket extends stream.Duplex implements CallerSocket {
  readonly #raw: net.Socket;
  #pace = PASS_ALL;
  #held: Buffer = NOTHING;
  #reportedBytes = 0;
  #hasReceivedEnd = false;
  #hasPassedEnd = false;
  #isPassing = false;
  #isScheduled = false;

  constructor(raw: net.Socket) {
    super({ allowHalfOpen: true });
    this.#raw = raw;
    raw.on("data", (chunk: Buffer) => {
      this.#held = this.#held.length === 0
        ? chunk
        : Buffer.concat([this.#held, chunk]);
      this.#passOn();
    });
    raw.once("end", () => {
      this.#hasReceivedEnd = true;
      // The runtime aborts the requests of a caller that ends its side.
      this.#held = NOTHING;
      this.#passOn();
    });
    raw.on("timeout", () => this.emit("timeout"));
    raw.on("error", (error) => this.destroy(error));
    raw.once("close", () => this.destroy());
  }

  get remoteAddress(): string | undefined {
    return this.#raw.remoteAddress;
  }

  /** Bytes that were received and not passed on. */
  get heldBytes(): number {
    return this.#held.length;
  }

  /** Sets the pace, before anything was received; `passOnLater` has it asked again. */
  paceBy(pace: Pace): void {
    this.#pace = pace;
  }

  /**
   * Passes on what is held, if that is allowed by then, in the next turn of the event
   * loop: a connection with many requests leaves the others their turns.
   */
  passOnLater(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#passOn();
    });
  }

  // The runtime's HTTP server calls these where they exist.
  setTimeout(timeoutMs: number): this {
    this.#raw.setTimeout(timeoutMs);
    return this;
  }

  setNoDelay(isEnabled = true): this {
    this.#raw.setNoDelay(isEnabled);
    return this;
  }

  destroySoon(): void {
    this.end(() => this.destroy());
  }

  resetAndDestroy(): this {
    this.#raw.resetAndDestroy();
    return this.destroy();
  }

  override _read(): void {
    // Passing on at once could enter the parser within one of its own callbacks.
    if (this.#held.length > 0) process.nextTick(() => this.#passOn());
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.#raw.write(chunk, encoding, callback);
  }

  override _writev(
    chunks: readonly { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: (error?: Error | null) => void,
  ): void {
    const last = chunks.length - 1;
    this.#raw.cork();
    for (const [index, { chunk, encoding }] of chunks.entries()) {
      if (index === last) this.#raw.write(chunk, encoding, callback);
      else this.#raw.write(chunk, encoding);
    }
    this.#raw.uncork();
  }

  override _final(callback: (error?: Error | null) => void): void {
    this.#raw.end(callback);
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.#held = NOTHING;
    this.#reportHeld();
    if (this.#raw.closed) {
      callback(error);
      return;
    }
    this.#raw.once("close", () => callback(error));
    this.#raw.destroy();
  }

  #passOn(): void {
    if (this.#isPassing || this.destroyed) return;
    this.#isPassing = true;
    let decision: PassDecision = "pass";
    // A portion that the parser has not taken may begin a request.
    while (this.#held.length > 0 && this.readableLength === 0) {
      decision = this.#pace.decide();
      if (decision === "hold") break;
      const end = decision === "discard"
        ? this.#held.length
        : findPortionEnd(this.#held);
      const portion = this.#held.subarray(0, end);
      this.#held = this.#held.subarray(end);
      if (decision === "pass") this.push(portion);
      // A callback of the parser may have destroyed the connection.
      if (this.destroyed) break;
    }
    this.#isPassing = false;
    this.#continueReading();
  }

  #continueReading(): void {
    if (this.destroyed) return;
    this.#held = this.#held.length === 0 ? NOTHING : detach(this.#held);
    this.#reportHeld();
    if (this.#hasReceivedEnd) this.#passOnEnd();
    else if (this.#held.length < MAX_HELD_BYTES) this.#raw.resume();
    else this.#raw.pause();
  }

  #reportHeld(): void {
    const addedBytes = this.#held.length - this.#reportedBytes;
    if (addedBytes === 0) return;
    this.#reportedBytes = this.#held.length;
    this.#pace.onHeld(addedBytes);
  }

  #passOnEnd(): void {
    if (this.#hasPassedEnd) return;
    this.#hasPassedEnd = true;
    this.push(null);
  }
}

/**
 * Lets a server parse its connections in portions. `accept` is called for each new
 * connection after the server has prepared it.
 */
export function paceConnections(
  server: http.Server,
  accept: (socket: PacedSocket) => void,
): void {
  const [parse] = server.listeners("connection");
  if (parse === undefined) throw new Error("the server has no parser");
  server.removeAllListeners("connection");
  server.on("connection", (raw: net.Socket) => {
    const socket = new PacedSocket(raw);
    parse.call(server, socket);
    accept(socket);
  });
}
