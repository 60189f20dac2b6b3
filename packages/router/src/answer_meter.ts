/**
 * Compares the bytes that a connection received for an answer with those of the
 * answer's body. The rest frames the body: heads, chunk sizes, trailers.
 */

/** Framing of an answer of any size, informational heads included. */
const FREE_BYTES = 65_536;
/** Framing for each byte of the body; only very small chunks have more. */
const MAX_FRAMING_SHARE = 1;

/** Bytes of one answer. */
export interface AnswerBytes {
  readonly receivedBytes: number;
  /** Bytes of them that were the answer's body. */
  readonly bodyBytes: number;
}

/** Bytes of the answers on one connection, one after the other. */
export class AnswerMeter {
  #receivedBytes = 0;
  #bodyBytes = 0;
  #onExcess: () => void = () => {};

  /** Begins a new answer; `onExcess` is called when its framing exceeds the bound. */
  begin(onExcess: () => void): void {
    this.#receivedBytes = 0;
    this.#bodyBytes = 0;
    this.#onExcess = onExcess;
  }

  read(): AnswerBytes {
    return {
      receivedBytes: this.#receivedBytes,
      bodyBytes: this.#bodyBytes,
    };
  }

  /**
   * Records a read, before which `queuedBytes` were not parsed yet; returns false if
   * its bytes must be dropped.
   */
  receive(bytes: number, queuedBytes: number): boolean {
    const framingBytes = this.#receivedBytes - queuedBytes - this.#bodyBytes;
    this.#receivedBytes += bytes;
    const isWithinBound =
      framingBytes <= FREE_BYTES + MAX_FRAMING_SHARE * this.#bodyBytes;
    if (!isWithinBound) this.#onExcess();
    return isWithinBound;
  }

  /** Whether less than half of what was received was body so far. */
  get isMostlyFraming(): boolean {
    return 2 * this.#bodyBytes < this.#receivedBytes;
  }

  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }
}
