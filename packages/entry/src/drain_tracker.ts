/** Counts requests in flight, so that a drain ends when the last one has. */
import * as kernel from "@jackdawbank/kernel";

const CHECK_INTERVAL_MS = 20;

/** Tracker of one entry. */
export class DrainTracker {
  readonly #clock: kernel.Clock;
  #openCount = 0;
  #isDraining = false;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  get openCount(): number {
    return this.#openCount;
  }

  open(): void {
    this.#openCount += 1;
  }

  close(): void {
    this.#openCount -= 1;
    kernel.invariant(this.#openCount >= 0, "a request is closed once");
  }

  /** Refuses new requests and waits for those in flight. */
  async drain(timeoutMs: number): Promise<void> {
    this.#isDraining = true;
    const endAtMs = this.#clock.monotonicMs() + timeoutMs;
    while (this.#openCount > 0 && this.#clock.monotonicMs() < endAtMs) {
      await kernel.sleep(CHECK_INTERVAL_MS);
    }
  }
}
