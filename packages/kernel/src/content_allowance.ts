/**
 * Allowance of a stream of events for bytes that carry no content, such as comments
 * that keep a connection alive. It recovers with time, so that a stream may last
 * however long; a stream that exceeds it is not one of events.
 */

/** Bytes without content that may come at once. */
const BURST_BYTES = 65_536;
/** Bytes without content that may come each second, for as long as the stream lasts. */
const BYTES_PER_S = 4_096;
const MS_PER_S = 1_000;
/** Bytes of an event beside its data. */
const EVENT_FRAME_BYTES = 128;
/** Bytes that a character of data takes at most, with the names of the fields of short lines. */
const MAX_BYTES_PER_CHAR = 8;

/** Bytes that an event with an ID or with data may take; 0 if it has neither. */
export function measureContent(
  { id, data }: { readonly id?: string | undefined; readonly data: string },
): number {
  if (id === undefined && data.length === 0) return 0;
  return EVENT_FRAME_BYTES + MAX_BYTES_PER_CHAR * data.length;
}

/** What one stream has left. */
export class ContentAllowance {
  #leftBytes = BURST_BYTES;
  #updatedAtMs: number | undefined;

  /** Whether the stream has exceeded its allowance. */
  get isExceeded(): boolean {
    return this.#leftBytes < 0;
  }

  /** Records bytes that arrived, of which so many may belong to content. */
  record(bytes: number, contentBytes: number, nowMs: number): void {
    const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs);
    this.#updatedAtMs = nowMs;
    this.#leftBytes = Math.min(
      BURST_BYTES,
      this.#leftBytes + elapsedMs * BYTES_PER_S / MS_PER_S,
    ) - Math.max(0, bytes - contentBytes);
  }
}
