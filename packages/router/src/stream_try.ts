/** One attempt at a stream: its state, and what its end means. */
import type * as check from "./answer_check.ts";
import type * as attempts from "./attempt.ts";
import type * as dispatchers from "./dispatcher.ts";
import type * as splitting from "./event_splitter.ts";

/** How one attempt ended. */
export type TryResult =
  | { readonly type: "complete" }
  | { readonly type: "escalate"; readonly model: string }
  | {
    readonly type: "failed";
    readonly head: attempts.AnswerHead;
    readonly body: Buffer;
  }
  | { readonly type: "not-run"; readonly reason: string }
  | { readonly type: "lost"; readonly reason: string };

/** One attempt's state. */
export interface Try {
  sent: dispatchers.Sent | undefined;
  verdict: check.HeadVerdict | undefined;
  head: attempts.AnswerHead | undefined;
  result: TryResult | undefined;
  readonly splitter: splitting.EventSplitter;
  readonly body: Buffer[];
  readonly startedAtMs: number;
  headAtMs: number | undefined;
  newestAtMs: number;
  isRead: boolean;
}

/** Judges the end of an attempt: a stream is complete only if nothing hints at a cut. */
export function judgeEnd(current: Try, end: attempts.AttemptEnd): TryResult {
  if (end.type === "unsent") return { type: "not-run", reason: end.reason };
  const { verdict, head } = current;
  if (verdict === "not-run" || verdict === "misdirected") {
    const reason = verdict === "misdirected"
      ? verdict
      : "refused by the replica";
    return { type: "not-run", reason };
  }
  if (end.type === "lost") return { type: "lost", reason: end.reason };
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
