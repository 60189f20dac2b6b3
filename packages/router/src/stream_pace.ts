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
/** Gaps that suffice at the end of a stream. */
const MIN_GAPS = 3;

/** Gaps between the first events of one attempt. */
export class StreamPaceTracker {
  readonly #gapsMs: number[] = [];
  #lastEventAtMs: number | undefined;
  #isJudged = false;

  /** Whether the pace has been judged. */
  get isJudged(): boolean {
    return this.#isJudged;
  }

  /**
   * Records that events arrived together. A gap in which this process lagged says
   * nothing about the replica.
   */
  recordEvents(count: number, nowMs: number, lastLagAtMs = -Infinity): void {
    if (this.#gapsMs.length >= JUDGED_GAPS) return;
    if (
      this.#lastEventAtMs !== undefined && lastLagAtMs <= this.#lastEventAtMs
    ) {
      const gapMs = (nowMs - this.#lastEventAtMs) / count;
      for (let event = 0; event < count; event += 1) this.#gapsMs.push(gapMs);
    }
    this.#lastEventAtMs = nowMs;
  }

  /** Restarts the current gap after a time in which this process did not read. */
  resume(nowMs: number): void {
    if (this.#lastEventAtMs !== undefined) this.#lastEventAtMs = nowMs;
  }

  /** Calls `judge` with the median gap if it is due; it returns whether it could judge. */
  offer(hasEnded: boolean, judge: (medianGapMs: number) => boolean): void {
    const count = this.#gapsMs.length;
    if (this.#isJudged || count < (hasEnded ? MIN_GAPS : JUDGED_GAPS)) return;
    this.#isJudged = judge(
      decisions.findMedian(this.#gapsMs.slice(0, JUDGED_GAPS)),
    );
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
  },
): void {
  const { sent, model, hasEnded } = options;
  const { entry, key, inFlight } = sent.state;
  const { rollouts, fleet } = dispatcher.dependencies;
  pace.offer(hasEnded, (medianGapMs) =>
    rollouts.recordStream({
      service: request.service,
      version: entry.version,
      route: request.route.name,
      replicaKey: key,
      model,
      pace: { medianGapMs, load: inFlight + fleet.readLoad(key).running },
    }));
}
