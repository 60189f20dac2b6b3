/** State of one attempt of a stream exchange, and the classification of its end. */
import type * as kernel from "@jackdawbank/kernel";
import type * as admissions from "./admission.ts";
import * as check from "./response_check.ts";
import type * as attempts from "./attempt.ts";
import type * as requests from "./request.ts";
import type * as sends from "./send.ts";
import * as splitting from "./event_splitter.ts";
import * as paces from "./stream_pace.ts";

/** With more prefill ahead of a prompt, the time to its first byte is no pace of its version. */
const MAX_QUEUED_FOR_PACE_MS = 50;
const MAX_FAILURE_BODY_BYTES = 65_536;
/** Time-out for the first byte, in multiples of the route's target latency. */
const FIRST_BYTE_TIMEOUT_FACTOR = 1;
/** Prefill rate of an engine that also serves other requests; extends that time-out. */
const SHARED_PREFILL_TOKENS_PER_MS = 20;

/** Result of one attempt. */
export type StreamAttemptResult =
  | { readonly type: "complete" }
  /**
   * The connection ended between two events. That is the end of a stream without length
   * or chunks, unless its replica was stopped there.
   */
  | { readonly type: "unconfirmed" }
  | { readonly type: "escalate"; readonly model: string }
  | {
    readonly type: "failed";
    readonly head: attempts.ResponseHead;
    readonly body: Buffer;
  }
  | check.NoResponseResult;

/** The result of an attempt, or why none was made. */
export type StreamAttemptOutcome =
  | { readonly type: "attempted"; readonly result: StreamAttemptResult }
  | { readonly type: "refused"; readonly refusal: admissions.Refusal };

/** State of one attempt. */
export interface StreamAttempt {
  sent: sends.SentAttempt | undefined;
  verdict: check.HeadVerdict | undefined;
  head: attempts.ResponseHead | undefined;
  result: StreamAttemptResult | undefined;
  readonly splitter: splitting.EventSplitter;
  /** Body of a failure response; events of a successful one are in `splitter`. */
  readonly body: Buffer[];
  bodyBytes: number;
  readonly startedAtMs: number;
  headAtMs: number | undefined;
  /** Time of the newest event, or of the head; bytes that complete no event do not count. */
  lastEventAtMs: number;
  /** Longest time between two events, or between the head and the first one. */
  longestGapMs: number;
  /** Tokens that its output takes beyond those expected. */
  extraTokens: number;
  /** It goes on where an earlier attempt broke off. */
  readonly isResumed: boolean;
  /** The replica has processed the prompt. */
  isPrefilled: boolean;
  readonly pace: paces.StreamPaceTracker;
  /** The replica or the connection ended the attempt, not this process. */
  isBrokenOff: boolean;
}

/** Creates the state of an attempt that is about to be sent. */
export function createStreamAttempt(
  startedAtMs: number,
  options: { readonly isResumable: boolean },
  lastEventId: string | undefined,
): StreamAttempt {
  return {
    sent: undefined,
    verdict: undefined,
    head: undefined,
    result: undefined,
    splitter: new splitting.EventSplitter({ checksIds: options.isResumable }),
    body: [],
    bodyBytes: 0,
    startedAtMs,
    headAtMs: undefined,
    lastEventAtMs: startedAtMs,
    longestGapMs: 0,
    extraTokens: 0,
    isResumed: lastEventId !== undefined,
    isPrefilled: false,
    pace: new paces.StreamPaceTracker(),
    isBrokenOff: false,
  };
}

/** Records that events have arrived. */
export function recordEvents(current: StreamAttempt, nowMs: number): void {
  current.longestGapMs = Math.max(
    current.longestGapMs,
    nowMs - current.lastEventAtMs,
  );
  current.lastEventAtMs = nowMs;
}

/** Keeps a part of the body of a failure response; returns false if it is too long. */
export function addFailureBody(current: StreamAttempt, chunk: Buffer): boolean {
  current.bodyBytes += chunk.length;
  if (current.bodyBytes > MAX_FAILURE_BODY_BYTES) return false;
  current.body.push(chunk);
  return true;
}

/** A success of another kind does not go on where the response that was begun broke off. */
export function restrictToContinuation(
  verdict: check.HeadVerdict,
  head: attempts.ResponseHead,
  begun: attempts.ResponseHead | undefined,
): check.HeadVerdict {
  if (verdict !== "success" || begun === undefined) return verdict;
  const isSameKind = head.status === begun.status &&
    head.headers["content-type"] === begun.headers["content-type"];
  return isSameKind ? "success" : "unusable";
}

/** Whether the replica broke off the attempt before the first event of its answer. */
export function isLostBeforeAnswer(
  { result, isBrokenOff, splitter }: StreamAttempt,
): boolean {
  return result?.type === "lost" && isBrokenOff && splitter.count === 0;
}

/** Classifies the end of an attempt. */
export function classifyEnd(
  current: StreamAttempt,
  end: attempts.AttemptEnd,
): StreamAttemptResult {
  const { verdict, head } = current;
  const noResponse = check.classifyNoResponse(end, verdict);
  if (noResponse !== undefined) return noResponse;
  if (head === undefined) return { type: "lost", reason: "no response" };
  if (verdict === "failure") {
    return { type: "failed", head, body: Buffer.concat(current.body) };
  }
  if (current.splitter.hasPartialEvent) {
    return { type: "lost", reason: "the stream ended within an event" };
  }
  if (head.isFramed) return { type: "complete" };
  return current.splitter.count > 0 ||
      current.isResumed && verdict === "success"
    ? { type: "unconfirmed" }
    : { type: "lost", reason: "the connection ended before any event" };
}

/** Whether an attempt received all that its replica sent, up to an orderly end. */
export function isWhole({ type }: StreamAttemptResult): boolean {
  return type === "complete" || type === "unconfirmed";
}

/** Why a stream does not go on after an attempt. */
export function describeResult(result: StreamAttemptResult): string {
  if (result.type === "unconfirmed") return "the connection ended";
  return "reason" in result ? result.reason : result.type;
}

/** What the result of an attempt that ran says about its replica. */
export function classifyRun(
  result: StreamAttemptResult,
): "lost" | "failed" | "whole" {
  if (result.type === "lost") return "lost";
  const hasFailed = result.type === "failed" &&
    check.isServerError(result.head.status);
  return hasFailed ? "failed" : "whole";
}

/** Progress of an attempt for the log, in whole milliseconds. */
export function describeTimes(
  { head, headAtMs, startedAtMs, longestGapMs, splitter }: StreamAttempt,
): {
  /** Complete events. */
  readonly events: number;
  /** Time from the start to the head of the response. */
  readonly headMs: number | undefined;
  readonly longestGapMs: number;
  /** Whether a length or chunks mark the end of the response; absent without a head. */
  readonly isFramed: boolean | undefined;
} {
  return {
    events: splitter.count,
    headMs: headAtMs === undefined
      ? undefined
      : Math.round(headAtMs - startedAtMs),
    longestGapMs: Math.round(longestGapMs),
    isFramed: head?.isFramed,
  };
}

/** Why a stream that did not begin is answered with an error. */
export function classifyFailure(
  { hasRun, isLate }: { readonly hasRun: boolean; readonly isLate: boolean },
): kernel.ErrorKind {
  if (!hasRun) return "overloaded";
  return isLate ? "deadline-after-run" : "upstream-failed";
}

/** Time-out for the first byte of a stream. */
export function computeFirstByteTimeoutMs(
  { route, fields }: Pick<requests.AdmittedRequest, "route" | "fields">,
): number {
  return FIRST_BYTE_TIMEOUT_FACTOR * route.targetLatencyMs +
    fields.promptTokens / SHARED_PREFILL_TOKENS_PER_MS;
}

/** Time to the head of an attempt's response, and what it says about the version's pace. */
export function measureStart(current: StreamAttempt): {
  readonly latencyMs: number | undefined;
  /** Time to the head; absent if it says nothing. */
  readonly paceMs: number | undefined;
} {
  const { headAtMs, startedAtMs, sent } = current;
  if (headAtMs === undefined) {
    return { latencyMs: undefined, paceMs: undefined };
  }
  const latencyMs = headAtMs - startedAtMs;
  // The wait behind other prompts says nothing about the version.
  const hasWaited = (sent?.queuedMs ?? 0) > MAX_QUEUED_FOR_PACE_MS;
  return { latencyMs, paceMs: hasWaited ? undefined : latencyMs };
}
