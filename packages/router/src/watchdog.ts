/** One timer for the time-outs of all attempts, so that each costs no timer of its own. */
import type * as kernel from "@jackdawbank/kernel";

const CHECK_INTERVAL_MS = 25;
/** A check so late tells that this process is short of processor time. */
const LAG_THRESHOLD_MS = 30;
/** What is measured within this after a late check may be slow because of this process. */
const LAG_WINDOW_MS = 1_000;

/** Calls its watches at short intervals. */
export class Watchdog {
  readonly #clock: kernel.Clock;
  readonly #checks = new Set<(nowMs: number) => void>();
  #timer: NodeJS.Timeout | undefined;
  #checkedAtMs: number | undefined;
  #lastLagAtMs = -Infinity;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** Whether this process was slow itself a moment ago. */
  get isLagging(): boolean {
    const nowMs = this.#clock.monotonicMs();
    this.#detectLag(nowMs);
    return nowMs - this.#lastLagAtMs <= LAG_WINDOW_MS;
  }

  /** Adds a watch that also runs when the signal is aborted; returns its end. */
  watch(check: (nowMs: number) => void, signal: AbortSignal): () => void {
    const checkNow = () => check(this.#clock.monotonicMs());
    this.#checks.add(check);
    signal.addEventListener("abort", checkNow, { once: true });
    this.#timer ??= setInterval(() => this.#checkAll(), CHECK_INTERVAL_MS);
    return () => {
      this.#checks.delete(check);
      signal.removeEventListener("abort", checkNow);
      if (this.#checks.size > 0) return;
      clearInterval(this.#timer);
      this.#timer = undefined;
      this.#checkedAtMs = undefined;
    };
  }

  close(): void {
    this.#checks.clear();
    clearInterval(this.#timer);
  }

  #detectLag(nowMs: number): void {
    if (this.#checkedAtMs === undefined) return;
    const lateMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS;
    if (lateMs > LAG_THRESHOLD_MS) this.#lastLagAtMs = nowMs;
  }

  #checkAll(): void {
    const nowMs = this.#clock.monotonicMs();
    this.#detectLag(nowMs);
    this.#checkedAtMs = nowMs;
    for (const check of [...this.#checks]) check(nowMs);
  }
}
