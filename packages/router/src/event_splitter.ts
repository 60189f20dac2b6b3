/**
 * Cuts a stream of server-sent events into whole events, so that a caller
 * never sees part of one, and keeps the id to go on from.
 */
import * as eventsource from "eventsource-parser";

const LINE_FEED = 0x0a;

/** Whole events with the id of the last one. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Splitter of one attempt's stream. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);
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
    return this.#rest.length > 0;
  }

  /** Takes bytes and returns the whole events among them. */
  push(chunk: Buffer): WholeEvents | undefined {
    const data = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = findEventsEnd(data);
    this.#rest = data.subarray(end);
    if (end === 0) return undefined;
    const bytes = data.subarray(0, end);
    const before = this.#count;
    this.#parser.feed(bytes.toString("utf8"));
    return { bytes, count: this.#count - before };
  }
}

/** Position after the last blank line: events end there. */
function findEventsEnd(data: Buffer): number {
  for (let at = data.length - 1; at > 0; at -= 1) {
    if (data[at] !== LINE_FEED) continue;
    const isBlank = data[at - 1] === LINE_FEED ||
      (at > 1 && data[at - 1] === 0x0d && data[at - 2] === LINE_FEED);
    if (isBlank) return at + 1;
  }
  return 0;
}
