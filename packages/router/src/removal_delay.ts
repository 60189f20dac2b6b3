/**
 * Delays the removal of replicas after an outage of the control plane: their
 * leases may have expired in the outage, and live replicas register again soon.
 */
import type * as kernel from "@jackdawbank/kernel";

/** Time after an outage in which replicas with expired entries register again. */
export const REREGISTRATION_PERIOD_MS = 2_000;

/** Delays removals after an outage. */
export class RemovalDelay {
  readonly #clock: kernel.Clock;
  readonly #pending = new Map<string, NodeJS.Timeout>();
  #recoveredAtMs = -Infinity;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** Records that the control plane is reachable again after an outage. */
  recordRecovery(): void {
    this.#recoveredAtMs = this.#clock.monotonicMs();
  }

  get pendingCount(): number {
    return this.#pending.size;
  }

  /** Whether a delayed removal of this ID is pending. */
  isPending(id: string): boolean {
    return this.#pending.has(id);
  }

  /** Removes at once, or after an outage when the re-registration period ends. */
  schedule(id: string, remove: () => void): void {
    const sinceRecoveryMs = this.#clock.monotonicMs() - this.#recoveredAtMs;
    if (sinceRecoveryMs >= REREGISTRATION_PERIOD_MS) return remove();
    const timer = setTimeout(() => {
      this.#pending.delete(id);
      remove();
    }, REREGISTRATION_PERIOD_MS - sinceRecoveryMs);
    this.#pending.set(id, timer);
  }

  /** Cancels the removal of a replica that registered again. */
  cancel(id: string): void {
    clearTimeout(this.#pending.get(id));
    this.#pending.delete(id);
  }

  close(): void {
    for (const timer of this.#pending.values()) clearTimeout(timer);
    this.#pending.clear();
  }
}
