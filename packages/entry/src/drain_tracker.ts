/** Counts requests in flight, so that a drain can wait for them. */
import * as kernel from "@jackdawbank/kernel";

const CHECK_INTERVAL_MS = 20;

export class DrainTracker {
  readonly #clock: kernel.Clock;
  #inFlightCount = 0;
  #isDraining = false;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  get inFlightCount(): number {
    return this.#inFlightCount;
  }

  startRequest(): void {
    this.#inFlightCount += 1;
  }

  endRequest(): void {
    this.#inFlightCount -= 1;
    kernel.invariant(this.#inFlightCount >= 0, "each request ends only once");
  }

  /** Marks the entry as draining and waits for the requests in flight, up to the timeout. */
  async drain(timeoutMs: number): Promise<void> {
    this.#isDraining = true;
    const deadlineAtMs = this.#clock.monotonicMs() + timeoutMs;
    while (
      this.#inFlightCount > 0 && this.#clock.monotonicMs() < deadlineAtMs
    ) {
      await kernel.sleep(CHECK_INTERVAL_MS);
    }
  }
}
