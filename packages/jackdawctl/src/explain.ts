/** Asks a running entry where a request would go now. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as output from "./output.ts";

const TIMEOUT_MS = 5_000;
const MAX_ANSWER_BYTES = 1_048_576;
const WHOLE_NUMBER_PATTERN = /^\d+$/;
const PART_PATTERN = /^([^:,]+):(\d+)$/;

/** Options of the command, as commander parses them. */
export interface ExplainOptions {
  readonly entry: string;
  readonly host: string;
  readonly path: string;
  readonly account?: string;
  readonly session?: string;
  readonly model?: string;
  readonly promptTokens?: string;
  readonly outputTokens?: string;
  readonly parts?: string;
  readonly bodyBytes?: string;
  readonly deadlineMs?: string;
  readonly json?: boolean;
}

interface Costed {
  readonly replica: string;
  readonly dataCentre: string;
  readonly version: string;
  readonly inFlight: number;
  readonly costMs: number;
  readonly rateWaitMs?: number;
  readonly terms: Readonly<Record<string, number>>;
}

interface Explanation extends Readonly<Record<string, unknown>> {
  readonly candidates?: readonly Costed[];
}

const COUNTS = [
  "promptTokens",
  "outputTokens",
  "bodyBytes",
  "deadlineMs",
] as const;

function parseParts(
  text: string,
): kernel.Outcome<readonly Readonly<Record<string, unknown>>[]> {
  const parts = text.split(",").map((part) => PART_PATTERN.exec(part.trim()));
  if (parts.some((match) => match === null)) {
    return kernel.fail("bad-request", "--parts must be ID:TOKENS,ID:TOKENS");
  }
  return neverthrow.ok(
    parts.map((match) => ({ id: match?.[1], tokens: Number(match?.[2]) })),
  );
}

function buildQuestion(
  options: ExplainOptions,
): kernel.Outcome<Readonly<Record<string, unknown>>> {
  const { host, path, account, session, model } = options;
  const bad = COUNTS.find((name) =>
    !WHOLE_NUMBER_PATTERN.test(options[name] ?? "0")
  );
  if (bad !== undefined) {
    return kernel.fail("bad-request", `${bad} must be a whole number`);
  }
  const counts = Object.fromEntries(
    COUNTS.filter((name) => options[name] !== undefined).map((
      name,
    ) => [name, Number(options[name])]),
  );
  const parts = options.parts === undefined
    ? neverthrow.ok([])
    : parseParts(options.parts);
  return parts.map((list) => ({
    host,
    path,
    account,
    session,
    model,
    ...counts,
    parts: list,
  }));
}

async function ask(
  entry: string,
  question: Readonly<Record<string, unknown>>,
): Promise<kernel.Outcome<Explanation>> {
  try {
    const response = await undici.request(`http://${entry}/explain`, {
      method: "POST",
      body: JSON.stringify(question),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const text = await response.body.text();
    if (text.length > MAX_ANSWER_BYTES) {
      return kernel.fail("bad-request", "the answer is too long");
    }
    const data = JSON.parse(text) as Explanation;
    return response.statusCode < 300
      ? neverthrow.ok(data)
      : kernel.fail("bad-request", `the entry refused: ${data["error"]}`);
  } catch (thrown) {
    return kernel.fail(
      "store-unavailable",
      `no answer from ${entry}: ${kernel.describeThrown(thrown)}`,
    );
  }
}

function render({ candidates = [], ...rest }: Explanation): string {
  const lines = Object.entries(rest).map(([name, value]) =>
    `${name}: ${typeof value === "string" ? value : JSON.stringify(value)}`
  );
  if (candidates.length === 0) return lines.join("\n");
  const terms = Object.keys(candidates[0]?.terms ?? {});
  const table = output.renderTable(
    [
      "replica",
      "data centre",
      "version",
      "in flight",
      "rate wait",
      "cost ms",
      ...terms,
    ],
    candidates.map((each) => [
      each.replica,
      each.dataCentre,
      each.version,
      String(each.inFlight),
      String(each.rateWaitMs ?? "-"),
      String(each.costMs),
      ...terms.map((name) => String(each.terms[name])),
    ]),
  );
  return [...lines, "", table].join("\n");
}

/** Prints where a request would go now, and why. */
export async function explain(options: ExplainOptions): Promise<void> {
  const question = buildQuestion(options);
  if (question.isErr()) return output.reportError(question.error);
  const explanation = await ask(options.entry, question.value);
  if (explanation.isErr()) return output.reportError(explanation.error);
  output.printData(explanation.value, options, render);
}
