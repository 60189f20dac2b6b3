/** Checks the time-outs of all attempts with one shared timer, and detects event loop lag. */
import type * as kernel from "@jackdawbank/kernel";

const CHECK_INTERVAL_MS = 25;
/** A check that is later than this shows that the process is short of CPU time. */
const LAG_THRESHOLD_MS = 30;
/** Time after a late check in which measured latencies may be due to this process. */
const LAG_WINDOW_MS = 1_000;

/** Calls the registered checks at short intervals. */
export class Watchdog {
  readonly #clock: kernel.Clock;
  readonly #onFault: (thrown: unknown) => void;
  readonly #checks = new Set<(nowMs: number) => void>();
  #timer: NodeJS.Timeout | undefined;
  #checkedAtMs: number | undefined;
  #lastLagAtMs = -Infinity;
  #totalLagMs = 0;

  /** `onFault` gets what a check throws; the other checks run all the same. */
  constructor(clock: kernel.Clock, onFault: (thrown: unknown) => void) {
    this.#clock = clock;
    this.#onFault = onFault;
  }

  /** Whether this process itself was recently short of CPU time. */
  get isLagging(): boolean {
    const nowMs = this.#clock.monotonicMs();
    if (this.#measureLagMs(nowMs) > 0) this.#lastLagAtMs = nowMs;
    return nowMs - this.#lastLagAtMs <= LAG_WINDOW_MS;
  }

  /** Time by which checks were late so far, in sum, while attempts were in progress. */
  get totalLagMs(): number {
    return this.#totalLagMs + this.#measureLagMs(this.#clock.monotonicMs());
  }

  /** Registers a check that also runs when the signal is aborted; returns its removal function. */
  watch(check: (nowMs: number) => void, signal: AbortSignal): () => void {
    const checkNow = () => check(this.#clock.monotonicMs());
    this.#checks.add(check);
    signal.addEventListener("abort", checkNow, { once: true });
    // A process that lagged first reads what has arrived: timers run before sockets are read.
    this.#timer ??= setInterval(
      () => setImmediate(() => this.#checkAll()),
      CHECK_INTERVAL_MS,
    );
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

  #run(check: (nowMs: number) => void, nowMs: number): void {
    try {
      check(nowMs);
    } catch (thrown) {
      this.#onFault(thrown);
    }
  }

  /** Time by which the next check is late, or 0 if that is usual. */
  #measureLagMs(nowMs: number): number {
    if (this.#checkedAtMs === undefined) return 0;
    const lateMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS;
    return lateMs > LAG_THRESHOLD_MS ? lateMs : 0;
  }

  #checkAll(): void {
    if (this.#checks.size === 0) return;
    const nowMs = this.#clock.monotonicMs();
    const lagMs = this.#measureLagMs(nowMs);
    if (lagMs > 0) this.#lastLagAtMs = nowMs;
    this.#totalLagMs += lagMs;
    this.#checkedAtMs = nowMs;
    for (const check of [...this.#checks]) this.#run(check, nowMs);
  }
}
