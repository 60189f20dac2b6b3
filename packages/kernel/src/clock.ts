/**
 * Time as an argument. Wall time is for records, monotonic time for
 * deadlines and freshness, since wall time may be set back.
 */

/** Source of time for tasks; tests hand in a manual one. */
export interface Clock {
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
  /** Milliseconds since an arbitrary origin; never goes back. */
  monotonicMs(): number;
}

/** The clock of the machine. */
export class SystemClock implements Clock {
  wallMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
  }
}

/** A clock that tests advance by hand. */
export class ManualClock implements Clock {
  #nowMs: number;

  constructor(startMs = 0) {
    this.#nowMs = startMs;
  }

  wallMs(): number {
    return this.#nowMs;
  }

  monotonicMs(): number {
    return this.#nowMs;
  }

  advance(byMs: number): void {
    this.#nowMs += byMs;
  }
}

/** Resolves after a delay, or at once when the signal is aborted. */
export function sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const end = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", end);
      resolve();
    };
    const timer = setTimeout(end, durationMs);
    signal?.addEventListener("abort", end, { once: true });
  });
}
