/**
 * Injectable clocks. Wall time is for records; deadlines and ages use monotonic
 * time, since wall time may be set back.
 */

/** Source of time; tests pass a `ManualClock`. */
export interface Clock {
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
  /** Milliseconds since an arbitrary origin; never decreases. */
  monotonicMs(): number;
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
  wallMs(): number {
    return Date.now();
  }

  monotonicMs(): number {
    return performance.now();
  }
}

/** Clock for tests that changes only by `advance`. */
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

/** Resolves after a delay, or as soon as the signal is aborted. */
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
