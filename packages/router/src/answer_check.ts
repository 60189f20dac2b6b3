/** What a replica's answer is worth: ours and whole, refused unrun, or a failure. */
import type * as attempts from "./attempt.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

const SUCCESS_FROM = 200;
const FAILURE_FROM = 300;
const SERVER_ERROR_FROM = 500;
/** Statuses by which a caller is promised that nothing ran. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MISDIRECTED = 421;

/** How an answer's head is taken. */
export type HeadVerdict =
  /** It belongs to another request. */
  | "foreign"
  /** The replica did not run the request. */
  | "not-run"
  /** Another replica has the address. */
  | "misdirected"
  | "success"
  /** The replica's own failure, to be passed on as it is. */
  | "failure"
  /** No answer that may be passed on. */
  | "unusable";

/** Judges the head of an answer. */
export function judgeHead(
  request: requests.IncomingRequest,
  head: attempts.AnswerHead,
  answer: ports.ResponseFields,
): HeadVerdict {
  const isOther = answer.attemptId !== undefined &&
    answer.attemptId !== request.fields.attemptId;
  if (isOther) return "foreign";
  if (head.status === MISDIRECTED) return "misdirected";
  if (answer.isNotExecuted) return "not-run";
  if (
    !answer.hasSignature || answer.hasContentEncoding ||
    answer.attemptId === undefined
  ) {
    return "unusable";
  }
  if (head.status >= SUCCESS_FROM && head.status < FAILURE_FROM) {
    return "success";
  }
  // A promise that the replica does not vouch for must not reach the caller.
  return PROMISES.has(head.status) ? "unusable" : "failure";
}

/** Tells whether a failure is the replica's, not the caller's. */
export function isServerError(status: number): boolean {
  return status >= SERVER_ERROR_FROM;
}

/** How an attempt ended that brought no answer to judge. */
export type Unanswered =
  | { readonly type: "not-run"; readonly reason: string }
  | { readonly type: "lost"; readonly reason: string };

/** Whether an attempt ended without an answer, and if so, whether it may have run. */
export function judgeUnanswered(
  end: attempts.AttemptEnd,
  verdict: HeadVerdict | undefined,
): Unanswered | undefined {
  if (end.type === "unsent") return { type: "not-run", reason: end.reason };
  if (verdict === "misdirected") return { type: "not-run", reason: verdict };
  if (verdict === "not-run") {
    return { type: "not-run", reason: "refused by the replica" };
  }
  return end.type === "lost" ? { type: "lost", reason: end.reason } : undefined;
}
