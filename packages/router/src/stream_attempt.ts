/** One attempt at a stream: its state, and what its end means. */
import * as responseChecks from "./response_check.ts";
import type * as attempts from "./attempt.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as splitting from "./event_splitter.ts";

/** How one attempt ended. */
export type StreamAttemptResult =
  | { readonly type: "complete" }
  | { readonly type: "escalate"; readonly model: string }
  | {
    readonly type: "failed";
    readonly head: attempts.ResponseHead;
    readonly body: Buffer;
  }
  | responseChecks.NoResponseResult;

/** One attempt's state. */
export interface StreamAttempt {
  sent: dispatchers.SentAttempt | undefined;
  verdict: responseChecks.HeadVerdict | undefined;
  head: attempts.ResponseHead | undefined;
  result: StreamAttemptResult | undefined;
  readonly splitter: splitting.EventSplitter;
  readonly body: Buffer[];
  readonly startedAtMs: number;
  headAtMs: number | undefined;
  lastDataAtMs: number;
  isPrefilled: boolean;
}

/** Judges the end of an attempt: a stream is complete only if nothing hints at a cut. */
export function classifyEnd(
  current: StreamAttempt,
  end: attempts.AttemptEnd,
): StreamAttemptResult {
  const { verdict, head } = current;
  const unanswered = responseChecks.classifyNoResponse(end, verdict);
  if (unanswered !== undefined) return unanswered;
  if (head === undefined) return { type: "lost", reason: "no answer" };
  if (verdict === "failure") {
    return { type: "failed", head, body: Buffer.concat(current.body) };
  }
  if (current.splitter.hasPartialEvent) {
    return { type: "lost", reason: "the stream ended within an event" };
  }
  return head.isFramed
    ? { type: "complete" }
    : { type: "lost", reason: "the connection's end may be a cut" };
}
