/**
 * Exchange whose response is an event stream. Complete events are forwarded as
 * they arrive. A response of low confidence is dropped before the caller has
 * received any of it, and a larger model is asked. A broken stream is resumed
 * at another replica if the route permits it.
 */
import * as kernel from "@jackdawbank/kernel";
import * as check from "./response_check.ts";
import type * as splitting from "./event_splitter.ts";
import type * as attempts from "./attempt.ts";
import type * as admissions from "./admission.ts";
import type * as dispatchers from "./dispatcher.ts";
import * as firstModels from "./first_model.ts";
import type * as sends from "./send.ts";
import type * as requests from "./request.ts";
import * as streamAttempts from "./stream_attempt.ts";
import * as escalations from "./stream_escalation.ts";
import * as paces from "./stream_pace.ts";
import * as ends from "./stream_end.ts";
import * as watches from "./stream_watch.ts";
import type * as watchdogs from "./watchdog.ts";

/** Attempts beyond the route's limit, after earlier ones were provably not run. */
const MAX_ATTEMPTS_BEYOND_LIMIT = 2;
const OVERLOADED_RETRY_AFTER_MS = 300;

/** Exchange of one request with a streamed response. */
export class StreamExchange {
  readonly #dispatcher: dispatchers.Dispatcher;
  readonly #watchdog: watchdogs.Watchdog;
  readonly #request: requests.AdmittedRequest;
  readonly #writer: requests.CallerResponseWriter;
  readonly #triedReplicaIds = new Set<string>();
  readonly #refusedBy = new Set<string>();
  #model: string | undefined;
  #lastEventId: string | undefined;
  /** Head of the response that the caller has received. */
  #begunHead: attempts.ResponseHead | undefined;
  #sendCount = 0;
  #runCount = 0;
  #isWaitingForCaller = false;
  readonly #end = new ends.StreamEnd();

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
    this.#lastEventId = request.fields.lastEventId;
    this.#model = firstModels.chooseFirstModel(request);
  }

  async run(): Promise<requests.RequestOutcome> {
    let last: streamAttempts.StreamAttemptResult | undefined;
    for (;;) {
      const tried = await this.#runAttempt();
      if (tried.type === "refused") {
        if (this.#request.signal.aborted) return { outcome: "caller-gone" };
        return this.#end.mayBeWhole
          ? this.#finishUnconfirmed(tried.refusal.error.message)
          : this.#refuse(tried.refusal, last);
      }
      last = tried.result;
      if (last.type === "complete" || this.#end.isConfirmed) {
        return this.#finish();
      }
      if (this.#request.signal.aborted) return { outcome: "caller-gone" };
      if (last.type === "escalate") {
        this.#model = last.model;
        continue;
      }
      if (!this.#end.hasFailedToConfirm && this.#canRetry(last)) continue;
      return this.#end.mayBeWhole
        ? this.#finishUnconfirmed(streamAttempts.describeResult(last))
        : this.#fail(last);
    }
  }

  #finish(): requests.RequestOutcome {
    this.#writer.end();
    return { outcome: "answered", status: 200 };
  }

  /** Ends a stream as its replica did, though no other one could tell whether that was all. */
  #finishUnconfirmed(reason: string): requests.RequestOutcome {
    return { ...this.#finish(), reason: `end not confirmed: ${reason}` };
  }

  #canRetry(result: streamAttempts.StreamAttemptResult): boolean {
    const { route, deadlineAtMs, service } = this.#request;
    if (this.#dispatcher.nowMs >= deadlineAtMs) return false;
    if (!this.#dispatcher.canRetry(service)) return false;
    if (result.type === "not-run") {
      return this.#sendCount < route.maxAttempts + MAX_ATTEMPTS_BEYOND_LIMIT;
    }
    return route.isResumable && this.#runCount < route.maxAttempts;
  }

  async #runAttempt(): Promise<streamAttempts.StreamAttemptOutcome> {
    const options = {
      model: this.#model,
      lastEventId: this.#lastEventId,
      excluded: this.#triedReplicaIds,
      refusedBy: this.#refusedBy,
      earlierSends: this.#sendCount,
      hasRun: this.#runCount > 0,
    };
    const preparation = await this.#dispatcher.prepare(this.#request, options);
    const startedAtMs = this.#dispatcher.nowMs;
    const current = streamAttempts.createStreamAttempt(
      startedAtMs,
      this.#request.route,
      this.#lastEventId,
    );
    const refusal = await new Promise<admissions.Refusal | undefined>(
      (resolve) => {
        const sendResult = this.#dispatcher.send(this.#request, {
          ...options,
          ...preparation,
        }, {
          onHead: (head) => this.#handleHead(current, head),
          onData: (chunk) => this.#handleData(current, chunk),
          onEnd: (end) => {
            stopWatching?.();
            current.isBrokenOff = end.type === "whole" ||
              end.type === "lost" && !end.isGivenUp;
            current.result ??= streamAttempts.classifyEnd(current, end);
            if (streamAttempts.isWhole(current.result) && current.head) {
              this.#startResponse(current.head);
            }
            resolve(undefined);
          },
        });
        if (sendResult.isErr()) {
          resolve(sendResult.error);
          return;
        }
        current.sent = sendResult.value;
        const stopWatching = this.#watchAttempt(current);
      },
    );
    if (refusal !== undefined) return { type: "refused", refusal };
    const result = current.result as streamAttempts.StreamAttemptResult;
    this.#recordResult(current, result);
    return { type: "attempted", result };
  }

  #handleHead(
    current: streamAttempts.StreamAttempt,
    head: attempts.ResponseHead,
  ): void {
    const { nowMs } = this.#dispatcher;
    const { codec, table } = this.#dispatcher.dependencies;
    const { sent } = current;
    if (sent === undefined) return;
    const response = codec.decodeResponse(head.headers);
    current.head = head;
    current.headAtMs = nowMs;
    current.lastEventAtMs = nowMs;
    sent.state.lastByteAtMs = nowMs;
    const verdict = check.classifyHead(this.#request, head, response);
    current.verdict = streamAttempts.restrictToContinuation(
      verdict,
      head,
      this.#begunHead,
    );
    this.#dispatcher.demands.record(this.#request, sent, head, response);
    if (current.verdict === "mismatched" || current.verdict === "unusable") {
      sent.attempt.cancel(`response rejected as ${current.verdict}`);
      return;
    }
    if (current.verdict !== "success") return;
    const { fields } = this.#request;
    table.recordPrefill(sent.state, {
      model: this.#model,
      parts: fields.promptParts,
      prefillMs: sent.prefillMs,
      nowMs,
    });
    current.isPrefilled = true;
    const { route, service } = this.#request;
    this.#dispatcher.speeds.recordFirstByte(this.#request, {
      ...sent,
      model: this.#model,
      tookMs: nowMs - current.startedAtMs,
      isLagging: this.#watchdog.isLagging,
      nowMs,
    });
    const model = escalations.judgeAnswer(this.#dispatcher, this.#request, {
      replicaId: sent.state.entry.id,
      model: this.#model,
      confidence: response.confidence,
      pressure: this.#dispatcher.measurePressure(service),
      runCount: this.#runCount,
      isAnswerStarted: this.#writer.isStarted,
    });
    if (model === undefined) {
      this.#dispatcher.speeds.getTracker(service).recordAnswer({
        latencyMs: nowMs - this.#request.receivedAtMs,
        objectiveMs: route.targetLatencyMs,
        nowMs,
      });
      return;
    }
    current.result = { type: "escalate", model };
    sent.attempt.cancel("escalated to a larger model");
  }

  #handleData(current: streamAttempts.StreamAttempt, chunk: Buffer): void {
    const { sent, head } = current;
    if (sent === undefined || head === undefined) return;
    sent.state.lastByteAtMs = this.#dispatcher.nowMs;
    if (current.verdict !== "success") {
      const isKept = streamAttempts.addFailureBody(current, chunk);
      if (!isKept) sent.attempt.giveUp("long-body");
      return;
    }
    const { nowMs } = this.#dispatcher;
    const completeEvents = current.splitter.push(chunk, nowMs);
    if (completeEvents !== undefined) {
      this.#forwardEvents(current, sent, head, completeEvents);
    }
    const { fault } = current.splitter;
    if (fault !== undefined) sent.attempt.giveUp(fault);
  }

  #forwardEvents(
    current: streamAttempts.StreamAttempt,
    sent: sends.SentAttempt,
    head: attempts.ResponseHead,
    completeEvents: splitting.CompleteEvents,
  ): void {
    const { nowMs, dependencies } = this.#dispatcher;
    if (completeEvents.count > 0) {
      sent.attempt.countPieces(completeEvents.count);
      streamAttempts.recordEvents(current, nowMs);
      dependencies.table.memories.recordOutput(this.#request, sent, current);
      const { totalLagMs } = this.#watchdog;
      current.pace.recordEvents(completeEvents.count, nowMs, totalLagMs);
      this.#offerPace(current, false);
    }
    if (completeEvents.count === current.splitter.count) {
      dependencies.quarantine.recordBegun(this.#request);
    }
    this.#startResponse(head);
    this.#lastEventId = current.splitter.lastEventId ?? this.#lastEventId;
    if (this.#writer.write(completeEvents.bytes)) return;
    this.#isWaitingForCaller = true;
    sent.attempt.pause();
    this.#writer.onDrain(() => {
      this.#isWaitingForCaller = false;
      current.lastEventAtMs = this.#dispatcher.nowMs;
      current.pace.resume(current.lastEventAtMs, this.#watchdog.totalLagMs);
      sent.attempt.resume();
    });
  }

  /** Forwards the headers once; a resumed stream keeps those of its first replica. */
  #startResponse(head: attempts.ResponseHead): void {
    if (this.#writer.isStarted) return;
    this.#begunHead = head;
    this.#writer.start(head.status, head.rawHeaders);
    this.#dispatcher.dependencies.telemetry.observeFirstByte(
      this.#request.route.name,
      this.#dispatcher.nowMs - this.#request.receivedAtMs,
    );
  }

  /** Cancels the attempt on a stall, at the deadline, or when the caller disconnects. */
  #watchAttempt(current: streamAttempts.StreamAttempt): () => void {
    const { route, signal } = this.#request;
    const attempt = current.sent?.attempt;
    return this.#watchdog.watch((nowMs) => {
      if (signal.aborted) return attempt?.cancel("the caller disconnected");
      const expiry = this.#dispatcher.findExpiry(this.#request, nowMs);
      if (expiry !== undefined) return attempt?.cancel(expiry);
      if (this.#isWaitingForCaller) return;
      if (current.pace.isUndecided) this.#offerPace(current, false);
      const reason = watches.findReasonToGiveUp(
        this.#dispatcher,
        this.#request,
        current,
        {
          hasRunsLeft: route.isResumable &&
            this.#runCount + 1 < route.maxAttempts,
          isConfirming: this.#end.mayBeWhole && current.splitter.count === 0,
          triedReplicaIds: this.#triedReplicaIds,
        },
      );
      if (reason !== undefined) attempt?.cancel(reason);
    }, signal);
  }

  #offerPace(
    { sent, pace }: streamAttempts.StreamAttempt,
    hasEnded: boolean,
  ): void {
    if (sent === undefined) return;
    const { totalLagMs } = this.#watchdog;
    const options = { sent, model: this.#model, hasEnded, totalLagMs };
    paces.offerPace(pace, this.#dispatcher, this.#request, options);
  }

  #recordResult(
    current: streamAttempts.StreamAttempt,
    result: streamAttempts.StreamAttemptResult,
  ): void {
    const { sent } = current;
    if (sent === undefined) return;
    const { state } = sent;
    const { table, quarantine } = this.#dispatcher.dependencies;
    this.#end.record(current, result);
    this.#sendCount += 1;
    this.#triedReplicaIds.add(state.entry.id);
    table.recordEnd(state, {
      prefillMs: current.isPrefilled ? 0 : sent.prefillMs,
      heldTokens: sent.heldTokens + current.extraTokens,
    });
    if (streamAttempts.isWhole(result) && !current.isResumed) {
      table.memories.recordLength(this.#request, current.splitter.count);
    }
    if (result.type === "not-run") {
      this.#refusedBy.add(state.entry.id);
      this.#dispatcher.recorder.recordNotRun(sent, result.reason);
    } else {
      this.#runCount += 1;
      if (!this.#request.signal.aborted) this.#recordRun(current, sent, result);
    }
    if (streamAttempts.isLostBeforeAnswer(current)) {
      quarantine.recordCrash(this.#request, {
        replicaKey: state.key,
        hadHead: current.verdict === "success",
      });
    }
    // A response dropped for low confidence is no reason to exclude its replica.
    if (result.type === "escalate") this.#triedReplicaIds.clear();
    this.#dispatcher.recorder.logAttempt(this.#request, sent, {
      outcome: streamAttempts.isWhole(result) ? "whole" : result.type,
      ...("reason" in result ? { reason: result.reason } : {}),
      ...(result.type === "failed" ? { status: result.head.status } : {}),
      ...streamAttempts.describeTimes(current),
    });
  }

  #recordRun(
    current: streamAttempts.StreamAttempt,
    sent: sends.SentAttempt,
    result: streamAttempts.StreamAttemptResult,
  ): void {
    this.#offerPace(current, true);
    const { latencyMs, paceMs } = streamAttempts.measureStart(current);
    this.#dispatcher.recorder.recordRun(this.#request, sent, {
      model: this.#model,
      result: streamAttempts.classifyRun(result),
      latencyMs,
      paceMs,
      isPaceJudged: current.pace.isJudged,
      isLagging: this.#watchdog.isLagging,
    });
  }

  #refuse(
    refusal: admissions.Refusal,
    last: streamAttempts.StreamAttemptResult | undefined,
  ): requests.RequestOutcome {
    const hasRun = this.#runCount > 0;
    if (hasRun && last !== undefined) return this.#fail(last);
    this.#writer.refuse(refusal.error, refusal.retryAfterMs);
    return { outcome: refusal.error.kind, reason: refusal.error.message };
  }

  #fail(result: streamAttempts.StreamAttemptResult): requests.RequestOutcome {
    const reason = streamAttempts.describeResult(result);
    if (this.#writer.isStarted) {
      this.#writer.abort();
      return { outcome: "answer-incomplete", reason, runs: this.#runCount };
    }
    if (result.type === "failed") {
      const { status, rawHeaders, isFramed } = result.head;
      this.#writer.answer(status, rawHeaders, [result.body], isFramed);
      return { outcome: "replica-failed", status };
    }
    const hasRun = this.#runCount > 0;
    const kind = streamAttempts.classifyFailure({
      hasRun,
      isLate: this.#dispatcher.nowMs >= this.#request.deadlineAtMs,
    });
    this.#writer.refuse(
      kernel.makeError(kind, reason),
      hasRun ? undefined : OVERLOADED_RETRY_AFTER_MS,
    );
    return { outcome: kind, reason, runs: this.#runCount };
  }
}
