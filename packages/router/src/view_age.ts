/** Until when the view of the control plane was surely current. */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";

/** Delay that a peer's report may have had on its way. */
const PEER_DELAY_MS = 300;

/** The newest confirmed moment, on both clocks. */
export class ViewAge {
  readonly #clock: kernel.Clock;
  #confirmedAt: decisions.ClockReading | undefined;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** Time since the view was surely current. */
  get ageMs(): number {
    return this.#confirmedAt === undefined ? Infinity : decisions.measureAgeMs(
      this.#confirmedAt,
      decisions.readClocks(this.#clock),
    );
  }

  /** Takes a confirmed moment, unless a later one is known. */
  confirm(reading: decisions.ClockReading): void {
    const ageMs = decisions.measureAgeMs(
      reading,
      decisions.readClocks(this.#clock),
    );
    if (ageMs < this.ageMs) this.#confirmedAt = reading;
  }

  /** Takes a moment that a peer's report confirms. */
  confirmFromPeer(confirmedAgeMs: number): void {
    this.confirm(
      decisions.addDuration(
        decisions.readClocks(this.#clock),
        -confirmedAgeMs - PEER_DELAY_MS,
      ),
    );
  }
}
