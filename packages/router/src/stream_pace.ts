/**
 * Pace of a stream as evidence on the version that runs it, judged after some events
 * or at its end, whichever is first: slow streams would end last.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as dispatchers from "./dispatcher.ts";
import type * as requests from "./request.ts";
import type * as sends from "./send.ts";

/** Gaps after which the pace is judged while the stream goes on. */
const JUDGED_GAPS = 7;
/** The median is at least as long as the shortest of any so many judged gaps. */
const MAJORITY_GAPS = 4;
/** Growth of the current gap after which the stream is judged again before the next event. */
const MIN_OPEN_GAP_GROWTH = 2;
/** Gaps that suffice at the end of a stream. */
const MIN_GAPS = 3;
/** With more lag of this process in it, a gap says nothing about the replica. */
const MAX_LAG_SHARE = 0.25;

/** Gaps between the first events of one attempt. */
export class StreamPaceTracker {
  readonly #gapsMs: number[] = [];
  #lastEventAtMs: number | undefined;
  /** Total lag of this process at the start of the current gap. */
  #totalLagMs = 0;
  #offeredMinimumMs = 0;
  #isJudged = false;

  /** Whether the pace has been judged. */
  get isJudged(): boolean {
    return this.#isJudged;
  }

  /** Whether the current gap may show that the stream is slow. */
  get isUndecided(): boolean {
    const count = this.#gapsMs.length;
    return !this.#isJudged && count >= MAJORITY_GAPS - 1 && count < JUDGED_GAPS;
  }

  /** Records that events arrived together. `totalLagMs` is that of the watchdog. */
  recordEvents(count: number, nowMs: number, totalLagMs = 0): void {
    if (this.#gapsMs.length >= JUDGED_GAPS) return;
    const gapMs = this.#measureGapMs(nowMs, totalLagMs);
    if (gapMs !== undefined) {
      for (let event = 0; event < count; event += 1) {
        this.#gapsMs.push(gapMs / count);
      }
    }
    this.#lastEventAtMs = nowMs;
    this.#totalLagMs = totalLagMs;
  }

  /** Restarts the current gap after a time in which this process did not read. */
  resume(nowMs: number, totalLagMs = 0): void {
    if (this.#lastEventAtMs === undefined) return;
    this.#lastEventAtMs = nowMs;
    this.#totalLagMs = totalLagMs;
  }

  /** Calls `judge` with the median gap if it is due; it returns whether it could judge. */
  offer(hasEnded: boolean, judge: (medianGapMs: number) => boolean): void {
    const count = this.#gapsMs.length;
    if (this.#isJudged || count < (hasEnded ? MIN_GAPS : JUDGED_GAPS)) return;
    this.#isJudged = judge(
      decisions.findMedian(this.#gapsMs.slice(0, JUDGED_GAPS)),
    );
  }

  /**
   * Calls `judge` with the shortest median gap that is possible after the gaps so far and
   * the current one, at each event and again as the current gap doubles. The slower a
   * stream, the later its last gaps would be known.
   */
  offerMinimum(
    nowMs: number,
    totalLagMs: number,
    judge: (minimumGapMs: number) => boolean,
  ): void {
    if (!this.isUndecided) return;
    const longestFirst = this.#gapsMs.toSorted((a, b) => b - a);
    const openGapMs = this.#measureGapMs(nowMs, totalLagMs) ?? 0;
    const minimumMs = Math.max(
      longestFirst[MAJORITY_GAPS - 1] ?? 0,
      Math.min(longestFirst[MAJORITY_GAPS - 2] ?? 0, openGapMs),
    );
    const minGrowth = minimumMs === openGapMs ? MIN_OPEN_GAP_GROWTH : 1;
    if (minimumMs <= minGrowth * this.#offeredMinimumMs) return;
    this.#offeredMinimumMs = minimumMs;
    this.#isJudged = judge(minimumMs);
  }

  /** Length of the current gap without the lag in it; undefined if that took up too much of it. */
  #measureGapMs(nowMs: number, totalLagMs: number): number | undefined {
    if (this.#lastEventAtMs === undefined) return undefined;
    const gapMs = nowMs - this.#lastEventAtMs;
    const lagMs = totalLagMs - this.#totalLagMs;
    return lagMs > MAX_LAG_SHARE * gapMs ? undefined : gapMs - lagMs;
  }
}

/** Offers the pace of a stream as evidence to the roll-out of its service, if there is one. */
export function offerPace(
  pace: StreamPaceTracker,
  dispatcher: dispatchers.Dispatcher,
  request: requests.AdmittedRequest,
  options: {
    readonly sent: sends.SentAttempt;
    readonly model: string | undefined;
    readonly hasEnded: boolean;
    /** Total lag of this process. */
    readonly totalLagMs: number;
  },
): void {
  const { sent, model, hasEnded, totalLagMs } = options;
  const { entry, key, inFlight } = sent.state;
  const { rollouts, fleet } = dispatcher.dependencies;
  const record = (medianGapMs: number, isMinimum: boolean) =>
    rollouts.recordStream({
      service: request.service,
      version: entry.version,
      route: request.route.name,
      replicaKey: key,
      model,
      pace: { medianGapMs, load: inFlight + fleet.readLoad(key).running },
      isMinimum,
      sentAtMs: sent.sentAtMs,
    });
  pace.offer(hasEnded, (medianGapMs) => record(medianGapMs, false));
  if (hasEnded) return;
  pace.offerMinimum(
    dispatcher.nowMs,
    totalLagMs,
    (minimumGapMs) => record(minimumGapMs, true),
  );
}
