/**
 * Passive health check of one replica, from the results of its requests alone.
 * Consecutive requests without an answer eject the replica for a time that
 * doubles with each ejection; a success ends the ejection. The share of requests
 * without an answer counts against it in the choice of replicas, for long.
 */

/** Consecutive requests without an answer that eject a replica. */
const NO_ANSWERS_TO_EJECT = 2;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4_000;
/** Weight of the newest request in the share without an answer. */
const NO_ANSWER_WEIGHT = 0.1;
/**
 * Time constant of its exponential decay. Long, since a replica that is lost for good
 * may stay listed; ejections alone would let it use up the retry budget.
 */
const DECAY_MS = 20_000;

export class ReplicaHealth {
  #consecutiveNoAnswers = 0;
  #ejections = 0;
  #ejectedUntilMs = 0;
  #noAnswerRate = 0;
  #updatedAtMs = -Infinity;

  /** Recent share of requests without an answer, from 0 to 1. */
  readNoAnswerRate(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#updatedAtMs);
    return this.#noAnswerRate * Math.exp(-ageMs / DECAY_MS);
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  recordSuccess(nowMs: number): void {
    this.#consecutiveNoAnswers = 0;
    this.#ejections = 0;
    this.#ejectedUntilMs = 0;
    this.#updateRate(0, nowMs);
  }

  /**
   * Records a request without an answer: the connection was refused or reset, or
   * nothing arrived in time. Returns whether this ejects the replica.
   */
  recordNoAnswer(nowMs: number): boolean {
    this.#updateRate(1, nowMs);
    this.#consecutiveNoAnswers += 1;
    if (
      this.#consecutiveNoAnswers < NO_ANSWERS_TO_EJECT || this.isEjected(nowMs)
    ) return false;
    const ejectionMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.#ejections,
    );
    this.#ejections += 1;
    this.#ejectedUntilMs = nowMs + ejectionMs;
    return true;
  }

  #updateRate(sample: number, nowMs: number): void {
    const rate = this.readNoAnswerRate(nowMs);
    this.#noAnswerRate = rate + NO_ANSWER_WEIGHT * (sample - rate);
    this.#updatedAtMs = nowMs;
  }
}
