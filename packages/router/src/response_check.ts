/** What a replica's answer is worth: ours and whole, refused unrun, or a failure. */
import type * as attempts from "./attempt.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

const MIN_SUCCESS_STATUS = 200;
const MIN_FAILURE_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
/** Statuses by which a caller is promised that nothing ran. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MISDIRECTED_STATUS = 421;

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
export function classifyHead(
  request: requests.IncomingRequest,
  head: attempts.ResponseHead,
  fields: ports.ResponseFields,
): HeadVerdict {
  const isOtherAttempt = fields.attemptId !== undefined &&
    fields.attemptId !== request.fields.attemptId;
  if (isOtherAttempt) return "foreign";
  if (head.status === MISDIRECTED_STATUS) return "misdirected";
  if (fields.isNotExecuted) return "not-run";
  if (
    !fields.hasSignature || fields.hasContentEncoding ||
    fields.attemptId === undefined
  ) {
    return "unusable";
  }
  if (head.status >= MIN_SUCCESS_STATUS && head.status < MIN_FAILURE_STATUS) {
    return "success";
  }
  // A promise that the replica does not vouch for must not reach the caller.
  return NOT_RUN_STATUSES.has(head.status) ? "unusable" : "failure";
}

/** Tells whether a failure is the replica's, not the caller's. */
export function isServerError(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS;
}

/** How an attempt ended that brought no answer to judge. */
export type NoResponseResult =
  | { readonly type: "not-run"; readonly reason: string }
  | { readonly type: "lost"; readonly reason: string };

/** Whether an attempt ended without an answer, and if so, whether it may have run. */
export function classifyNoResponse(
  end: attempts.AttemptEnd,
  verdict: HeadVerdict | undefined,
): NoResponseResult | undefined {
  if (end.type === "unsent") return { type: "not-run", reason: end.reason };
  if (verdict === "misdirected") return { type: "not-run", reason: verdict };
  if (verdict === "not-run") {
    return { type: "not-run", reason: "refused by the replica" };
  }
  return end.type === "lost" ? { type: "lost", reason: end.reason } : undefined;
}
