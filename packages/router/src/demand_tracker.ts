/** Records what replicas demand in their answers: a rate, a pause, or no more requests. */
import type * as kernel from "@jackdawbank/kernel";
import type * as attempts from "./attempt.ts";
import type * as fleets from "./fleet.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";
import * as check from "./response_check.ts";
import type * as sends from "./send.ts";
import type * as telemetry from "./telemetry.ts";

/** Status of a refusal that may ask for a pause. */
const UNAVAILABLE = 503;

/** Dependencies of the tracker. */
export interface DemandTrackerOptions {
  readonly clock: kernel.Clock;
  readonly fleet: fleets.Fleet;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
}

/** Demands that this process hears. */
export class DemandTracker {
  readonly #options: DemandTrackerOptions;

  constructor(options: DemandTrackerOptions) {
    this.#options = options;
  }

  /** Records what a replica demands in the head of its answer to an attempt. */
  record(
    request: requests.AdmittedRequest,
    sent: sends.SentAttempt,
    head: attempts.ResponseHead,
    response: ports.ResponseFields,
  ): void {
    const isOwnAnswer = response.attemptId !== undefined &&
      response.attemptId === request.fields.attemptId;
    if (!isOwnAnswer || head.status === check.MISDIRECTED) return;
    const { clock, fleet, log, telemetry } = this.#options;
    const { entry, key, demands } = sent.state;
    const { rate, isLeaving, pauseMs } = response.demands;
    const nowMs = clock.monotonicMs();
    const hasNewRate = rate !== "unreadable" &&
      fleet.recordRate(key, {
        rate: rate === "none" ? undefined : rate,
        sentAtMs: sent.sentAtMs,
      });
    const hasNewDemand = demands.record({
      rate,
      isLeaving,
      // With other statuses the header speaks of the request, not of the replica.
      pauseMs: head.status === UNAVAILABLE ? pauseMs : undefined,
    }, nowMs);
    if (!hasNewRate && !hasNewDemand) return;
    telemetry.countEvent("replica.demands");
    log.addNotable("replica.demands", {
      replica: entry.id,
      service: entry.service,
      status: head.status,
      requestsPerS: fleet.readRate(key),
      isLeaving: demands.isLeaving,
      pausedMs: Math.max(0, Math.round(demands.pausedUntilMs - nowMs)),
    });
  }
}
