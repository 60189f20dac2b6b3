/** Classifies replica responses: valid, refused without being run, failed or unusable. */
import type * as attempts from "./attempt.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

const MIN_SUCCESS_STATUS = 200;
const MIN_FAILURE_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;
/** Statuses that tell a caller that its request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Status of another replica, which has the address now. */
export const MISDIRECTED = 421;

/** Classification of a response by its status and headers. */
export type HeadVerdict =
  /** The response carries the ID of another request. */
  | "mismatched"
  /** The replica did not run the request. */
  | "not-run"
  /** Another replica has the address. */
  | "misdirected"
  | "success"
  /** An error of the replica or the request, forwarded unchanged. */
  | "failure"
  /** The response must not be forwarded. */
  | "unusable";

/** Whether responses of a status never have a body, so that their head is all of them. */
export function hasNoBody(status: number): boolean {
  return status === HTTP_NO_CONTENT || status === HTTP_NOT_MODIFIED;
}

/** Classifies a response by its status and headers. */
export function classifyHead(
  request: requests.IncomingRequest,
  head: attempts.ResponseHead,
  fields: ports.ResponseFields,
): HeadVerdict {
  const isOther = fields.attemptId !== undefined &&
    fields.attemptId !== request.fields.attemptId;
  if (isOther) return "mismatched";
  // Without an ID it may be the late response to an earlier request.
  const isDoubtful = fields.attemptId === undefined && head.isOnUsedConnection;
  if (isDoubtful) return "unusable";
  if (head.status === MISDIRECTED) return "misdirected";
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
  // The status would tell the caller "not run", which the replica did not state.
  return NOT_RUN_STATUSES.has(head.status) ? "unusable" : "failure";
}

/** Whether a failure was caused by the replica, not by the request. */
export function isServerError(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS;
}

/** Result of an attempt without a usable response. */
export type NoResponseResult =
  | { readonly type: "not-run"; readonly reason: string }
  | { readonly type: "lost"; readonly reason: string };

/** Classifies an attempt without a usable response; returns undefined if there is a response. */
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
