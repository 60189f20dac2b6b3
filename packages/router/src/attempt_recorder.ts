/** Records the ends of attempts: in the log, the replica's health and the evidence on its version. */
import type * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as replicas from "./replica_table.ts";
import type * as requests from "./request.ts";
import type * as rollouts from "./rollout_task.ts";
import type * as sends from "./send.ts";
import type * as telemetry from "./telemetry.ts";

/** Dependencies of the recorder. */
export interface AttemptRecorderOptions {
  readonly clock: kernel.Clock;
  readonly settings: Pick<ports.RouterSettings, "dataCentre">;
  readonly table: replicas.ReplicaTable;
  readonly rollouts: rollouts.RolloutTask;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
}

/** Records the attempts of one process. */
export class AttemptRecorder {
  readonly #options: AttemptRecorderOptions;

  constructor(options: AttemptRecorderOptions) {
    this.#options = options;
  }

  logAttempt(
    request: requests.AdmittedRequest,
    sent: sends.SentAttempt,
    result: {
      readonly outcome: string;
      readonly reason?: string;
      readonly status?: number;
      /** Complete events of a stream. */
      readonly events?: number;
      /** Time from the send to the head of the response. */
      readonly headMs?: number | undefined;
      /** Longest time between two of these events, or between the head and the first. */
      readonly longestGapMs?: number;
    },
  ): void {
    const { log, telemetry, settings } = this.#options;
    telemetry.countAttempt(request.service, result.outcome);
    const isRemote = sent.state.entry.dataCentre !== settings.dataCentre;
    if (isRemote) telemetry.countEvent("attempt.remote");
    const fields = {
      requestId: request.requestId,
      replica: sent.state.entry.id,
      version: sent.state.entry.version,
      tookMs: Math.round(this.#options.clock.monotonicMs() - sent.sentAtMs),
      ...result,
    };
    if (result.outcome === "whole") log.addRoutine("attempt.ended", fields);
    else {
      const promptParts = request.fields.promptParts.map(({ id }) => id);
      log.addNotable("attempt.ended", {
        ...fields,
        ...(promptParts.length === 0 ? {} : { promptParts }),
      });
    }
  }

  /** Records an attempt that its replica did not run. */
  recordNotRun(sent: sends.SentAttempt, reason: string): void {
    const { table } = this.#options;
    const { state } = sent;
    if (sent.attempt.isHeldBack) return;
    const nowMs = this.#options.clock.monotonicMs();
    table.markBusy(state, nowMs);
    if (reason === "misdirected") table.markMisdirected(state, nowMs);
    if (!sent.attempt.isSent) state.health.recordNoAnswer(nowMs);
  }

  /** Records an attempt that ran: updates its replica's health and the evidence on its version. */
  recordRun(
    request: requests.AdmittedRequest,
    sent: sends.SentAttempt,
    run: sends.RunOutcome,
  ): void {
    const nowMs = this.#options.clock.monotonicMs();
    const { entry, key, health, evidence } = sent.state;
    if (run.result === "lost") health.recordNoAnswer(nowMs);
    else if (run.result === "whole" && run.latencyMs !== undefined) {
      health.recordSuccess(nowMs);
    }
    if (run.result !== "whole") evidence.recordFailure(nowMs);
    else if (run.latencyMs !== undefined) evidence.recordSuccess(nowMs);
    // The measured pace would reflect the lag of this process, not the replica.
    if (run.result === "whole" && (run.isLagging || run.isPaceJudged)) return;
    this.#options.rollouts.record({
      service: request.service,
      route: request.route.name,
      version: entry.version,
      replicaKey: key,
      model: run.model,
      result: run.result,
      paceMs: run.result === "whole" ? run.paceMs : undefined,
      sentAtMs: sent.sentAtMs,
      endedAtMs: nowMs,
    });
  }
}
