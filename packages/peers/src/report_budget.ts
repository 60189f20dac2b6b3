/** Bounds what a process sends to its peers: a token bucket of bytes. */

/** Traffic of one process to all its peers: the product's target for control. */
const BYTES_PER_S = 12_000;
/** Headers of a datagram on the wire. */
const HEADER_BYTES = 28;
/** What may be sent at once after a quiet time, as time at the full rate. */
const BURST_MS = 400;
const MS_PER_S = 1_000;

/** Budget of one process; times are steady milliseconds. */
export class ReportBudget {
  #bytes = 0;
  #refilledAtMs: number;

  constructor(nowMs: number) {
    this.#refilledAtMs = nowMs;
  }

  /** Whether a report may be sent: the debt of those before is paid off. */
  canSend(nowMs: number): boolean {
    const gained = BYTES_PER_S * Math.max(0, nowMs - this.#refilledAtMs) /
      MS_PER_S;
    this.#refilledAtMs = nowMs;
    this.#bytes = Math.min(
      BYTES_PER_S * BURST_MS / MS_PER_S,
      this.#bytes + gained,
    );
    return this.#bytes >= 0;
  }

  /** Takes a report of so many bytes to so many peers. */
  consume(bytes: number, peers: number): void {
    this.#bytes -= (bytes + HEADER_BYTES) * peers;
  }
}
