/** One timer for the time-outs of all attempts, so that each costs no timer of its own. */
import type * as kernel from "@jackdawbank/kernel";

const CHECK_INTERVAL_MS = 25;

/** Calls its watches at short intervals. */
export class Watchdog {
  readonly #clock: kernel.Clock;
  readonly #watches = new Set<(nowMs: number) => void>();
  #timer: NodeJS.Timeout | undefined;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** Adds a watch that also runs when the signal is aborted; returns its end. */
  watch(check: (nowMs: number) => void, signal: AbortSignal): () => void {
    const checkNow = () => check(this.#clock.monotonicMs());
    this.#watches.add(check);
    signal.addEventListener("abort", checkNow, { once: true });
    this.#timer ??= setInterval(() => this.#checkAll(), CHECK_INTERVAL_MS);
    return () => {
      this.#watches.delete(check);
      signal.removeEventListener("abort", checkNow);
      if (this.#watches.size > 0) return;
      clearInterval(this.#timer);
      this.#timer = undefined;
    };
  }

  close(): void {
    this.#watches.clear();
    clearInterval(this.#timer);
  }

  #checkAll(): void {
    const nowMs = this.#clock.monotonicMs();
    for (const check of [...this.#watches]) check(nowMs);
  }
}
