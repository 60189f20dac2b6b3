/**
 * Removals of replicas that may come back: after an outage of the control plane
 * an entry may only have lapsed, and has a while to be written again.
 */
import type * as kernel from "@jackdawbank/kernel";

/** Entries that lapsed in an outage are back within this after its end. */
const REREGISTRATION_PERIOD_MS = 2_000;

/** Holds removals back after an outage. */
export class RemovalDelay {
  readonly #clock: kernel.Clock;
  readonly #pending = new Map<string, NodeJS.Timeout>();
  #recoveredAtMs = -Infinity;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** The control plane answers again after an outage. */
  recordRecovery(): void {
    this.#recoveredAtMs = this.#clock.monotonicMs();
  }

  /** Whether a removal of this id waits. */
  isPending(id: string): boolean {
    return this.#pending.has(id);
  }

  /** Removes at once, or when the time to come back is over. */
  schedule(id: string, remove: () => void): void {
    const sinceRecoveryMs = this.#clock.monotonicMs() - this.#recoveredAtMs;
    if (sinceRecoveryMs >= REREGISTRATION_PERIOD_MS) return remove();
    const timer = setTimeout(() => {
      this.#pending.delete(id);
      remove();
    }, REREGISTRATION_PERIOD_MS - sinceRecoveryMs);
    this.#pending.set(id, timer);
  }

  /** The entry is back. */
  cancel(id: string): void {
    clearTimeout(this.#pending.get(id));
    this.#pending.delete(id);
  }

  close(): void {
    for (const timer of this.#pending.values()) clearTimeout(timer);
    this.#pending.clear();
  }
}
