/** A whole session on the platform, as the decision log tells it. */
import * as ava from "ava";
import type * as fakes from "@jackdawbank/fakes";
import * as golden from "./golden.ts";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, DRAFT } = harnesses;

/** Fields that tell the story; times, ages and counts differ from run to run. */
const SHOWN_FIELDS = [
  "requestId",
  "route",
  "account",
  "replica",
  "version",
  "model",
  "earlierSends",
  "confidence",
  "escalatesTo",
  "outcome",
  "status",
  "reason",
  "tableRevision",
] as const;
const REQUEST_EVENTS = [
  "attempt.sent",
  "attempt.ended",
  "answer.judged",
  "request.ended",
] as const;

/** Names replicas anew for each request: which of two equals comes first is drawn by lot. */
function render(lines: readonly Readonly<Record<string, unknown>>[]): string {
  const names = new Map<string, string>();
  const counts = new Map<string, number>();
  const show = (field: string, line: Readonly<Record<string, unknown>>) => {
    if (field !== "replica") return String(line[field]);
    const requestId = String(line["requestId"]);
    const key = `${requestId}/${String(line[field])}`;
    const count = counts.get(requestId) ?? 0;
    const name = names.get(key) ?? `replica-${count + 1}`;
    if (!names.has(key)) counts.set(requestId, count + 1);
    names.set(key, name);
    return name;
  };
  return lines.map((line) => {
    const fields = SHOWN_FIELDS.filter((field) => line[field] !== undefined)
      .map((field) => `${field}=${show(field, line)}`);
    return `${String(line["event"])} ${fields.join(" ")}\n`;
  }).join("");
}

ava.default(
  "a session on the platform reads as its golden file says",
  (t) =>
    harnesses.withHarness(async (harness) => {
      let desk = 0;
      const answerDesk = (): fakes.ReplicaBehaviour => {
        desk += 1;
        if (desk === 1) return { type: "not-run", status: 503 };
        if (desk === 3) return { type: "failure", status: 500 };
        if (desk === 5) return { type: "reset" };
        return { type: "ok" };
      };
      await harness.addReplica("i-1", "desk", answerDesk);
      await harness.addReplica("i-2", "desk", answerDesk);
      await harness.addReplica("i-3", "llm", (seen) => ({
        type: "stream",
        events: 6,
        confidence: harnesses.isSmallModel(seen) ? 10 : 95,
      }));
      await harness.start();
      const call = async (id: string, path: string, options: object = {}) => {
        const given = options as { readonly headers?: Record<string, string> };
        await harness.call(path, {
          ...options,
          headers: { ...given.headers, "x-jackdawbank-attempt-id": id },
        });
        await harness.waitFor(() =>
          harness.listLog("request.ended").some((line) =>
            line["requestId"] === id
          )
        );
      };
      const order = { method: "POST", body: "1" };
      await call("order-not-run-at-first", ROUTES.order, order);
      await call("check-failed-at-first", ROUTES.check);
      await call("order-without-answer", ROUTES.order, order);
      await call("draft-of-low-confidence", ROUTES.draft, DRAFT);
      await call("unknown-key", ROUTES.check, { key: "wrong" });
      await call("unknown-route", "/none/");
      const text = render(harness.listLogs(REQUEST_EVENTS));
      t.is(text, golden.readGolden("platform_session", text));
    }),
);
