/** Whether a larger model is asked, once the head of a stream shows the smaller one's confidence. */
import * as decisions from "@jackdawbank/decisions";
import type * as dispatchers from "./dispatcher.ts";
import * as priorities from "./engine_priority.ts";
import * as groups from "./replica_group.ts";
import type * as requests from "./request.ts";

/** Share of the retry budget that escalations may use; the rest is kept for failures. */
const ESCALATION_BUDGET_SHARE = 0.6;

/** State of the exchange that the choice depends on. */
export interface EscalationInput {
  readonly replicaId: string;
  /** Model whose answer has begun. */
  readonly model: string | undefined;
  /** The model's confidence in its own answer, 0 to 100. */
  readonly confidence: number | undefined;
  /** Shortage of engine capacity; see `Dispatcher.measurePressure`. */
  readonly pressure: number;
  /** Attempts that replicas ran before. */
  readonly runCount: number;
  /** The caller has received a part of the answer. */
  readonly isAnswerStarted: boolean;
}

/** Chooses and logs the model to ask instead; `undefined` keeps the answer. */
export function judgeAnswer(
  dispatcher: dispatchers.Dispatcher,
  request: requests.AdmittedRequest,
  input: EscalationInput,
): string | undefined {
  const model = chooseEscalationModel(dispatcher, request, input);
  dispatcher.dependencies.log.addRoutine("answer.judged", {
    requestId: request.requestId,
    replica: input.replicaId,
    model: input.model,
    confidence: input.confidence,
    pressure: Number(input.pressure.toFixed(2)),
    escalatesTo: model,
  });
  return model;
}

/**
 * Whether the request may be sent anywhere now: its data centres may all be evacuated,
 * and a process that stops soon has no time for another attempt.
 */
function hasOpenReplica(
  { dependencies, nowMs }: dispatchers.Dispatcher,
  request: requests.AdmittedRequest,
): boolean {
  const { table, places, shutdown } = dependencies;
  if (!shutdown.canSend(nowMs, request.deadlineAtMs)) return false;
  const limits = places.findLimits(request, nowMs);
  return table.listActive(request.service).some((state) =>
    groups.isAtHome(state, limits)
  );
}

function chooseEscalationModel(
  dispatcher: dispatchers.Dispatcher,
  request: requests.AdmittedRequest,
  input: EscalationInput,
): string | undefined {
  const { route, fields, service } = request;
  const { nowMs } = dispatcher;
  const latencyTracker = dispatcher.speeds.getTracker(service);
  const predictedMs = nowMs - request.receivedAtMs +
    latencyTracker.predictFirstByteMs(
      route.candidateModels.at(-1),
      fields.promptTokens,
      nowMs,
    );
  const canChangeModel = !input.isAnswerStarted &&
    fields.lastEventId === undefined && fields.model === undefined;
  return decisions.chooseEscalation({
    sizes: route.candidateModels,
    model: input.model,
    confidence: input.confidence,
    priority: priorities.getPriority(request),
    canResend: canChangeModel && route.isResumable &&
      input.runCount + 1 < route.maxAttempts &&
      hasOpenReplica(dispatcher, request) &&
      dispatcher.canRetry(service, ESCALATION_BUDGET_SHARE),
    pressure: input.pressure,
    predictedLatencyRatio: predictedMs / route.targetLatencyMs,
  });
}
