/**
 * Predicts what each attempt takes at a replica of usual speed, and records what
 * it took: in the trackers of its service, and as evidence of its replica's speed.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as groups from "./replica_group.ts";
import type * as requests from "./request.ts";

/** What was predicted for an attempt when it was sent. */
export interface SpeedPrediction {
  /** Time at a usual replica: until the first byte of a prompt, else of the whole answer. */
  readonly predictedMs: number;
  readonly speedFactor: number;
  readonly load: decisions.AnswerLoad;
}

/** What an attempt took. */
export interface SpeedResult {
  readonly state: Pick<groups.ReplicaState, "evidence">;
  readonly prediction: SpeedPrediction;
  readonly tookMs: number;
  readonly nowMs: number;
  /** This process itself was short of CPU time, so its measurements may be too high. */
  readonly isLagging: boolean;
}

const IDLE: decisions.AnswerLoad = { inFlight: 0, slots: 1 };

/** What one process has learnt of the answers of each service. */
export class SpeedRecorder {
  readonly #timesByService = new Map<string, decisions.AnswerTimes>();
  readonly #trackerByService = new Map<
    string,
    decisions.EngineLatencyTracker
  >();

  getTracker(service: string): decisions.EngineLatencyTracker {
    const existing = this.#trackerByService.get(service);
    if (existing !== undefined) return existing;
    const tracker = new decisions.EngineLatencyTracker();
    this.#trackerByService.set(service, tracker);
    return tracker;
  }

  /** Predicted time of the answer to a request without a prompt; 0 for a prompt. */
  predictAnswerMs(
    { service, route, fields }: requests.AdmittedRequest,
    load = IDLE,
  ): number {
    if (fields.promptTokens > 0) return 0;
    return this.#findTimes(service).predictMs(route.name, load);
  }

  /** Predicts an attempt with the given prefill before its first byte. */
  predict(
    request: requests.AdmittedRequest,
    attempt: {
      readonly inFlight: number;
      readonly slots: number;
      readonly prefillMs: number;
      readonly speedFactor: number;
    },
  ): SpeedPrediction {
    const { inFlight, slots, prefillMs, speedFactor } = attempt;
    const load = { inFlight, slots };
    return {
      predictedMs: prefillMs + this.predictAnswerMs(request, load),
      speedFactor,
      load,
    };
  }

  /** Records the first byte of the answer to a prompt. */
  recordFirstByte(
    { service, fields }: requests.AdmittedRequest,
    result: SpeedResult & {
      readonly model: string | undefined;
      readonly cachedTokens: number;
    },
  ): void {
    const { model, cachedTokens, prediction, tookMs, nowMs } = result;
    this.getTracker(service).recordFirstByte({
      model,
      uncachedTokens: fields.promptTokens - cachedTokens,
      firstByteMs: tookMs / prediction.speedFactor,
      nowMs,
    });
    this.#recordEvidence(result);
  }

  /** Records the end of a whole answer to a request without a prompt. */
  recordAnswer(
    { service, route, fields }: requests.AdmittedRequest,
    result: SpeedResult,
  ): void {
    const { prediction, tookMs, isLagging } = result;
    if (fields.promptTokens > 0 || isLagging) return;
    this.#recordEvidence(result);
    const usualMs = tookMs / prediction.speedFactor;
    this.#findTimes(service).record(route.name, usualMs, prediction.load);
  }

  #recordEvidence(
    { state, prediction, tookMs, nowMs, isLagging }: SpeedResult,
  ): void {
    if (isLagging) return;
    const { predictedMs, speedFactor } = prediction;
    const sample = { predictedMs, tookMs, factor: speedFactor };
    state.evidence.recordSpeed(sample, nowMs);
  }

  #findTimes(service: string): decisions.AnswerTimes {
    const existing = this.#timesByService.get(service);
    if (existing !== undefined) return existing;
    const times = new decisions.AnswerTimes();
    this.#timesByService.set(service, times);
    return times;
  }
}
