/**
 * One connection of a caller on the platform, as raw text: requests in parts over
 * time, the next one before the answer of the one before, answers that are read slowly.
 */
import * as net from "node:net";
import * as parsers from "./answer_parser.ts";
import * as samples from "./platform_sample.ts";

/** A part of a body, sent after a pause. */
export interface BodyPart {
  readonly afterMs: number;
  readonly text: string;
}

/** One request of a caller. */
export interface CallerRequest {
  readonly attemptId: string;
  readonly path: string;
  readonly deadlineMs: number;
  readonly isKeyed: boolean;
  /** Leaves the choice of a model to the router. */
  readonly isPrompt: boolean;
  readonly expectsContinue: boolean;
  /** Whether the length of the body is not told in advance. */
  readonly isChunked: boolean;
  readonly body: readonly BodyPart[];
}

/** What became of a request; all times are monotonic. */
export interface CallerExchange {
  readonly startedAtMs: number;
  /** The last byte was handed to the kernel; absent if that did not happen. */
  readonly sentAtMs: number | undefined;
  /** The connection ended or an answer was complete. */
  readonly endedAtMs: number;
  /** Absent if the connection ended before a head. */
  readonly answer: parsers.ParsedAnswer | undefined;
  readonly attemptId: string | undefined;
  readonly signature: string | undefined;
  readonly retryAfterMs: number | undefined;
  /** Why the connection ended, if that left no complete answer. */
  readonly closeReason: string | undefined;
}

interface PendingRequest {
  readonly startedAtMs: number;
  sentAtMs: number | undefined;
  readonly resolve: (exchange: CallerExchange) => void;
}

/** Longest wait for `100 Continue`; then the body is sent all the same. */
const CONTINUE_TIMEOUT_MS = 1_000;
const MS_PER_S = 1_000;
/** Characters of an attempt id that name the last part of its prompt. */
const PART_ID_LENGTH = 8;

export class PlatformConnection {
  readonly #socket: net.Socket;
  readonly #pending: PendingRequest[] = [];
  readonly #parser: parsers.AnswerParser;
  #onContinue: (() => void) | undefined;
  #writing: Promise<void> = Promise.resolve();
  #closeReason: string | undefined;
  #isClosing = false;
  #strayBytes = 0;

  private constructor(socket: net.Socket, readPauseMs: number) {
    this.#socket = socket;
    this.#parser = new parsers.AnswerParser({
      onContinue: () => this.#onContinue?.(),
      // After this, a caller must send no further requests on the connection.
      onHead: (headers) =>
        this.#isClosing ||= headers.get("connection") === "close",
      onAnswer: (answer) => this.#settle(answer),
    });
    socket.on("data", (chunk: Buffer) => this.#receive(chunk, readPauseMs));
    socket.on("error", (error) => this.#closeReason ??= error.message);
    socket.on("close", (hadError) => this.#settleAll(hadError));
    // The default answers a half-closed connection by closing it, too.
    socket.on("end", () => this.#closeReason ??= "ended by the entry");
  }

  /** Opens a connection; rejects if that fails or takes longer than the time-out. */
  static open(
    address: { readonly host: string; readonly port: number },
    options: { readonly timeoutMs: number; readonly readPauseMs: number },
  ): Promise<PlatformConnection> {
    return new Promise((resolve, reject) => {
      const socket = net.connect(address.port, address.host);
      const timer = setTimeout(
        () => socket.destroy(new Error("not connected in time")),
        options.timeoutMs,
      );
      socket.once("error", reject);
      socket.once("connect", () => {
        clearTimeout(timer);
        socket.removeListener("error", reject);
        socket.setNoDelay(true);
        resolve(new PlatformConnection(socket, options.readPauseMs));
      });
      socket.once("close", () => clearTimeout(timer));
    });
  }

  /** Whether a further request may be sent. */
  get isUsable(): boolean {
    return !this.#isClosing && !this.#socket.destroyed &&
      this.#socket.writable;
  }

  get pendingCount(): number {
    return this.#pending.length;
  }

  /** Bytes that were received while no request waited for an answer. */
  get strayBytes(): number {
    return this.#strayBytes;
  }

  /** Sends a request after those before it; resolves when it is over. */
  send(request: CallerRequest): Promise<CallerExchange> {
    return new Promise((resolve) => {
      this.#writing = this.#writing.then(async () => {
        const pending: PendingRequest = {
          startedAtMs: performance.now(),
          sentAtMs: undefined,
          resolve,
        };
        this.#pending.push(pending);
        if (this.#socket.destroyed) this.#settleAll(false);
        else if (!this.#isClosing) await this.#write(request, pending);
      });
    });
  }

  /** Closes the connection, as a caller does that waits no longer. */
  close(reason: string): void {
    this.#closeReason ??= reason;
    this.#socket.destroy();
  }

  async #write(
    request: CallerRequest,
    pending: PendingRequest,
  ): Promise<void> {
    const { body, isChunked } = request;
    const size = body.reduce((sum, { text }) => sum + text.length, 0);
    const framing = isChunked
      ? "transfer-encoding: chunked\r\n"
      : `content-length: ${size}\r\n`;
    const continued = new Promise<void>((resolve) => {
      this.#onContinue = resolve;
    });
    await this.#writeText(`${renderHead(request)}${framing}\r\n`);
    if (request.expectsContinue) {
      await Promise.race([continued, sleep(CONTINUE_TIMEOUT_MS)]);
    }
    for (const { afterMs, text } of body) {
      if (afterMs > 0) await sleep(afterMs);
      await this.#writeText(
        isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text,
      );
    }
    if (isChunked) await this.#writeText("0\r\n\r\n");
    if (!this.#socket.destroyed) pending.sentAtMs = performance.now();
  }

  #writeText(text: string): Promise<void> {
    if (this.#socket.destroyed) return Promise.resolve();
    return new Promise((resolve) => this.#socket.write(text, () => resolve()));
  }

  #receive(chunk: Buffer, readPauseMs: number): void {
    if (this.#pending.length === 0) {
      this.#strayBytes += chunk.length;
      return;
    }
    try {
      this.#parser.push(chunk);
    } catch (thrown) {
      this.close(thrown instanceof Error ? thrown.message : String(thrown));
      return;
    }
    if (this.#pending.length === 0 && this.#parser.hasRest) {
      this.#strayBytes += 1;
    }
    if (readPauseMs === 0) return;
    this.#socket.pause();
    setTimeout(() => this.#socket.resume(), readPauseMs);
  }

  #settleAll(hadError: boolean): void {
    const rest = this.#parser.end(!hadError);
    if (rest !== undefined) this.#settle(rest);
    while (this.#pending.length > 0) this.#settle(undefined);
  }

  #settle(answer: parsers.ParsedAnswer | undefined): void {
    const pending = this.#pending.shift();
    if (pending === undefined) return;
    const retryAfter = answer?.headers.get("retry-after");
    pending.resolve({
      startedAtMs: pending.startedAtMs,
      sentAtMs: pending.sentAtMs,
      endedAtMs: performance.now(),
      answer,
      attemptId: answer?.headers.get("x-jackdawbank-attempt-id"),
      signature: answer?.headers.get("x-jackdawbank-response-signature"),
      retryAfterMs: retryAfter === undefined
        ? undefined
        : Number(retryAfter) * MS_PER_S,
      closeReason: answer?.isComplete === true
        ? undefined
        : this.#closeReason ?? "closed",
    });
  }
}

/** Renders the head without the line that announces the body. */
function renderHead(request: CallerRequest): string {
  const headers: Readonly<Record<string, string>> = {
    host: samples.HOST,
    "x-jackdawbank-attempt-id": request.attemptId,
    "x-jackdawbank-deadline-ms": String(request.deadlineMs),
    ...(request.isKeyed ? { authorization: `Token ${samples.KEY}` } : {}),
    ...(request.isPrompt
      ? {
        ...samples.DRAFT.headers,
        "x-jackdawbank-prefix-hash": `a1:100,${
          request.attemptId.slice(0, PART_ID_LENGTH)
        }:500`,
      }
      : {}),
    ...(request.expectsContinue ? { expect: "100-continue" } : {}),
  };
  return `POST ${request.path} HTTP/1.1\r\n${
    Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
      .join("")
  }`;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
