/**
 * Supervises the watch of the control plane that is in flight. Its answer may be
 * lost without a sign on the connection; then peers that know a newer revision, or
 * the age of the view, show that it must be sent again.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";

const CHECK_INTERVAL_MS = 50;
/** Longer gaps between two checks show that the process was paused or lagged. */
const MAX_CHECK_GAP_MS = 4 * CHECK_INTERVAL_MS;
/** Longest patience with a watch, after several were interrupted in vain. */
const MAX_PATIENCE_MS = 1_500;

/** Dependencies of the supervisor. */
export interface WatchSupervisorOptions {
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly random: () => number;
  /** Time after which a change must be in force. */
  readonly changeBoundMs: number;
  /** Time since the view was last confirmed as current. */
  readonly readViewAgeMs: () => number;
}

/** Interrupts a watch whose answer seems to be lost. */
export class WatchSupervisor {
  readonly #options: WatchSupervisorOptions;
  /** Newest revision that peers reported, and when they first knew more than this process. */
  #news: { readonly revision: number; readonly atMs: number } | undefined;
  /** Monotonic time at which the newest watch was sent. */
  #watchSentAtMs = -Infinity;
  #patienceMs: number;

  constructor(options: WatchSupervisorOptions) {
    this.#options = options;
    this.#patienceMs = this.#firstPatienceMs;
  }

  /** Records that a peer knows a newer revision than this process. */
  recordNews(revision: number): void {
    this.#news = {
      revision: Math.max(revision, this.#news?.revision ?? 0),
      atMs: this.#news?.atMs ?? this.#options.clock.monotonicMs(),
    };
  }

  /** Records an answer of the control plane: changes up to a revision are in force. */
  recordAnswer(revision: number): void {
    this.#patienceMs = this.#firstPatienceMs;
    const news = this.#news;
    if (news === undefined) return;
    if (revision >= news.revision) {
      const { clock, log } = this.#options;
      log.addNotable("control.caught-up", {
        revision: kernel.describePosition(revision),
        behindMs: Math.round(clock.monotonicMs() - news.atMs),
      });
    }
    // The answer to a watch that was sent after the news includes all that peers knew then.
    const isOutdated = this.#watchSentAtMs > news.atMs;
    if (revision >= news.revision || isOutdated) this.#news = undefined;
  }

  /**
   * Starts to supervise a watch; returns the function that ends this. A watch whose
   * end does not confirm the view is given as one that waits without end.
   */
  supervise(waitMs: number, interruption: AbortController): () => void {
    const { clock, random, log, readViewAgeMs } = this.#options;
    const selfConfirmAgeMs = decisions.chooseSelfConfirmAgeMs(random());
    const sentAtMs = clock.monotonicMs();
    this.#watchSentAtMs = sentAtMs;
    const isShortWatch = waitMs <= decisions.DEFAULT_WATCH_WAIT_MS;
    const interrupt = (reason: string, behindMs?: number) => {
      log.addNotable("control.watch-interrupted", {
        reason,
        viewAgeMs: Math.round(readViewAgeMs()),
        behindMs,
      });
      interruption.abort();
    };
    let checkedAtMs = sentAtMs;
    const timer = setInterval(() => {
      const sinceCheckMs = clock.monotonicMs() - checkedAtMs;
      checkedAtMs = clock.monotonicMs();
      if (interruption.signal.aborted) return;
      // After a pause of this process, the answer may wait in the socket.
      if (sinceCheckMs > MAX_CHECK_GAP_MS) return;
      const behindMs = clock.monotonicMs() -
        Math.max(sentAtMs, this.#news?.atMs ?? Infinity);
      if (behindMs > this.#patienceMs) {
        this.#patienceMs = Math.min(MAX_PATIENCE_MS, 2 * this.#patienceMs);
        interrupt("a peer reports a newer revision", Math.round(behindMs));
      } else if (!isShortWatch && readViewAgeMs() > selfConfirmAgeMs) {
        interrupt("no peer confirmed the view");
      }
    }, CHECK_INTERVAL_MS);
    return () => clearInterval(timer);
  }

  get #firstPatienceMs(): number {
    return decisions.computeWatchPatienceMs(this.#options.changeBoundMs);
  }
}
