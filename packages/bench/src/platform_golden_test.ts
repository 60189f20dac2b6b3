/** Compares the decision log of a whole session on the platform with a golden file. */
import * as ava from "ava";
import type * as fakes from "@jackdawbank/fakes";
import * as goldens from "./golden.ts";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, DRAFT } = harnesses;

/** Fields that the golden file contains: not times, ages and counts, which differ between runs. */
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

/** Renders log lines. Replicas are numbered within each request, as the choice between equal ones is random. */
function render(lines: readonly Readonly<Record<string, unknown>>[]): string {
  const replicaNames = new Map<string, string>();
  const replicaCounts = new Map<string, number>();
  const renderValue = (
    field: string,
    line: Readonly<Record<string, unknown>>,
  ) => {
    if (field !== "replica") return String(line[field]);
    const requestId = String(line["requestId"]);
    const key = `${requestId}/${String(line[field])}`;
    const count = replicaCounts.get(requestId) ?? 0;
    const name = replicaNames.get(key) ?? `replica-${count + 1}`;
    if (!replicaNames.has(key)) replicaCounts.set(requestId, count + 1);
    replicaNames.set(key, name);
    return name;
  };
  return lines.map((line) => {
    const fields = SHOWN_FIELDS.filter((field) => line[field] !== undefined)
      .map((field) => `${field}=${renderValue(field, line)}`);
    return `${String(line["event"])} ${fields.join(" ")}\n`;
  }).join("");
}

ava.default(
  "golden: the decision log of a session on the platform",
  (t) =>
    harnesses.withHarness(async (harness) => {
      let deskRequests = 0;
      const answerDesk = (): fakes.ReplicaBehaviour => {
        deskRequests += 1;
        if (deskRequests === 1) return { type: "not-run", status: 503 };
        if (deskRequests === 3) return { type: "failure", status: 500 };
        if (deskRequests === 5) return { type: "reset" };
        return { type: "ok" };
      };
      await harness.addReplica("i-1", "desk", answerDesk);
      await harness.addReplica("i-2", "desk", answerDesk);
      await harness.addReplica("i-3", "llm", (request) => ({
        type: "stream",
        events: 6,
        confidence: harnesses.isSmallModel(request) ? 10 : 95,
      }));
      await harness.start();
      const call = async (id: string, path: string, options: object = {}) => {
        const callOptions = options as {
          readonly headers?: Record<string, string>;
        };
        await harness.call(path, {
          ...options,
          headers: { ...callOptions.headers, "x-jackdawbank-attempt-id": id },
        });
        await harness.waitFor(() =>
          harness.findLogLines("request.ended").some((line) =>
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
      const text = render(harness.findLogLinesOfAny(REQUEST_EVENTS));
      t.is(text, goldens.readGolden("platform_session", text));
    }),
);
