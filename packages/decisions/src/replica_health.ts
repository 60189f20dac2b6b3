/**
 * Passive health of one replica, learnt from its answers alone. Failures in a
 * row take it out for a time that doubles; a success brings it back. The share
 * of failures and the pace of its answers weigh against it in each choice.
 */

/** Failures in a row that take a replica out. */
const EJECT_FAILURES = 2;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/** Weight of the newest answer in the share of failures. */
const FAILURE_WEIGHT = 0.1;
const DELAY_WEIGHT = 0.1;

/** What is learnt of one replica. */
export class ReplicaHealth {
  #failuresInRow = 0;
  #ejections = 0;
  #outUntilMs = 0;
  #failureShare = 0;
  #delayMs: number | undefined;

  get failureRate(): number {
    return this.#failureShare;
  }

  /** Mean time to the first byte of recent answers. */
  get meanFirstByteMs(): number | undefined {
    return this.#delayMs;
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.#outUntilMs;
  }

  recordSuccess(delayMs: number): void {
    this.#failuresInRow = 0;
    this.#ejections = 0;
    this.#outUntilMs = 0;
    this.#failureShare *= 1 - FAILURE_WEIGHT;
    this.#delayMs = this.#delayMs === undefined
      ? delayMs
      : this.#delayMs + DELAY_WEIGHT * (delayMs - this.#delayMs);
  }

  /** An answer that is a failure: the replica lives, but fails requests. */
  recordFailedAnswer(): void {
    this.#failureShare += FAILURE_WEIGHT * (1 - this.#failureShare);
  }

  /** No answer: refused connections, resets, silence. */
  recordNoAnswer(nowMs: number): boolean {
    this.recordFailedAnswer();
    this.#failuresInRow += 1;
    if (
      this.#failuresInRow < EJECT_FAILURES || this.isEjected(nowMs)
    ) return false;
    const outMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.#ejections,
    );
    this.#ejections += 1;
    this.#outUntilMs = nowMs + outMs;
    return true;
  }
}
