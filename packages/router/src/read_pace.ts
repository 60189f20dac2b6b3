/**
 * Pace at which one answer is read. Small pieces cost the processor more than their
 * bytes; a replica that sends very many of them is read more slowly, not cut off.
 */

/** Small pieces that are read without a pause. */
const BURST_PIECES = 4_096;
/** Small pieces read each second, far more than an engine generates for one stream. */
const PIECES_PER_S = 2_000;
/** Pieces that a pause is worth at least; each pause costs as much as many of them. */
const PAUSE_PIECES = 400;
const MS_PER_S = 1_000;

/** What one answer may cost at present. */
export class ReadPace {
  #leftPieces = BURST_PIECES;
  #updatedAtMs: number;

  constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Records pieces that were read; returns for how long to pause, in milliseconds. */
  record(pieces: number, nowMs: number): number {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    this.#leftPieces = Math.min(
      BURST_PIECES,
      this.#leftPieces + elapsedMs * PIECES_PER_S / MS_PER_S,
    ) - pieces;
    return this.#leftPieces > -PAUSE_PIECES
      ? 0
      : -this.#leftPieces * MS_PER_S / PIECES_PER_S;
  }
}
