/**
 * Whether a stream is whole whose replicas have not marked its end. A connection that
 * closes between two events ends a stream without length or chunks, but so does a replica
 * that is stopped there. Another replica, asked to go on behind the last event, tells.
 */
import * as streamAttempts from "./stream_attempt.ts";

/** What the attempts of one stream have told of its end. */
export class StreamEnd {
  #mayBeWhole = false;
  #isConfirmed = false;
  #hasFailedToConfirm = false;
  /** The last piece that was received was not a whole event, so that more must follow. */
  #isWithinEvent = false;

  /** A replica ended behind the last event; another one may tell whether that was all. */
  get mayBeWhole(): boolean {
    return this.#mayBeWhole;
  }

  /** Two replicas ended there. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** A replica that was asked for more ran, and told nothing. */
  get hasFailedToConfirm(): boolean {
    return this.#hasFailedToConfirm;
  }

  /** Records an attempt that has ended. */
  record(
    { splitter }: streamAttempts.StreamAttempt,
    result: streamAttempts.StreamAttemptResult,
  ): void {
    if (result.type === "not-run") return;
    const hasEnded = result.type === "unconfirmed";
    if (splitter.count > 0 || splitter.hasPartialEvent) {
      this.#isWithinEvent = splitter.hasPartialEvent;
      this.#mayBeWhole = hasEnded;
      return;
    }
    if (!hasEnded) this.#hasFailedToConfirm = this.#mayBeWhole;
    else if (this.#mayBeWhole) this.#isConfirmed = true;
    else this.#mayBeWhole = !this.#isWithinEvent;
  }
}
