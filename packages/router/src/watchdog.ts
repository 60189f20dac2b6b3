/** One timer for the time-outs of all attempts, so that each costs no timer of its own. */
import type * as kernel from "@jackdawbank/kernel";

const CHECK_INTERVAL_MS = 25;
/** A check so late tells that this process is short of processor time. */
const LAG_MS = 30;
/** What is measured within this after a late check may be slow because of this process. */
const LAG_MEMORY_MS = 1_000;

/** Calls its watches at short intervals. */
export class Watchdog {
  readonly #clock: kernel.Clock;
  readonly #watches = new Set<(nowMs: number) => void>();
  #timer: NodeJS.Timeout | undefined;
  #checkedAtMs: number | undefined;
  #laggedAtMs = -Infinity;

  constructor(clock: kernel.Clock) {
    this.#clock = clock;
  }

  /** Whether this process was slow itself a moment ago. */
  get isLagging(): boolean {
    const nowMs = this.#clock.monotonicMs();
    this.#noteLag(nowMs);
    return nowMs - this.#laggedAtMs <= LAG_MEMORY_MS;
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
      this.#checkedAtMs = undefined;
    };
  }

  close(): void {
    this.#watches.clear();
    clearInterval(this.#timer);
  }

  #noteLag(nowMs: number): void {
    if (this.#checkedAtMs === undefined) return;
    const lateMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS;
    if (lateMs > LAG_MS) this.#laggedAtMs = nowMs;
  }

  #checkAll(): void {
    const nowMs = this.#clock.monotonicMs();
    this.#noteLag(nowMs);
    this.#checkedAtMs = nowMs;
    for (const check of [...this.#watches]) check(nowMs);
  }
}
