/** Tracks when the view of the control plane was last confirmed as current. */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";

/** Upper bound for the delivery delay of a peer report. */
const PEER_DELAY_MS = 300;

/** The latest confirmation, on the monotonic and the wall clock. */
export class ViewAge {
  readonly #clock: kernel.Clock;
  #confirmedAt: decisions.ClockReading | undefined;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** Time since the view was confirmed; infinite before the first confirmation. */
  get ageMs(): number {
    return this.#confirmedAt === undefined ? Infinity : decisions.measureAgeMs(
      this.#confirmedAt,
      decisions.readClocks(this.#clock),
    );
  }

  /** Records a confirmation unless a later one is known. */
  confirm(reading: decisions.ClockReading): void {
    const ageMs = decisions.measureAgeMs(
      reading,
      decisions.readClocks(this.#clock),
    );
    if (ageMs < this.ageMs) this.#confirmedAt = reading;
  }

  /** Records a confirmation reported by a peer. */
  confirmFromPeer(confirmedAgeMs: number): void {
    this.confirm(
      decisions.addDuration(
        decisions.readClocks(this.#clock),
        -confirmedAgeMs - PEER_DELAY_MS,
      ),
    );
  }
}
