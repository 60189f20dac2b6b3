/**
 * Splits a stream of server-sent events at event boundaries, so that callers
 * never receive a partial event, and tracks the ID from which to resume.
 */
import * as eventsource from "eventsource-parser";

const LINE_FEED = 0x0a;
/** Longest event; a stream with a longer one is not a stream of events. */
const MAX_EVENT_BYTES = 1_048_576;

/** Bytes of one or more complete events. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Splits the response stream of one attempt. */
export class EventSplitter {
  #partialEvent: Buffer = Buffer.alloc(0);
  #count = 0;
  #lastEventId: string | undefined;
  readonly #parser = eventsource.createParser({
    onEvent: (event) => {
      this.#count += 1;
      if (event.id !== undefined) this.#lastEventId = event.id;
    },
  });

  /** ID of the last complete event. */
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

  /** Whether the incomplete event is longer than any valid one. */
  get isEventTooLong(): boolean {
    return this.#partialEvent.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes and returns the events that are now complete. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const data = this.#partialEvent.length === 0
      ? chunk
      : Buffer.concat([this.#partialEvent, chunk]);
    const end = findLastEventEnd(data);
    this.#partialEvent = data.subarray(end);
    if (end === 0) return undefined;
    const bytes = data.subarray(0, end);
    const before = this.#count;
    this.#parser.feed(bytes.toString("utf8"));
    return { bytes, count: this.#count - before };
  }
}

/** Position after the last blank line, which ends an event. */
function findLastEventEnd(data: Buffer): number {
  for (let index = data.length - 1; index > 0; index -= 1) {
    if (data[index] !== LINE_FEED) continue;
    const isBlank = data[index - 1] === LINE_FEED ||
      (index > 1 && data[index - 1] === 0x0d && data[index - 2] === LINE_FEED);
    if (isBlank) return index + 1;
  }
  return 0;
}
