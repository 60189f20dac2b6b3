/**
 * Collects the body of a request, or of a response, in few buffers that cost what
 * they hold: small chunks are merged as they arrive.
 */
import type * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import type * as budgets from "./memory_budget.ts";
import * as smallChunks from "./small_chunks.ts";

const SEGMENT_BYTES = 65_536;
const MIN_SEGMENT_BYTES = 1_024;
/** A chunk of this size is kept; a smaller one could keep a much larger read buffer alive. */
const MIN_KEPT_CHUNK_BYTES = 32_768;

/** Thrown for a request that violates the protocol or a limit. */
export class RequestReadError extends Error {
  readonly kind: kernel.ErrorKind;
  /** Reading on, if only to discard it, would cost as much as the request itself. */
  readonly mustCloseAtOnce: boolean;

  constructor(
    kind: kernel.ErrorKind,
    message: string,
    options: { readonly mustCloseAtOnce?: boolean } = {},
  ) {
    super(message);
    this.kind = kind;
    this.mustCloseAtOnce = options.mustCloseAtOnce ?? false;
  }
}

/** Bytes that arrive in chunks of any size. */
export class ByteCollector {
  readonly #segments: Buffer[] = [];
  /** Unfilled segment, which is not in `#segments` yet. */
  #open: Buffer | undefined;
  #filledBytes = 0;
  #byteCount = 0;
  #heldBytes = 0;

  get byteCount(): number {
    return this.#byteCount;
  }

  /** Memory in use, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  push(chunk: Buffer): void {
    this.#byteCount += chunk.length;
    if (chunk.length >= MIN_KEPT_CHUNK_BYTES) {
      this.#closeSegment();
      this.#segments.push(chunk);
      this.#heldBytes += Math.max(chunk.length, SEGMENT_BYTES);
      return;
    }
    let rest = chunk;
    while (rest.length > 0) {
      this.#open ??= this.#openSegment(rest.length);
      const copied = rest.copy(this.#open, this.#filledBytes);
      this.#filledBytes += copied;
      rest = rest.subarray(copied);
      if (this.#filledBytes === this.#open.length) this.#closeSegment();
    }
  }

  /** Returns all bytes in one buffer, and releases the segments. */
  finish(): Buffer {
    const segments = this.takeParts();
    const [first] = segments;
    return segments.length === 1 && first !== undefined
      ? first
      : Buffer.concat(segments);
  }

  /** Returns all bytes in order, in parts of up to a segment or a chunk. */
  takeParts(): readonly Buffer[] {
    this.#closeSegment();
    return this.#segments.splice(0);
  }

  clear(): void {
    this.#segments.length = 0;
    this.#open = undefined;
    this.#filledBytes = 0;
    this.#heldBytes = 0;
  }

  #openSegment(neededBytes: number): Buffer {
    const size = Math.min(
      SEGMENT_BYTES,
      Math.max(MIN_SEGMENT_BYTES, neededBytes, this.#byteCount),
    );
    this.#heldBytes += size;
    return Buffer.allocUnsafeSlow(size);
  }

  #closeSegment(): void {
    if (this.#open !== undefined && this.#filledBytes > 0) {
      this.#segments.push(this.#open.subarray(0, this.#filledBytes));
    }
    this.#open = undefined;
    this.#filledBytes = 0;
  }
}

function discard(): void {}

/** What a caller may send, and for how long. */
export interface BodyLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  /** How long the caller waits for its answer; absent if it does not say. */
  readonly deadlineMs: number | undefined;
}

/** Measures the target and the headers of a request. */
export function measureHead(request: http.IncomingMessage): budgets.HeadSize {
  const { rawHeaders, url = "" } = request;
  const bytes = rawHeaders.reduce(
    (sum, part) => sum + part.length + 2,
    url.length,
  );
  return { bytes, lines: rawHeaders.length / 2 };
}

/** The error of a request for which others that run leave no memory. */
export function makeOverBudgetError(): RequestReadError {
  return new RequestReadError("overloaded", "too many requests are held");
}

/** As the runtime tells this expectation from others, which it does not know either. */
const CONTINUE_PATTERN = /(?:^|\W)100-continue(?:$|\W)/i;

/** Throws if the head lacks its host or expects what is not known, is too large, or announces too large a body. */
function checkHead(
  request: http.IncomingMessage,
  { headBytes }: budgets.RequestHold,
  limits: BodyLimits,
): void {
  const { host, expect } = request.headers;
  if (request.httpVersion === "1.1") {
    if (host === undefined) {
      throw new RequestReadError("bad-request", "the request names no host");
    }
    if (expect !== undefined && !CONTINUE_PATTERN.test(expect)) {
      throw new RequestReadError("bad-request", "the expectation is unknown");
    }
  }
  if (headBytes > limits.maxHeaderBytes) {
    throw new RequestReadError(
      "headers-too-large",
      "the headers are too large",
    );
  }
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > limits.maxBodyBytes) {
    throw new RequestReadError("body-too-large", "the body is too large");
  }
}

/**
 * Reads the body of a request. Rejects with `RequestReadError` if the request
 * exceeds a limit, takes too long, or must give way to others.
 */
export async function readBody(
  request: http.IncomingMessage,
  hold: budgets.RequestHold,
  limits: BodyLimits & {
    readonly smallChunkBodies: smallChunks.SmallChunkBodies;
    /** Whether no answer to another request is lost if the connection is closed. */
    readonly mayCloseAtOnce: () => boolean;
  },
): Promise<Buffer> {
  checkHead(request, hold, limits);
  const maxDurationMs = Math.min(
    limits.headerTimeoutMs + limits.idleTimeoutMs,
    limits.deadlineMs ?? Infinity,
  );
  return await new Promise<Buffer>((resolve, reject) => {
    const collector = new ByteCollector();
    const chunkCounter = new smallChunks.SmallChunkCounter();
    const { smallChunkBodies } = limits;
    const smallChunkBody = {
      hold,
      giveWay: () => failForSmallChunks(),
    };
    const finish = () => {
      smallChunkBodies.remove(smallChunkBody);
      request.off("data", handleChunk);
      request.off("end", handleEnd);
      request.off("close", handleClose);
    };
    const fail = (
      kind: kernel.ErrorKind,
      message: string,
      options: { readonly mustCloseAtOnce?: boolean } = {},
    ) => {
      finish();
      collector.clear();
      // What still arrives is discarded, not queued, until the connection is closed.
      request.on("data", discard);
      if (options.mustCloseAtOnce === true && limits.mayCloseAtOnce()) {
        request.socket.destroy();
      }
      reject(new RequestReadError(kind, message, options));
    };
    const failForSmallChunks = () =>
      fail("overloaded", "too many bodies in small chunks at once", {
        mustCloseAtOnce: true,
      });
    const handleChunk = (chunk: Buffer) => {
      collector.push(chunk);
      if (collector.byteCount > limits.maxBodyBytes) {
        fail("body-too-large", "the body is too large");
        return;
      }
      hold.recordProgress(chunk.length);
      if (
        chunkCounter.add(chunk.length) &&
        !smallChunkBodies.admit(smallChunkBody, hold.nowMs)
      ) {
        failForSmallChunks();
        return;
      }
      if (collector.heldBytes > hold.bodyBytes) {
        hold.setBodyBytes(collector.heldBytes);
      }
    };
    const handleEnd = () => {
      finish();
      const body = collector.finish();
      hold.begin("running");
      if (hold.setBodyBytes(body.length)) resolve(body);
      else {
        hold.setBodyBytes(0);
        reject(makeOverBudgetError());
      }
    };
    const handleClose = () => {
      finish();
      collector.clear();
      reject(new Error("the connection closed within the body"));
    };
    hold.begin("receiving", {
      maxDurationMs,
      onYield: (reason) =>
        reason === "time-out"
          ? fail("request-timeout", "the body did not arrive in time")
          : fail("overloaded", "the body gave way: too many bytes are held"),
    });
    request.on("data", handleChunk);
    request.once("end", handleEnd);
    request.once("close", handleClose);
    // Chunks that come with the head are then passed on one by one and not queued.
    request.read(0);
  });
}
