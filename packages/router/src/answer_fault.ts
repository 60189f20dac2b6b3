/** Why an answer is given up that costs too much, or is no answer. */

export type AnswerFault =
  | "framing"
  | "informational"
  | "no-content"
  | "long-event"
  | "long-body"
  | "invalid-id";

const REASONS: Readonly<Record<AnswerFault, string>> = {
  "framing": "too many bytes beside the body of the response",
  "informational": "too many informational responses",
  "no-content": "too many bytes of the stream carry no event",
  "long-event": "an event is too long",
  "long-body": "the response is too long",
  "invalid-id": "the ID of an event is invalid",
};

export function describeFault(fault: AnswerFault): string {
  return REASONS[fault];
}
