/**
 * Bounds the age of a signal. The runtime tells of a signal in the next turn of its event
 * loop, which comes late if the process is short of processor time or was suspended.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";

const TURN_INTERVAL_MS = 50;
/** A turn that is later than this shows that signals may have waited. */
const LATE_TURN_MS = 30;

/** Records the turns of the event loop. */
export class SignalAge {
  readonly #clock: kernel.Clock;
  readonly #timer: NodeJS.Timeout;
  /** Signals that came before were told of. */
  #handledUntil: decisions.ClockReading;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
    this.#handledUntil = decisions.readClocks(clock);
    this.#timer = setInterval(() => this.#recordTurn(), TURN_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Longest time for which a signal that is told of now may have waited; 0 if that is usual. */
  measureMs(): number {
    const ageMs = decisions.measureAgeMs(
      this.#handledUntil,
      decisions.readClocks(this.#clock),
    );
    return ageMs > TURN_INTERVAL_MS + LATE_TURN_MS ? ageMs : 0;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #recordTurn(): void {
    const turn = decisions.readClocks(this.#clock);
    // Timers run before the signals of their turn, immediates after them.
    setImmediate(() => this.#handledUntil = turn);
  }
}
