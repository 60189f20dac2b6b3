/** Token bucket that limits the bytes a process sends to its peers. */

/** Rate of one process to all its peers: the target for control traffic of one node. */
const BYTES_PER_S = 12_000;
/** IPv4 and UDP headers of a datagram. */
const HEADER_BYTES = 28;
/** Bucket size, as time at the full rate. */
const BURST_MS = 400;
const MS_PER_S = 1_000;

/** Budget of one process; all times are monotonic. */
export class ReportBudget {
  #bytes = 0;
  #refilledAtMs: number;

  constructor(nowMs: number) {
    this.#refilledAtMs = nowMs;
  }

  /** Refills the bucket; returns whether a report may be sent, that is, it is not overdrawn. */
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

  /** Charges a report of `bytes` to each of `peers`; the bucket may be overdrawn. */
  consume(bytes: number, peers: number): void {
    this.#bytes -= (bytes + HEADER_BYTES) * peers;
  }
}
