/** Records attempts and their ends: in the log, the replica's health and the evidence on its version. */
import type * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as control from "./control_task.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as groups from "./replica_group.ts";
import * as identities from "./request_identity.ts";
import type * as replicas from "./replica_table.ts";
import type * as requests from "./request.ts";
import type * as rollouts from "./rollout_task.ts";
import type * as sends from "./send.ts";
import type * as speeds from "./speed_recorder.ts";
import type * as telemetry from "./telemetry.ts";

/** Dependencies of the recorder. */
export interface AttemptRecorderOptions {
  readonly clock: kernel.Clock;
  readonly settings: Pick<ports.RouterSettings, "dataCentre">;
  readonly table: replicas.ReplicaTable;
  readonly rollouts: rollouts.RolloutTask;
  readonly control: Pick<control.ControlTask, "routeIndex" | "viewAgeMs">;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
}

/** Records the attempts of one process. */
export class AttemptRecorder {
  readonly #options: AttemptRecorderOptions;

  constructor(options: AttemptRecorderOptions) {
    this.#options = options;
  }

  /** Logs a request that is sent now, with what decided its replica. */
  logSent(
    { requestId, route, account, fields }: requests.AdmittedRequest,
    sent: {
      readonly pick: groups.PickedReplica;
      readonly model: string | undefined;
      readonly earlierSends: number;
      readonly rolloutTarget: string | undefined;
      readonly peerLoad: decisions.ReplicaLoadState;
      readonly prefillMs: number;
      readonly prediction: speeds.SpeedPrediction;
      readonly heldTokens: number;
      readonly memoryShare: number;
      readonly leftMs: number;
    },
  ): void {
    const { log, control } = this.#options;
    const { state, candidates, cachedTokens } = sent.pick;
    log.addRoutine("attempt.sent", {
      requestId,
      route: route.name,
      account: account?.name,
      replica: state.entry.id,
      dataCentre: state.entry.dataCentre,
      version: state.entry.version,
      model: sent.model,
      earlierSends: sent.earlierSends,
      promptTokens: fields.promptTokens,
      candidates,
      cachedTokens,
      inFlight: state.inFlight,
      prefillMs: Math.round(sent.prefillMs),
      pendingMs: Math.round(state.pendingMs),
      peerPendingMs: Math.round(sent.peerLoad.pendingMs),
      peerRunning: sent.peerLoad.running,
      predictedMs: Math.round(sent.prediction.predictedMs),
      speedFactor: Number(sent.prediction.speedFactor.toFixed(2)),
      heldTokens: Math.round(sent.heldTokens),
      memoryShare: Number(sent.memoryShare.toFixed(2)),
      session: fields.session,
      rolloutTarget: sent.rolloutTarget,
      tableRevision: control.routeIndex?.table.revision,
      viewAgeMs: Math.round(control.viewAgeMs),
      leftMs: Math.round(sent.leftMs),
    });
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
      /** Whether a length or chunks mark the end of the response. */
      readonly isFramed?: boolean | undefined;
    },
  ): void {
    const { log, telemetry, settings } = this.#options;
    telemetry.countAttempt(request.service, result.outcome);
    const { fault, answerBytes } = sent.attempt;
    if (fault !== undefined) telemetry.countFault(request.service, fault);
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
        ...(result.outcome === "lost"
          ? { sameRequest: identities.identifyRequest(request) }
          : {}),
        ...answerBytes,
        ...(fault === undefined ? {} : { fault }),
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
