/** State of one attempt of a stream exchange, and the classification of its end. */
import * as check from "./response_check.ts";
import type * as attempts from "./attempt.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as splitting from "./event_splitter.ts";

/** Result of one attempt. */
export type StreamAttemptResult =
  | { readonly type: "complete" }
  | { readonly type: "escalate"; readonly model: string }
  | {
    readonly type: "failed";
    readonly head: attempts.ResponseHead;
    readonly body: Buffer;
  }
  | check.NoResponseResult;

/** State of one attempt. */
export interface StreamAttempt {
  sent: dispatchers.SentAttempt | undefined;
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
  /** The replica has processed the prompt. */
  isPrefilled: boolean;
}

/** Classifies the end of an attempt; a possibly truncated stream counts as lost. */
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
  return head.isFramed
    ? { type: "complete" }
    : { type: "lost", reason: "unframed response; it may be truncated" };
}
