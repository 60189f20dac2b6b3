/**
 * Supervises the watch of the control plane that is in flight. Its answer may be
 * lost without a sign on the connection; then peers that know a newer revision, or
 * the age of the view, show that it must be sent again.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";

const CHECK_INTERVAL_MS = 100;
/** Time for which peers may report newer revisions before the watch is considered dead. */
const MAX_BEHIND_MS = 1_500;

/** Dependencies of the supervisor. */
export interface WatchSupervisorOptions {
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly random: () => number;
  /** Time since the view was last confirmed as current. */
  readonly readViewAgeMs: () => number;
}

/** Interrupts a watch whose answer seems to be lost. */
export class WatchSupervisor {
  readonly #options: WatchSupervisorOptions;
  #interrupt: ((reason: string) => void) | undefined;
  #behindSinceMs: number | undefined;
  /** Newest revision that peers reported, and when they first knew more than this process. */
  #news: { readonly revision: number; readonly atMs: number } | undefined;

  constructor(options: WatchSupervisorOptions) {
    this.#options = options;
  }

  /** Records that a peer knows a newer revision than this process. */
  recordNews(revision: number): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#news = {
      revision: Math.max(revision, this.#news?.revision ?? 0),
      atMs: this.#news?.atMs ?? nowMs,
    };
    this.#behindSinceMs ??= nowMs;
    if (nowMs - this.#behindSinceMs <= MAX_BEHIND_MS) return;
    this.#behindSinceMs = undefined;
    this.#interrupt?.("a peer reports a newer revision");
  }

  /** Records that changes up to a revision are in force. */
  recordCaughtUp(revision: number): void {
    this.#behindSinceMs = undefined;
    if (this.#news === undefined || revision < this.#news.revision) return;
    this.#options.log.addNotable("control.caught-up", {
      revision,
      behindMs: Math.round(this.#options.clock.monotonicMs() - this.#news.atMs),
    });
    this.#news = undefined;
  }

  /** Starts to supervise a watch; returns the function that ends this. */
  supervise(waitMs: number, interruption: AbortController): () => void {
    const { random, log, readViewAgeMs } = this.#options;
    const selfConfirmAgeMs = decisions.chooseSelfConfirmAgeMs(random());
    const interrupt = (reason: string) => {
      if (interruption.signal.aborted) return;
      log.addNotable("control.watch-interrupted", {
        reason,
        viewAgeMs: Math.round(readViewAgeMs()),
      });
      interruption.abort();
    };
    this.#interrupt = interrupt;
    const isShortWatch = waitMs <= decisions.DEFAULT_WATCH_WAIT_MS;
    const timer = setInterval(() => {
      if (!isShortWatch && readViewAgeMs() > selfConfirmAgeMs) {
        interrupt("no peer confirmed the view");
      }
    }, CHECK_INTERVAL_MS);
    return () => {
      clearInterval(timer);
      this.#interrupt = undefined;
    };
  }
}
