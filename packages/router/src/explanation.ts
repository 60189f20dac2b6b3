/**
 * Answers where a request would go now, and why, without sending it. The answer
 * comes from the code that admits, holds and places requests; it asks no other
 * process, and changes nothing.
 */
import * as decisions from "@jackdawbank/decisions";
import * as neverthrow from "neverthrow";
import type * as admissions from "./admission.ts";
import type * as control from "./control_task.ts";
import type * as dispatchers from "./dispatcher.ts";
import * as firstModels from "./first_model.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

/** Largest question, in bytes. */
export const MAX_QUESTION_BYTES = 65_536;
const MAX_TEXT_CHARS = 1_024;
const MAX_PARTS = 256;
const MAX_TOKENS = 10_000_000;
const MAX_BODY_BYTES = 1_048_576;
const MAX_DEADLINE_MS = 3_600_000;
/** Seed of the draws that a request's own ID decides. */
const DEFAULT_REQUEST_ID = "explain";

/** A request as an operator describes it. */
export interface Question {
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  /** Name of the client account; absent for a request without a key. */
  readonly account: string | undefined;
  readonly session: string | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly parts: readonly ports.PromptPart[];
  readonly bodyBytes: number;
  readonly deadlineMs: number | undefined;
}

type Fields = Readonly<Record<string, unknown>>;

class QuestionError extends Error {}

function readText(fields: Fields, name: string): string | undefined {
  const value = fields[name];
  if (value === undefined) return undefined;
  const isText = typeof value === "string" && value.length > 0 &&
    value.length <= MAX_TEXT_CHARS;
  if (isText) return value;
  throw new QuestionError(
    `${name} must be a text of 1 to ${MAX_TEXT_CHARS} characters`,
  );
}

function readNeededText(fields: Fields, name: string): string {
  const text = readText(fields, name);
  if (text === undefined) throw new QuestionError(`${name} is missing`);
  return text;
}

function readCount(fields: Fields, name: string, most: number): number {
  const value = fields[name] ?? 0;
  const isCount = typeof value === "number" && Number.isInteger(value) &&
    value >= 0 && value <= most;
  if (isCount) return value;
  throw new QuestionError(`${name} must be a whole number from 0 to ${most}`);
}

function isRecord(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function readParts(fields: Fields): readonly ports.PromptPart[] {
  const { parts = [] } = fields;
  if (!Array.isArray(parts) || parts.length > MAX_PARTS) {
    throw new QuestionError(`parts must be a list of at most ${MAX_PARTS}`);
  }
  return parts.map((part: unknown) => {
    if (!isRecord(part)) throw new QuestionError("a part must be an object");
    return {
      id: readNeededText(part, "id"),
      tokens: readCount(part, "tokens", MAX_TOKENS),
    };
  });
}

const FIELD_NAMES: ReadonlySet<string> = new Set([
  "requestId",
  "host",
  "path",
  "account",
  "session",
  "model",
  "promptTokens",
  "outputTokens",
  "parts",
  "bodyBytes",
  "deadlineMs",
]);

function readQuestion(fields: Fields): Question {
  const unknown = Object.keys(fields).find((name) => !FIELD_NAMES.has(name));
  if (unknown !== undefined) {
    throw new QuestionError(
      `unknown field ${JSON.stringify(unknown.slice(0, MAX_TEXT_CHARS))}`,
    );
  }
  const path = readNeededText(fields, "path");
  if (!path.startsWith("/")) throw new QuestionError("path must begin with /");
  return {
    requestId: readText(fields, "requestId") ?? DEFAULT_REQUEST_ID,
    host: readNeededText(fields, "host").toLowerCase(),
    path,
    account: readText(fields, "account"),
    session: readText(fields, "session"),
    model: readText(fields, "model"),
    promptTokens: readCount(fields, "promptTokens", MAX_TOKENS),
    outputTokens: readCount(fields, "outputTokens", MAX_TOKENS),
    parts: readParts(fields),
    bodyBytes: readCount(fields, "bodyBytes", MAX_BODY_BYTES),
    deadlineMs: fields["deadlineMs"] === undefined
      ? undefined
      : readCount(fields, "deadlineMs", MAX_DEADLINE_MS),
  };
}

/** Parses a question; the error says what is wrong with it. */
export function parseQuestion(
  text: string,
): neverthrow.Result<Question, string> {
  try {
    const data: unknown = JSON.parse(text);
    return isRecord(data)
      ? neverthrow.ok(readQuestion(data))
      : neverthrow.err("the question must be an object");
  } catch (thrown) {
    return neverthrow.err(
      thrown instanceof QuestionError
        ? thrown.message
        : "the question is not JSON",
    );
  }
}

/** Answers questions of operators. */
export class Explainer {
  readonly #dispatcher: dispatchers.Dispatcher;
  readonly #control: Pick<control.ControlTask, "routeIndex" | "viewAgeMs">;

  constructor(
    dispatcher: dispatchers.Dispatcher,
    control: Pick<control.ControlTask, "routeIndex" | "viewAgeMs">,
  ) {
    this.#dispatcher = dispatcher;
    this.#control = control;
  }

  /** Says where a request would go now; the answer holds no key, nor its digest. */
  explain(question: Question): neverthrow.Result<unknown, string> {
    const keySha256 = this.#findKey(question.account);
    if (question.account !== undefined && keySha256 === undefined) {
      return neverthrow.err(
        "account is not in the configuration, or has no key",
      );
    }
    const { admission, settings, places } = this.#dispatcher.dependencies;
    const view = {
      vm: settings.vmName,
      dataCentre: settings.dataCentre,
      revision: this.#control.routeIndex?.table.revision,
      viewAgeMs: round(this.#control.viewAgeMs),
      evacuatedDataCentres: places.listEvacuated(),
    };
    const admitted = admission.admit(
      buildRequest(question, keySha256, this.#dispatcher.nowMs),
    );
    return neverthrow.ok(
      admitted.isErr()
        ? { view, refusal: renderRefusal(admitted.error) }
        : { view, ...this.#describe(admitted.value) },
    );
  }

  #findKey(account: string | undefined): string | undefined {
    return this.#control.routeIndex?.table.accounts.find(({ name }) =>
      name === account
    )?.keysSha256[0];
  }

  #describe(request: requests.AdmittedRequest) {
    const { fleet } = this.#dispatcher.dependencies;
    const model = firstModels.chooseFirstModel(request);
    const preview = this.#dispatcher.preview(request, model);
    const { placement, weighed, refusal, room } = preview;
    const { homeDataCentres, heldBackDataCentres, reserved } = placement;
    const fitting = new Set(
      weighed.costed.flatMap(({ candidate: { memoryShare, state } }) =>
        decisions.fitsMemory(memoryShare) ? [state.entry.id] : []
      ),
    );
    const candidates = weighed.costed.map(({ candidate, costMs, terms }) => {
      const { entry, key } = candidate.state;
      const ratePerS = fleet.readRate(key);
      return {
        replica: entry.id,
        dataCentre: entry.dataCentre,
        version: entry.version,
        inFlight: candidate.inFlight,
        slots: candidate.slots,
        cachedTokens: candidate.cachedTokens,
        ...(ratePerS === undefined ? {} : {
          ratePerS,
          rateWaitMs: round(fleet.findRateWaitMs(key, reserved)),
          isCold: fleet.isCold(key),
        }),
        costMs: round(costMs),
        terms: Object.fromEntries(
          Object.entries(terms).map((
            [name, ms],
          ) => [name, round(ms as number)]),
        ),
      };
    }).toSorted((a, b) => a.costMs - b.costMs);
    const chosen = candidates.find(({ replica }) => fitting.has(replica)) ??
      candidates[0];
    return {
      route: request.route.name,
      account: request.account?.name,
      service: request.service,
      model,
      versionPreference: placement.versionPreference,
      homeDataCentres: homeDataCentres && [...homeDataCentres],
      heldBackDataCentres: heldBackDataCentres && [...heldBackDataCentres],
      activeReplicas: weighed.active,
      usableReplicas: weighed.usable,
      room: room && {
        backlogMs: round(room.backlogMs),
        shareRatio: Number(room.shareRatio.toFixed(2)),
        decision: room.isHopeless ? "refuse" : room.turn.type,
        reason: room.turn.reason,
        waitMs: round(room.turn.waitMs),
      },
      refusal: refusal && renderRefusal(refusal),
      candidates,
      chosen: refusal === undefined && room?.isHopeless !== true
        ? chosen?.replica
        : undefined,
    };
  }
}

function round(value: number): number {
  return Number.isFinite(value) ? Number(value.toFixed(1)) : value;
}

function renderRefusal({ error, retryAfterMs }: admissions.Refusal) {
  const { kind, message } = error;
  return { kind, message, retryAfterMs };
}

function buildRequest(
  question: Question,
  keySha256: string | undefined,
  nowMs: number,
): requests.IncomingRequest {
  return {
    requestId: question.requestId,
    method: "POST",
    target: question.path,
    hostName: question.host,
    fields: {
      attemptId: undefined,
      deadlineMs: question.deadlineMs,
      keySha256,
      session: question.session,
      model: question.model,
      promptTokens: question.promptTokens,
      maxOutputTokens: question.outputTokens,
      expectedOutputTokens: question.outputTokens,
      promptParts: question.parts,
      lastEventId: undefined,
      forwardedHeaders: [],
    },
    body: Buffer.alloc(question.bodyBytes),
    receivedAtMs: nowMs,
    signal: new AbortController().signal,
  };
}
