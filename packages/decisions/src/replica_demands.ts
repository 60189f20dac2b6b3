/**
 * What a replica demands of its callers in its answers: a rate of requests, a
 * pause, or to be left alone because it is leaving. Demands hold for one
 * incarnation of a replica, whatever its entry in the control plane says.
 */

/** Rate that an answer names for all processes together, in requests per second. */
export type NamedRate = number | "none" | "unreadable";

/** Demands stated in one answer. */
export interface ReplicaDemands {
  readonly rate: NamedRate;
  /** The replica is leaving; it takes no new requests from the receiver. */
  readonly isLeaving: boolean;
  /** Pause that a refusal asks of the receiver; absent if none. */
  readonly pauseMs: number | undefined;
}

/** A longer pause is cut to this one. */
const MAX_PAUSE_MS = 3_600_000;

/** Whether one incarnation takes requests of this process, by what it was told. */
export class ReplicaDemandState {
  #isLeaving = false;
  #pausedUntilMs = -Infinity;

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  get pausedUntilMs(): number {
    return this.#pausedUntilMs;
  }

  /** Records the demands of an answer; returns whether they changed. */
  record({ isLeaving, pauseMs }: ReplicaDemands, nowMs: number): boolean {
    const wasLeaving = this.#isLeaving;
    const previousUntilMs = this.#pausedUntilMs;
    this.#isLeaving ||= isLeaving;
    if (pauseMs !== undefined) {
      const untilMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
      this.#pausedUntilMs = Math.max(previousUntilMs, untilMs);
    }
    return this.#isLeaving !== wasLeaving ||
      this.#pausedUntilMs !== previousUntilMs;
  }
}
