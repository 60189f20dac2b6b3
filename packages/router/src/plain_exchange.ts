/**
 * The way of a request with one answer. The answer is read whole before any of
 * it is passed on. A call that may not run twice is only sent again after proof
 * that it was not run.
 */
import * as kernel from "@jackdawbank/kernel";
import * as check from "./answer_check.ts";
import type * as attempts from "./attempt.ts";
import type * as admissions from "./admission.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as requests from "./request.ts";
import type * as watchdogs from "./watchdog.ts";

/** A repeatable call moves on after so many times its objective without an answer. */
const SILENCE_OBJECTIVES = 2;
/** A second send needs this share of the objective left to be of use. */
const MIN_LEFT_OBJECTIVES = 0.3;
/** Sends beyond the limit of runs, after proof that earlier ones did not run. */
const UNRUN_SENDS = 2;
const FULL_RETRY_MS = 200;
const DEADLINE_RETRY_MS = 300;

/** How one attempt ended. */
type TryResult =
  | {
    readonly type: "answered";
    readonly head: attempts.AnswerHead;
    readonly body: Buffer;
  }
  | check.Unanswered;

/** One request with one answer. */
export class PlainExchange {
  readonly #dispatcher: dispatchers.Dispatcher;
  readonly #watchdog: watchdogs.Watchdog;
  readonly #request: requests.AdmittedRequest;
  readonly #writer: requests.AnswerWriter;
  readonly #tried = new Set<string>();
  #sends = 0;
  #runs = 0;

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
  }

  async run(): Promise<requests.RequestOutcome> {
    const { route } = this.#request;
    let last: TryResult | undefined;
    for (;;) {
      const sent = await this.#try();
      if (sent.type === "refused") return this.#refuse(sent.refusal, last);
      last = sent.result;
      if (this.#request.signal.aborted) return { outcome: "caller-gone" };
      if (last.type === "answered" && !this.#shouldTryAgain(last)) {
        return this.#pass(last);
      }
      if (!this.#canSendAgain(last)) {
        if (last.type === "answered") return this.#pass(last);
        return this.#fail(last, route.kind);
      }
    }
  }

  #shouldTryAgain(result: Extract<TryResult, { type: "answered" }>): boolean {
    return this.#request.route.kind === "idempotent" &&
      (check.isServerError(result.head.status) || !result.head.isFramed);
  }

  #canSendAgain(result: TryResult): boolean {
    const { route, deadlineAtMs, service } = this.#request;
    const leftMs = deadlineAtMs - this.#dispatcher.nowMs;
    if (leftMs < MIN_LEFT_OBJECTIVES * route.targetLatencyMs) return false;
    if (!this.#dispatcher.mayRepeat(service)) return false;
    if (result.type === "not-run") {
      return this.#sends < route.maxAttempts + UNRUN_SENDS;
    }
    return route.kind === "idempotent" && this.#runs < route.maxAttempts;
  }

  async #try(): Promise<
    | { readonly type: "tried"; readonly result: TryResult }
    | { readonly type: "refused"; readonly refusal: admissions.Refusal }
  > {
    const request = this.#request;
    const dispatcher = this.#dispatcher;
    const outcome = await new Promise<
      | { sent: dispatchers.Sent; result: TryResult }
      | admissions.Refusal
    >((resolve) => {
      let head: attempts.AnswerHead | undefined;
      let verdict: check.HeadVerdict | undefined;
      const chunks: Buffer[] = [];
      const sending = dispatcher.send(request, {
        model: request.fields.model,
        lastEventId: request.fields.lastEventId,
        excluded: this.#tried,
        earlierSends: this.#sends,
      }, {
        onHead: (received) => {
          head = received;
          const { codec } = dispatcher.parts;
          verdict = check.judgeHead(
            request,
            received,
            codec.decodeResponse(received.headers),
          );
          note();
          // The connection may bring more that is not ours.
          if (verdict === "foreign" || verdict === "unusable") {
            sent?.attempt.cancel(`the answer is ${verdict}`);
          }
        },
        onData: (chunk) => {
          chunks.push(chunk);
          note();
        },
        onEnd: (end) => {
          stopWatch?.();
          if (sent === undefined) return;
          resolve({ sent, result: toResult(end, verdict, head, chunks) });
        },
      });
      if (sending.isErr()) {
        resolve(sending.error);
        return;
      }
      const sent = sending.value;
      const note = () => {
        sent.state.heardAtMs = dispatcher.nowMs;
      };
      const stopWatch = this.#watch(sent);
    });
    if ("error" in outcome) return { type: "refused", refusal: outcome };
    this.#learn(outcome.sent, outcome.result);
    return { type: "tried", result: outcome.result };
  }

  /** Ends an attempt that is silent for too long, or whose caller is gone. */
  #watch(sent: dispatchers.Sent): () => void {
    const { route, deadlineAtMs, signal } = this.#request;
    const isRepeatable = route.kind === "idempotent";
    const silentAtMs = sent.sentAtMs +
      SILENCE_OBJECTIVES * route.targetLatencyMs;
    const hasOthers = isRepeatable && this.#runs + 1 < route.maxAttempts;
    return this.#watchdog.watch((nowMs) => {
      if (signal.aborted) return sent.attempt.cancel("the caller is gone");
      if (nowMs >= deadlineAtMs) return sent.attempt.cancel("deadline passed");
      if (!hasOthers || nowMs < silentAtMs) return;
      const excluded = new Set([...this.#tried, sent.state.entry.id]);
      if (this.#dispatcher.canMove(this.#request, excluded)) {
        sent.attempt.cancel("silent");
      }
    }, signal);
  }

  #learn(sent: dispatchers.Sent, result: TryResult): void {
    const dispatcher = this.#dispatcher;
    const { state } = sent;
    this.#sends += 1;
    this.#tried.add(state.entry.id);
    dispatcher.parts.table.noteEnded(state, sent.readMs);
    if (result.type === "not-run") {
      dispatcher.learnUnrun(sent, result.reason);
    } else {
      this.#runs += 1;
      if (!this.#request.signal.aborted) this.#learnRun(sent, result);
    }
    dispatcher.logAttempt(this.#request, sent, {
      outcome: result.type === "answered" ? "whole" : result.type,
      ...(result.type === "answered"
        ? { status: result.head.status }
        : { reason: result.reason }),
    });
  }

  #learnRun(
    sent: dispatchers.Sent,
    result: Exclude<TryResult, { type: "not-run" }>,
  ): void {
    const tookMs = this.#dispatcher.nowMs - sent.sentAtMs;
    this.#dispatcher.learnRun(this.#request, sent, {
      model: undefined,
      result: result.type === "lost"
        ? "lost"
        : check.isServerError(result.head.status)
        ? "failed"
        : "whole",
      delayMs: tookMs,
      paceMs: tookMs,
      isLagging: this.#watchdog.isLagging,
    });
  }

  #pass(
    result: Extract<TryResult, { type: "answered" }>,
  ): requests.RequestOutcome {
    const { status, rawHeaders, isFramed } = result.head;
    this.#writer.answer(status, rawHeaders, result.body, isFramed);
    return {
      outcome: check.isServerError(status) ? "replica-failed" : "answered",
      status,
    };
  }

  #refuse(
    refusal: admissions.Refusal,
    last: TryResult | undefined,
  ): requests.RequestOutcome {
    // What may have run is not refused as not run.
    if (last?.type === "lost") {
      return this.#fail(last, this.#request.route.kind);
    }
    if (last?.type === "answered") return this.#pass(last);
    this.#writer.refuse(refusal.error, refusal.retryAfterMs);
    return { outcome: refusal.error.kind, reason: refusal.error.message };
  }

  #fail(
    result: Exclude<TryResult, { type: "answered" }>,
    routeKind: string,
  ): requests.RequestOutcome {
    const isLate = this.#dispatcher.nowMs >= this.#request.deadlineAtMs;
    const hasRun = this.#runs > 0;
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
      hasRun ? undefined : isLate ? DEADLINE_RETRY_MS : FULL_RETRY_MS,
    );
    return { outcome: kind, reason: result.reason };
  }
}

function toResult(
  end: attempts.AttemptEnd,
  verdict: check.HeadVerdict | undefined,
  head: attempts.AnswerHead | undefined,
  chunks: readonly Buffer[],
): TryResult {
  const unanswered = check.judgeUnanswered(end, verdict);
  if (unanswered !== undefined) return unanswered;
  if (head === undefined || verdict === "foreign" || verdict === "unusable") {
    return { type: "lost", reason: `the answer is ${verdict ?? "empty"}` };
  }
  return { type: "answered", head, body: Buffer.concat(chunks) };
}
