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

/** Demands of one incarnation, as far as this process has heard them. */
export class ReplicaDemandState {
  #rate: number | undefined;
  #rateHeardAtMs = -Infinity;
  #isLeaving = false;
  #pausedUntilMs = -Infinity;

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  get pausedUntilMs(): number {
    return this.#pausedUntilMs;
  }

  /** Requests per second that the replica takes; absent without a limit. */
  get rate(): number | undefined {
    return this.#rate;
  }

  /**
   * Records the demands of an answer to a request sent at `sentAtMs`; returns
   * whether they changed. Only an answer to a request that was sent after the rate
   * was heard ends it, since answers overtake each other.
   */
  record(
    demands: ReplicaDemands,
    { sentAtMs, nowMs }: { readonly sentAtMs: number; readonly nowMs: number },
  ): boolean {
    const { rate, isLeaving, pauseMs } = demands;
    let isChanged = isLeaving && !this.#isLeaving;
    this.#isLeaving ||= isLeaving;
    if (pauseMs !== undefined) {
      const untilMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
      isChanged ||= untilMs > this.#pausedUntilMs;
      this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
    }
    if (typeof rate === "number") {
      isChanged ||= rate !== this.#rate;
      this.#rate = rate;
      this.#rateHeardAtMs = nowMs;
    } else if (
      rate === "none" && this.#rate !== undefined &&
      sentAtMs > this.#rateHeardAtMs
    ) {
      isChanged = true;
      this.#rate = undefined;
    }
    return isChanged;
  }
}
