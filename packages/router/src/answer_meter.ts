/**
 * Compares the bytes that a connection received for an answer with those of the
 * answer's body. The rest frames the body: heads, chunk sizes, trailers.
 */

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

  /** Begins a new answer. */
  begin(): void {
    this.#receivedBytes = 0;
    this.#bodyBytes = 0;
  }

  read(): AnswerBytes {
    return {
      receivedBytes: this.#receivedBytes,
      bodyBytes: this.#bodyBytes,
    };
  }

  receive(bytes: number): void {
    this.#receivedBytes += bytes;
  }

  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }
}
