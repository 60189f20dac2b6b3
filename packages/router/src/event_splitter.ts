/**
 * Splits a stream of server-sent events at event boundaries, so that callers
 * never receive a partial event, and tracks the ID from which to resume.
 */
import * as eventsource from "eventsource-parser";
import type * as faults from "./answer_fault.ts";

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

/** Splits the response stream of one attempt. */
export class EventSplitter {
  readonly #checksIds: boolean;
  #partialEvent: Buffer = Buffer.alloc(0);
  #count = 0;
  #lastEventId: string | undefined;
  #hasInvalidId = false;
  readonly #parser = eventsource.createParser({
    onEvent: ({ id }) => {
      const isValid = id === undefined || !INVALID_ID_PATTERN.test(id);
      this.#hasInvalidId = this.#checksIds && !isValid;
      if (this.#hasInvalidId) return;
      this.#count += 1;
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
    return this.#partialEvent.length > 0;
  }

  /** Why the bytes are no stream of events; absent if they may be one. */
  get fault(): faults.AnswerFault | undefined {
    if (this.#hasInvalidId) return "invalid-id";
    return this.#partialEvent.length > MAX_EVENT_BYTES
      ? "long-event"
      : undefined;
  }

  /** Adds bytes and returns the events that are now complete. */
  push(chunk: Buffer): CompleteEvents | undefined {
    if (this.#hasInvalidId) return undefined;
    const data = this.#partialEvent.length === 0
      ? chunk
      : Buffer.concat([this.#partialEvent, chunk]);
    const before = this.#count;
    let end = 0;
    for (;;) {
      const eventEnd = findEventEnd(data, end);
      if (eventEnd === undefined) break;
      this.#parser.feed(data.toString("utf8", end, eventEnd));
      if (this.#hasInvalidId) break;
      end = eventEnd;
    }
    this.#partialEvent = data.subarray(end);
    if (end === 0) return undefined;
    return { bytes: data.subarray(0, end), count: this.#count - before };
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
