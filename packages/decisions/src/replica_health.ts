/**
 * Passive health check of one replica, from the results of its requests alone.
 * Consecutive requests without an answer eject the replica for a time that
 * doubles with each ejection; a success ends the ejection. Its failure rate and
 * its mean latency count against it in the choice of replicas.
 */

/** Consecutive requests without an answer that eject a replica. */
const FAILURES_TO_EJECT = 2;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/** Weight of the newest request in the failure rate. */
const FAILURE_WEIGHT = 0.1;
/** Weight of the newest answer in the mean latency. */
const LATENCY_WEIGHT = 0.1;

export class ReplicaHealth {
  #consecutiveFailures = 0;
  #ejections = 0;
  #ejectedUntilMs = 0;
  #failureRate = 0;
  #meanLatencyMs: number | undefined;

  /** Recent share of failed requests, from 0 to 1. */
  get failureRate(): number {
    return this.#failureRate;
  }

  /** Mean latency of recent answers: until the headers of a stream, or the end of another answer. */
  get meanLatencyMs(): number | undefined {
    return this.#meanLatencyMs;
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  recordSuccess(latencyMs: number): void {
    this.#consecutiveFailures = 0;
    this.#ejections = 0;
    this.#ejectedUntilMs = 0;
    this.#failureRate *= 1 - FAILURE_WEIGHT;
    this.#meanLatencyMs = this.#meanLatencyMs === undefined
      ? latencyMs
      : this.#meanLatencyMs +
        LATENCY_WEIGHT * (latencyMs - this.#meanLatencyMs);
  }

  /** Records an answer that reports a failure; the replica is alive, so it is not ejected. */
  recordFailedAnswer(): void {
    this.#failureRate += FAILURE_WEIGHT * (1 - this.#failureRate);
  }

  /**
   * Records a request without an answer: the connection was refused or reset, or
   * nothing arrived in time. Returns whether this ejects the replica.
   */
  recordNoAnswer(nowMs: number): boolean {
    this.recordFailedAnswer();
    this.#consecutiveFailures += 1;
    if (
      this.#consecutiveFailures < FAILURES_TO_EJECT || this.isEjected(nowMs)
    ) return false;
    const ejectionMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.#ejections,
    );
    this.#ejections += 1;
    this.#ejectedUntilMs = nowMs + ejectionMs;
    return true;
  }
}
