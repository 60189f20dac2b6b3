/**
 * Splits a stream of server-sent events at event boundaries, so that callers
 * never receive a partial event, and tracks the ID from which to resume.
 */
import * as kernel from "@jackdawbank/kernel";
import * as eventsource from "eventsource-parser";
import type * as faults from "./answer_fault.ts";
import * as bodies from "./body_reader.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Longest event; a stream with a longer one is not a stream of events. */
const MAX_EVENT_BYTES = 1_048_576;

/** Bytes of one or more complete events. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Characters that an ID cannot have, as it is sent back in a header; U+FFFD stands for bytes that are no text. */
// deno-lint-ignore no-control-regex
const INVALID_ID_PATTERN = /[\u0000-\u001f\u007f\ufffd]/;

/** Splits the response stream of one attempt. The cost is linear in the bytes, however they arrive. */
export class EventSplitter {
  readonly #checksIds: boolean;
  readonly #allowance = new kernel.ContentAllowance();
  #partialEvent = new bodies.ByteCollector();
  /** The last two bytes; a blank line may arrive in parts. */
  #lastBytes: readonly [number, number] = [LINE_FEED, LINE_FEED];
  #count = 0;
  #contentBytes = 0;
  #lastEventId: string | undefined;
  #hasInvalidId = false;
  readonly #parser = eventsource.createParser({
    onEvent: (event) => {
      if (this.#hasInvalidId) return;
      const { id } = event;
      const isValid = isValidId(id);
      this.#hasInvalidId = this.#checksIds && !isValid;
      if (this.#hasInvalidId) return;
      this.#count += 1;
      this.#contentBytes += kernel.measureContent(event);
      if (id === undefined || !isValid) return;
      // The value of a header has one character for each byte.
      this.#lastEventId = Buffer.from(id, "utf8").toString("latin1");
    },
  });

  /** With `checksIds`, the stream ends before an event from whose ID it cannot be resumed. */
  constructor(options: { readonly checksIds: boolean }) {
    this.#checksIds = options.checksIds;
  }

  /** ID of the last complete event, as the value of a header. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Number of complete events so far. */
  get count(): number {
    return this.#count;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#hasInvalidId || this.#partialEvent.byteCount > 0;
  }

  /** Why the bytes are no stream of events; absent if they may be one. */
  get fault(): faults.AnswerFault | undefined {
    if (this.#hasInvalidId) return "invalid-id";
    if (this.#partialEvent.byteCount > MAX_EVENT_BYTES) return "long-event";
    return this.#allowance.isExceeded ? "no-content" : undefined;
  }

  /** Adds bytes and returns the events that are now complete. */
  push(chunk: Buffer, nowMs: number): CompleteEvents | undefined {
    if (this.#hasInvalidId) return undefined;
    const end = this.#findLastEventEnd(chunk);
    if (end === 0) {
      this.#partialEvent.push(chunk);
      return undefined;
    }
    const events = chunk.subarray(0, end);
    const bytes = this.#partialEvent.byteCount === 0
      ? events
      : Buffer.concat([...this.#partialEvent.takeParts(), events]);
    this.#partialEvent = new bodies.ByteCollector();
    this.#partialEvent.push(chunk.subarray(end));
    return this.#parse(bytes, nowMs);
  }

  #parse(bytes: Buffer, nowMs: number): CompleteEvents | undefined {
    const before = this.#count;
    this.#contentBytes = 0;
    this.#parser.feed(bytes.toString("utf8"));
    this.#allowance.record(bytes.length, this.#contentBytes, nowMs);
    const count = this.#count - before;
    if (!this.#hasInvalidId) return { bytes, count };
    const end = findInvalidEvent(bytes);
    return end === 0 ? undefined : { bytes: bytes.subarray(0, end), count };
  }

  /** Position after the last blank line that ends in `chunk`; 0 if there is none. */
  #findLastEventEnd(chunk: Buffer): number {
    const [beforeLast, last] = this.#lastBytes;
    const [first, second] = chunk;
    this.#lastBytes = [chunk.at(-2) ?? last, chunk.at(-1) ?? last];
    const end = Math.max(
      findEndOfLast(chunk, "\n\n"),
      findEndOfLast(chunk, "\n\r\n"),
    );
    if (end > 0) return end;
    const isInBlankLine = beforeLast === LINE_FEED && last === CARRIAGE_RETURN;
    if (first === LINE_FEED && (last === LINE_FEED || isInBlankLine)) return 1;
    const startsWithBlankLine = last === LINE_FEED &&
      first === CARRIAGE_RETURN && second === LINE_FEED;
    return startsWithBlankLine ? 2 : 0;
  }
}

function isValidId(id: string | undefined): boolean {
  return id === undefined || !INVALID_ID_PATTERN.test(id);
}

/** Position after the last `pattern`; 0 if there is none. */
function findEndOfLast(data: Buffer, pattern: string): number {
  const index = data.lastIndexOf(pattern, undefined, "latin1");
  return index < 0 ? 0 : index + pattern.length;
}

/** Position of the first event with an invalid ID, among complete events of which one has it. */
function findInvalidEvent(data: Buffer): number {
  let isInvalid = false;
  const parser = eventsource.createParser({
    onEvent: ({ id }) => isInvalid = !isValidId(id),
  });
  // The bytes need not be the first of the stream, of which a byte order mark is dropped.
  parser.feed("\n");
  let start = 0;
  for (;;) {
    const end = findEventEnd(data, start);
    if (end === undefined) return start;
    parser.feed(data.toString("utf8", start, end));
    if (isInvalid) return start;
    start = end;
  }
}

/** Position after the first blank line from `start`, which begins a line. */
function findEventEnd(data: Buffer, start: number): number | undefined {
  let lineStart = start;
  for (;;) {
    const lineEnd = data.indexOf(LINE_FEED, lineStart);
    if (lineEnd < 0) return undefined;
    const isBlank = lineEnd === lineStart ||
      (lineEnd === lineStart + 1 && data[lineStart] === CARRIAGE_RETURN);
    lineStart = lineEnd + 1;
    if (isBlank) return lineStart;
  }
}
