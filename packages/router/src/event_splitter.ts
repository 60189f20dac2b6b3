/**
 * Cuts a stream of server-sent events into whole events, so that a caller
 * never sees part of one, and keeps the id to go on from.
 */
import * as eventsource from "eventsource-parser";

const LINE_FEED = 0x0a;

/** Whole events with the id of the last one. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Splitter of one attempt's stream. */
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

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Events so far. */
  get count(): number {
    return this.#count;
  }

  /** Bytes of an event that has not ended are held back. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /** Takes bytes and returns the whole events among them. */
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

/** Position after the last blank line: events end there. */
function findLastEventEnd(data: Buffer): number {
  for (let index = data.length - 1; index > 0; index -= 1) {
    if (data[index] !== LINE_FEED) continue;
    const isBlank = data[index - 1] === LINE_FEED ||
      (index > 1 && data[index - 1] === 0x0d && data[index - 2] === LINE_FEED);
    if (isBlank) return index + 1;
  }
  return 0;
}
