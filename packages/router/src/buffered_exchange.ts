/**
 * Exchange whose response is read completely before any of it is forwarded. A
 * non-idempotent request is only retried if it was provably not run.
 */
import * as kernel from "@jackdawbank/kernel";
import * as bodies from "./body_reader.ts";
import * as check from "./response_check.ts";
import type * as attempts from "./attempt.ts";
import type * as admissions from "./admission.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as sends from "./send.ts";
import type * as requests from "./request.ts";
import type * as watchdogs from "./watchdog.ts";

/** Response time-out of idempotent requests, in multiples of the route's target latency. */
const RESPONSE_TIMEOUT_FACTOR = 2;
/** Share of the target latency that must remain before the deadline for a retry. */
const MIN_RETRY_SHARE = 0.3;
/** Attempts beyond the route's limit, after earlier ones were provably not run. */
const MAX_ATTEMPTS_BEYOND_LIMIT = 2;
/** A longer response is given up, because it is kept in memory until it is complete. */
const MAX_RESPONSE_BYTES = 8 * 1_048_576;
const OVERLOADED_RETRY_AFTER_MS = 200;
const DEADLINE_RETRY_AFTER_MS = 300;

/** A response of a replica. */
interface Answer {
  readonly type: "answered";
  readonly head: attempts.ResponseHead;
  readonly bodyParts: readonly Buffer[];
}

/** Result of one attempt. */
type AttemptResult = Answer | check.NoResponseResult;

/** Exchange of one request with a buffered response. */
export class BufferedExchange {
  readonly #dispatcher: dispatchers.Dispatcher;
  readonly #watchdog: watchdogs.Watchdog;
  readonly #request: requests.AdmittedRequest;
  readonly #writer: requests.CallerResponseWriter;
  readonly #triedReplicaIds = new Set<string>();
  readonly #refusedBy = new Set<string>();
  #sendCount = 0;
  #runCount = 0;
  /** Best answer so far, forwarded unless another replica has a better one. */
  #kept: Answer | undefined;

  constructor(
    dispatcher: dispatchers.Dispatcher,
    watchdog: watchdogs.Watchdog,
    request: requests.AdmittedRequest,
    writer: requests.CallerResponseWriter,
  ) {
    this.#dispatcher = dispatcher;
    this.#watchdog = watchdog;
    this.#request = request;
    this.#writer = writer;
  }

  async run(): Promise<requests.RequestOutcome> {
    const request = this.#request;
    const { route } = request;
    let last: AttemptResult | undefined;
    for (;;) {
      const tried = await this.#runAttempt();
      if (tried.type === "refused") {
        return request.signal.aborted
          ? { outcome: "caller-gone" }
          : this.#refuse(tried.refusal, last);
      }
      last = tried.result;
      if (request.signal.aborted) return { outcome: "caller-gone" };
      if (last.type === "answered") {
        if (!this.#shouldRetryResponse(last)) {
          return this.#forwardResponse(last);
        }
        this.#keep(last);
      }
      if (!this.#canRetry(last)) return this.#fail(last, route.kind);
    }
  }

  #keep(answer: Answer): void {
    const isFailure = check.isServerError(answer.head.status);
    if (!(isFailure && this.#hasSuccess)) this.#kept = answer;
  }

  /** Whether there is an answer already that is no failure. */
  get #hasSuccess(): boolean {
    return this.#kept !== undefined &&
      !check.isServerError(this.#kept.head.status);
  }

  get #keptBytes(): number {
    return (this.#kept?.bodyParts ?? []).reduce(
      (sum, part) => sum + part.length,
      0,
    );
  }

  #shouldRetryResponse(result: Answer): boolean {
    return this.#request.route.kind === "idempotent" &&
      (check.isServerError(result.head.status) ||
        !result.head.isFramed);
  }

  #canRetry(result: AttemptResult): boolean {
    const { route, deadlineAtMs, service } = this.#request;
    const remainingMs = deadlineAtMs - this.#dispatcher.nowMs;
    if (remainingMs < MIN_RETRY_SHARE * route.targetLatencyMs) return false;
    if (!this.#dispatcher.canRetry(service)) return false;
    if (result.type === "not-run") {
      return this.#sendCount < route.maxAttempts + MAX_ATTEMPTS_BEYOND_LIMIT;
    }
    return route.kind === "idempotent" &&
      this.#runCount < route.maxAttempts;
  }

  async #runAttempt(): Promise<
    | { readonly type: "attempted"; readonly result: AttemptResult }
    | { readonly type: "refused"; readonly refusal: admissions.Refusal }
  > {
    const request = this.#request;
    const dispatcher = this.#dispatcher;
    const options = {
      model: request.fields.model,
      lastEventId: request.fields.lastEventId,
      excluded: this.#triedReplicaIds,
      refusedBy: this.#refusedBy,
      earlierSends: this.#sendCount,
      hasRun: this.#runCount > 0,
    };
    const preparation = await dispatcher.prepare(request, options);
    const outcome = await new Promise<
      | {
        sent: sends.SentAttempt;
        result: AttemptResult;
        wasBrokenOff: boolean;
      }
      | admissions.Refusal
    >((resolve) => {
      let head: attempts.ResponseHead | undefined;
      let verdict: check.HeadVerdict | undefined;
      const collector = new bodies.ByteCollector();
      const sendResult = dispatcher.send(request, {
        ...options,
        ...preparation,
      }, {
        onHead: (received) => {
          head = received;
          const { codec } = dispatcher.dependencies;
          const response = codec.decodeResponse(received.headers);
          verdict = check.classifyHead(request, received, response);
          if (sent !== undefined) {
            dispatcher.demands.record(request, sent, received, response);
          }
          recordActivity();
          // Further data on the connection may belong to another request.
          if (verdict === "mismatched" || verdict === "unusable") {
            sent?.attempt.cancel(`response rejected as ${verdict}`);
          }
        },
        onData: (chunk) => {
          recordActivity();
          collector.push(chunk);
          if (collector.byteCount > MAX_RESPONSE_BYTES) {
            sent?.attempt.giveUp("long-body");
          } else if (
            !this.#writer.reserve(this.#keptBytes + collector.heldBytes)
          ) {
            sent?.attempt.cancel("too many bytes are held for callers");
          }
        },
        onEnd: (end) => {
          stopWatching?.();
          if (sent === undefined) return;
          const result = buildResult(end, verdict, head, collector);
          if (result.type !== "answered") {
            this.#writer.reserve(this.#keptBytes);
          }
          const wasBrokenOff = end.type === "lost" && !end.isGivenUp &&
            head === undefined;
          resolve({ sent, result, wasBrokenOff });
        },
      });
      if (sendResult.isErr()) {
        resolve(sendResult.error);
        return;
      }
      const sent = sendResult.value;
      const recordActivity = () => {
        sent.state.lastByteAtMs = dispatcher.nowMs;
      };
      const stopWatching = this.#watchAttempt(sent);
    });
    if ("error" in outcome) return { type: "refused", refusal: outcome };
    this.#recordResult(outcome.sent, outcome.result);
    this.#recordEvidence(outcome);
    return { type: "attempted", result: outcome.result };
  }

  /** Cancels the attempt on a time-out, at the deadline, or when the caller disconnects. */
  #watchAttempt(sent: sends.SentAttempt): () => void {
    const { route, signal } = this.#request;
    const isIdempotent = route.kind === "idempotent";
    const responseTimeoutAtMs = sent.sentAtMs +
      RESPONSE_TIMEOUT_FACTOR * route.targetLatencyMs;
    const hasRunsLeft = isIdempotent && this.#runCount + 1 < route.maxAttempts;
    return this.#watchdog.watch((nowMs) => {
      if (signal.aborted) return sent.attempt.cancel("the caller disconnected");
      const expiry = this.#dispatcher.findExpiry(this.#request, nowMs);
      if (expiry !== undefined) return sent.attempt.cancel(expiry);
      if (nowMs < responseTimeoutAtMs) return;
      if (this.#hasSuccess) {
        return sent.attempt.cancel("no better response within the time-out");
      }
      if (!hasRunsLeft) return;
      const excluded = new Set([...this.#triedReplicaIds, sent.state.entry.id]);
      if (this.#dispatcher.canReroute(this.#request, excluded)) {
        sent.attempt.cancel("no response within the time-out");
      }
    }, signal);
  }

  #recordResult(sent: sends.SentAttempt, result: AttemptResult): void {
    const dispatcher = this.#dispatcher;
    const { state } = sent;
    this.#sendCount += 1;
    this.#triedReplicaIds.add(state.entry.id);
    dispatcher.dependencies.table.recordEnd(state, sent);
    if (result.type === "not-run") {
      this.#refusedBy.add(state.entry.id);
      dispatcher.recorder.recordNotRun(sent, result.reason);
    } else {
      this.#runCount += 1;
      if (!this.#request.signal.aborted) this.#recordRun(sent, result);
    }
    dispatcher.recorder.logAttempt(this.#request, sent, {
      outcome: result.type === "answered" ? "whole" : result.type,
      ...(result.type === "answered"
        ? { status: result.head.status }
        : { reason: result.reason }),
    });
  }

  /** Records whether the replica may have crashed on the request. */
  #recordEvidence({ sent, result, wasBrokenOff }: {
    readonly sent: sends.SentAttempt;
    readonly result: AttemptResult;
    readonly wasBrokenOff: boolean;
  }): void {
    const { quarantine } = this.#dispatcher.dependencies;
    if (result.type === "answered") quarantine.recordBegun(this.#request);
    else if (wasBrokenOff) {
      const crash = { replicaKey: sent.state.key, hadHead: false };
      quarantine.recordCrash(this.#request, crash);
    }
  }

  #recordRun(
    sent: sends.SentAttempt,
    result: Exclude<AttemptResult, { type: "not-run" }>,
  ): void {
    const { nowMs, speeds } = this.#dispatcher;
    const tookMs = nowMs - sent.sentAtMs;
    const { isLagging } = this.#watchdog;
    const isWhole = result.type === "answered" &&
      !check.isServerError(result.head.status);
    if (isWhole) {
      const outcome = { ...sent, tookMs, nowMs, isLagging };
      speeds.recordAnswer(this.#request, outcome);
    }
    this.#dispatcher.recorder.recordRun(this.#request, sent, {
      model: undefined,
      result: result.type === "lost" ? "lost" : isWhole ? "whole" : "failed",
      latencyMs: tookMs,
      paceMs: tookMs,
      isPaceJudged: false,
      isLagging,
    });
  }

  #forwardResponse(result: Answer): requests.RequestOutcome {
    const { status, rawHeaders, isFramed } = result.head;
    this.#writer.answer(status, rawHeaders, result.bodyParts, isFramed);
    return {
      outcome: check.isServerError(status) ? "replica-failed" : "answered",
      status,
    };
  }

  #refuse(
    refusal: admissions.Refusal,
    last: AttemptResult | undefined,
  ): requests.RequestOutcome {
    // A request that may have run must not be refused as "not run".
    if (last !== undefined && this.#runCount > 0) {
      return this.#fail(last, this.#request.route.kind);
    }
    this.#writer.refuse(refusal.error, refusal.retryAfterMs);
    return { outcome: refusal.error.kind, reason: refusal.error.message };
  }

  #fail(
    result: AttemptResult,
    routeKind: string,
  ): requests.RequestOutcome {
    const answer = this.#kept;
    if (answer !== undefined) return this.#forwardResponse(answer);
    if (result.type === "answered") return this.#forwardResponse(result);
    const isLate = this.#dispatcher.nowMs >= this.#request.deadlineAtMs;
    const hasRun = this.#runCount > 0;
    const kind: kernel.ErrorKind = hasRun
      ? isLate
        ? "deadline-after-run"
        : routeKind === "idempotent"
        ? "upstream-failed"
        : "outcome-unknown"
      : "overloaded";
    const error = kernel.makeError(kind, result.reason);
    this.#writer.refuse(
      error,
      hasRun
        ? undefined
        : isLate
        ? DEADLINE_RETRY_AFTER_MS
        : OVERLOADED_RETRY_AFTER_MS,
    );
    return { outcome: kind, reason: result.reason, runs: this.#runCount };
  }
}

function buildResult(
  end: attempts.AttemptEnd,
  verdict: check.HeadVerdict | undefined,
  head: attempts.ResponseHead | undefined,
  collector: bodies.ByteCollector,
): AttemptResult {
  const noResponse = check.classifyNoResponse(end, verdict);
  if (noResponse !== undefined) return noResponse;
  if (
    head === undefined || verdict === "mismatched" || verdict === "unusable"
  ) {
    return {
      type: "lost",
      reason: `response rejected as ${verdict ?? "empty"}`,
    };
  }
  return { type: "answered", head, bodyParts: collector.takeParts() };
}
