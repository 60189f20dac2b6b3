/** Tracks when the view of the control plane was last confirmed as current. */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";

/** Upper bound for the delivery delay of a peer report. */
const PEER_DELAY_MS = 300;

/**
 * The latest confirmation, on the monotonic and the wall clock. Confirmations by
 * the control plane itself are kept apart: only those are told to peers. If what
 * peers told was passed on, the errors of its delays would add up, and processes
 * that are all cut off would confirm each other.
 */
export class ViewAge {
  readonly #clock: kernel.Clock;
  #confirmedAt: decisions.ClockReading | undefined;
  /** Latest confirmation by the control plane itself. */
  #confirmedDirectlyAt: decisions.ClockReading | undefined;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** Time since the view was confirmed; infinite before the first confirmation. */
  get ageMs(): number {
    return this.#measureAgeMs(this.#confirmedAt);
  }

  /** Time since the control plane itself confirmed the view; infinite before it did. */
  get directAgeMs(): number {
    return this.#measureAgeMs(this.#confirmedDirectlyAt);
  }

  /** Records a confirmation by the control plane unless a later one is known. */
  confirm(reading: decisions.ClockReading): void {
    const ageMs = this.#measureAgeMs(reading);
    if (ageMs < this.directAgeMs) this.#confirmedDirectlyAt = reading;
    if (ageMs < this.ageMs) this.#confirmedAt = reading;
  }

  /** Records a confirmation reported by a peer. */
  confirmFromPeer(confirmedAgeMs: number): void {
    const reading = decisions.addDuration(
      decisions.readClocks(this.#clock),
      -confirmedAgeMs - PEER_DELAY_MS,
    );
    if (this.#measureAgeMs(reading) < this.ageMs) this.#confirmedAt = reading;
  }

  #measureAgeMs(reading: decisions.ClockReading | undefined): number {
    return reading === undefined
      ? Infinity
      : decisions.measureAgeMs(reading, decisions.readClocks(this.#clock));
  }
}
