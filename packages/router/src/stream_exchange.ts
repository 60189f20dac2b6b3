/**
 * The way of a request whose answer is a stream of events. Whole events are
 * passed on as they come. An answer of low confidence is dropped before the
 * caller has any of it, and a larger model is asked. A stream that breaks goes
 * on at another replica where its route allows that.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as check from "./answer_check.ts";
import type * as attempts from "./attempt.ts";
import type * as admissions from "./admission.ts";
import type * as dispatchers from "./dispatcher.ts";
import * as splitting from "./event_splitter.ts";
import type * as requests from "./request.ts";
import * as tries from "./stream_try.ts";
import type * as watchdogs from "./watchdog.ts";

/** Wait for the first event, beyond which a silent replica is given up. */
const FIRST_EVENT_OBJECTIVES = 1;
/** Prompt tokens that an engine reads in a millisecond when it is shared. */
const PROMPT_TOKENS_PER_MS = 20;
/** Share of the retry budget that escalations may use; the rest is for failures. */
const ESCALATION_BUDGET_SHARE = 0.6;
const UNRUN_SENDS = 2;
const FULL_RETRY_MS = 300;
const MAX_FAILURE_BODY_BYTES = 65_536;

/** One request with a stream for an answer. */
export class StreamExchange {
  readonly #dispatcher: dispatchers.Dispatcher;
  readonly #watchdog: watchdogs.Watchdog;
  readonly #request: requests.AdmittedRequest;
  readonly #writer: requests.AnswerWriter;
  readonly #tried = new Set<string>();
  #model: string | undefined;
  #lastEventId: string | undefined;
  #sends = 0;
  #runs = 0;
  #isWaitingForCaller = false;

  constructor(
    dispatcher: dispatchers.Dispatcher,
    watchdog: watchdogs.Watchdog,
    request: requests.AdmittedRequest,
    writer: requests.AnswerWriter,
  ) {
    this.#dispatcher = dispatcher;
    this.#watchdog = watchdog;
    this.#request = request;
    this.#writer = writer;
    this.#lastEventId = request.fields.lastEventId;
    const { candidateModels, isResumable } = request.route;
    this.#model = request.fields.model ??
      // What may not run twice cannot be tried on a smaller model first.
      (isResumable
        ? decisions.chooseStartModel(candidateModels)
        : candidateModels.at(-1));
  }

  async run(): Promise<requests.RequestOutcome> {
    let last: tries.TryResult | undefined;
    for (;;) {
      const tried = await this.#try();
      if (tried.type === "refused") return this.#refuse(tried.refusal, last);
      last = tried.result;
      if (last.type === "complete") {
        this.#writer.end();
        return { outcome: "answered", status: 200 };
      }
      if (this.#request.signal.aborted) return { outcome: "caller-gone" };
      if (last.type === "escalate") {
        this.#model = last.model;
        continue;
      }
      if (!this.#canSendAgain(last)) return this.#fail(last);
    }
  }

  #canSendAgain(result: tries.TryResult): boolean {
    const { route, deadlineAtMs, service } = this.#request;
    if (this.#dispatcher.nowMs >= deadlineAtMs) return false;
    if (!this.#dispatcher.mayRepeat(service)) return false;
    if (result.type === "not-run") {
      return this.#sends < route.maxAttempts + UNRUN_SENDS;
    }
    return route.isResumable && this.#runs < route.maxAttempts;
  }

  async #try(): Promise<
    | { readonly type: "tried"; readonly result: tries.TryResult }
    | { readonly type: "refused"; readonly refusal: admissions.Refusal }
  > {
    const startedAtMs = this.#dispatcher.nowMs;
    const current: tries.Try = {
      sent: undefined,
      verdict: undefined,
      head: undefined,
      result: undefined,
      splitter: new splitting.EventSplitter(),
      body: [],
      startedAtMs,
      headAtMs: undefined,
      newestAtMs: startedAtMs,
      isRead: false,
    };
    const refusal = await new Promise<admissions.Refusal | undefined>(
      (resolve) => {
        const sending = this.#dispatcher.send(this.#request, {
          model: this.#model,
          lastEventId: this.#lastEventId,
          excluded: this.#tried,
          earlierSends: this.#sends,
        }, {
          onHead: (head) => this.#takeHead(current, head),
          onData: (chunk) => this.#takeData(current, chunk),
          onEnd: (end) => {
            stopWatch?.();
            current.result ??= tries.judgeEnd(current, end);
            if (current.result.type === "complete" && current.head) {
              this.#startAnswer(current.head);
            }
            resolve(undefined);
          },
        });
        if (sending.isErr()) {
          resolve(sending.error);
          return;
        }
        current.sent = sending.value;
        const stopWatch = this.#watch(current);
      },
    );
    if (refusal !== undefined) return { type: "refused", refusal };
    const result = current.result as tries.TryResult;
    this.#learn(current, result);
    return { type: "tried", result };
  }

  #takeHead(current: tries.Try, head: attempts.AnswerHead): void {
    const { nowMs } = this.#dispatcher;
    const { codec, table } = this.#dispatcher.parts;
    const { sent } = current;
    if (sent === undefined) return;
    const answer = codec.decodeResponse(head.headers);
    current.head = head;
    current.headAtMs = nowMs;
    current.newestAtMs = nowMs;
    sent.state.heardAtMs = nowMs;
    current.verdict = check.judgeHead(this.#request, head, answer);
    if (current.verdict === "foreign" || current.verdict === "unusable") {
      sent.attempt.cancel(`the answer is ${current.verdict}`);
      return;
    }
    if (current.verdict !== "success") return;
    const { fields } = this.#request;
    table.noteRead(sent.state, {
      model: this.#model,
      parts: fields.promptParts,
      readMs: sent.readMs,
      nowMs,
    });
    current.isRead = true;
    const { route, service } = this.#request;
    const pace = this.#dispatcher.pace(service);
    pace.record({
      model: this.#model,
      uncachedTokens: fields.promptTokens - sent.cachedTokens,
      firstByteMs: nowMs - current.startedAtMs,
      objectiveMs: route.targetLatencyMs,
      nowMs,
    });
    const pressure = this.#dispatcher.measurePressure(service);
    const model = this.#chooseEscalation(answer.confidence, pressure);
    this.#dispatcher.parts.log.addRoutine("answer.judged", {
      requestId: this.#request.requestId,
      replica: sent.state.entry.id,
      model: this.#model,
      confidence: answer.confidence,
      pressure: Number(pressure.toFixed(2)),
      escalatesTo: model,
    });
    if (model === undefined) return;
    current.result = { type: "escalate", model };
    sent.attempt.cancel("a larger model is asked");
  }

  #chooseEscalation(
    confidence: number | undefined,
    pressure: number,
  ): string | undefined {
    const { route, account, fields, service } = this.#request;
    const { nowMs } = this.#dispatcher;
    const pace = this.#dispatcher.pace(service);
    const predictedMs = nowMs - this.#request.receivedAtMs +
      pace.predictPrefillMs(route.candidateModels.at(-1), fields.promptTokens);
    const isUntouched = !this.#writer.isStarted &&
      fields.lastEventId === undefined && fields.model === undefined;
    return decisions.chooseEscalation({
      sizes: route.candidateModels,
      model: this.#model,
      confidence,
      priority: account?.priority ?? route.priority,
      canResend: isUntouched && route.isResumable &&
        this.#runs + 1 < route.maxAttempts &&
        this.#dispatcher.mayRepeat(service, ESCALATION_BUDGET_SHARE),
      pressure,
      predictedObjectiveRatio: predictedMs / route.targetLatencyMs,
    });
  }

  #takeData(current: tries.Try, chunk: Buffer): void {
    const { nowMs } = this.#dispatcher;
    const { sent, head } = current;
    if (sent === undefined || head === undefined) return;
    sent.state.heardAtMs = nowMs;
    current.newestAtMs = nowMs;
    if (current.verdict !== "success") {
      const size = current.body.reduce((sum, part) => sum + part.length, 0);
      if (size < MAX_FAILURE_BODY_BYTES) current.body.push(chunk);
      return;
    }
    const whole = current.splitter.push(chunk);
    if (whole === undefined) return;
    this.#startAnswer(head);
    this.#lastEventId = current.splitter.lastEventId ?? this.#lastEventId;
    if (this.#writer.write(whole.bytes)) return;
    this.#isWaitingForCaller = true;
    sent.attempt.pause();
    this.#writer.onDrain(() => {
      this.#isWaitingForCaller = false;
      current.newestAtMs = this.#dispatcher.nowMs;
      sent.attempt.resume();
    });
  }

  /** The first replica's head stays that of the whole answer. */
  #startAnswer(head: attempts.AnswerHead): void {
    if (this.#writer.isStarted) return;
    this.#writer.start(head.status, head.rawHeaders);
    this.#dispatcher.parts.telemetry.observeFirstByte(
      this.#request.route.name,
      this.#dispatcher.nowMs - this.#request.receivedAtMs,
    );
  }

  /** Ends an attempt that is silent, late, or whose caller is gone. */
  #watch(current: tries.Try): () => void {
    const { route, deadlineAtMs, signal, fields } = this.#request;
    const firstEventMs = FIRST_EVENT_OBJECTIVES * route.targetLatencyMs +
      fields.promptTokens / PROMPT_TOKENS_PER_MS;
    const attempt = current.sent?.attempt;
    return this.#watchdog.watch((nowMs) => {
      if (signal.aborted) return attempt?.cancel("the caller is gone");
      if (nowMs >= deadlineAtMs) return attempt?.cancel("deadline passed");
      const mayMove = route.isResumable && this.#runs + 1 < route.maxAttempts;
      if (!mayMove || this.#isWaitingForCaller) return;
      const { sent } = current;
      const heardAtMs = sent?.state.heardAtMs ?? nowMs;
      const isSilent = decisions.isStreamStalled({
        waitedMs: nowMs - current.newestAtMs,
        limitMs: current.headAtMs === undefined ? firstEventMs : route.maxGapMs,
        replicaSilentMs: nowMs - Math.max(heardAtMs, current.startedAtMs),
        pendingPrefillMs: sent === undefined
          ? 0
          : this.#dispatcher.readPendingMs(sent.state),
      });
      // Silence alone ends no answer: it has to go on elsewhere.
      if (isSilent && this.#canMoveFrom(current)) attempt?.cancel("silent");
    }, signal);
  }

  #canMoveFrom(current: tries.Try): boolean {
    const id = current.sent?.state.entry.id;
    const excluded = new Set(this.#tried);
    if (id !== undefined) excluded.add(id);
    return this.#dispatcher.canMove(this.#request, excluded);
  }

  #learn(current: tries.Try, result: tries.TryResult): void {
    const { sent } = current;
    if (sent === undefined) return;
    const { state } = sent;
    const { table } = this.#dispatcher.parts;
    this.#sends += 1;
    this.#tried.add(state.entry.id);
    table.noteEnded(state, current.isRead ? 0 : sent.readMs);
    if (result.type === "not-run") {
      this.#dispatcher.learnUnrun(sent, result.reason);
    } else {
      this.#runs += 1;
      if (!this.#request.signal.aborted) this.#learnRun(current, sent, result);
    }
    // A dropped answer says nothing against its replica.
    if (result.type === "escalate") this.#tried.clear();
    this.#dispatcher.logAttempt(this.#request, sent, {
      outcome: result.type === "complete" ? "whole" : result.type,
      ...("reason" in result ? { reason: result.reason } : {}),
      ...(result.type === "failed" ? { status: result.head.status } : {}),
    });
  }

  #learnRun(
    current: tries.Try,
    sent: dispatchers.Sent,
    result: tries.TryResult,
  ): void {
    const { nowMs } = this.#dispatcher;
    const events = current.splitter.count;
    const { headAtMs } = current;
    const delayMs = headAtMs === undefined
      ? undefined
      : headAtMs - current.startedAtMs;
    const hasPauses = events > 1;
    this.#dispatcher.learnRun(this.#request, sent, {
      // Pauses between events and waits for the first one differ by nature.
      model: `${this.#model ?? ""}/${hasPauses ? "pace" : "start"}`,
      result: result.type === "lost" ? "lost" : result.type === "failed" &&
          check.isServerError(result.head.status)
        ? "failed"
        : "whole",
      delayMs,
      paceMs: headAtMs !== undefined && hasPauses
        ? (nowMs - headAtMs) / events
        : delayMs,
      isLagging: this.#watchdog.isLagging,
    });
  }

  #refuse(
    refusal: admissions.Refusal,
    last: tries.TryResult | undefined,
  ): requests.RequestOutcome {
    const hasRun = this.#runs > 0;
    if (hasRun && last !== undefined) return this.#fail(last);
    this.#writer.refuse(refusal.error, refusal.retryAfterMs);
    return { outcome: refusal.error.kind, reason: refusal.error.message };
  }

  #fail(result: tries.TryResult): requests.RequestOutcome {
    const reason = "reason" in result ? result.reason : result.type;
    if (this.#writer.isStarted) {
      this.#writer.abort();
      return { outcome: "answer-incomplete", reason };
    }
    if (result.type === "failed") {
      const { status, rawHeaders, isFramed } = result.head;
      this.#writer.answer(status, rawHeaders, result.body, isFramed);
      return { outcome: "replica-failed", status };
    }
    const isLate = this.#dispatcher.nowMs >= this.#request.deadlineAtMs;
    const hasRun = this.#runs > 0;
    const kind: kernel.ErrorKind = hasRun
      ? isLate ? "deadline-after-run" : "upstream-failed"
      : "overloaded";
    this.#writer.refuse(
      kernel.makeError(kind, reason),
      hasRun ? undefined : FULL_RETRY_MS,
    );
    return { outcome: kind, reason };
  }
}
