/**
 * What requests of the soak ask for. The path of a request tells the stand-ins how
 * to answer, so that the whole answer can be computed from the request alone.
 */
import * as crypto from "node:crypto";
import * as fakes from "@jackdawbank/fakes";

export const REQUEST_KINDS = [
  "order",
  "pay",
  "check",
  "draft",
  "answer",
  "talk",
] as const;

export type RequestKind = typeof REQUEST_KINDS[number];

/** Routes of the soak; those of `pay`, `answer` and `talk` need no key. */
export const ROUTES: Readonly<
  Record<RequestKind, Omit<fakes.samples.SampleRoute, "name" | "pathPrefix">>
> = {
  order: {
    kind: "non_idempotent",
    isResumable: false,
    isPublic: false,
    timeoutMs: 4_000,
  },
  pay: {
    kind: "non_idempotent",
    isResumable: false,
    isPublic: true,
    timeoutMs: 4_000,
  },
  check: {
    kind: "idempotent",
    isResumable: false,
    isPublic: false,
    timeoutMs: 3_000,
  },
  draft: {
    kind: "streaming",
    isResumable: true,
    isPublic: false,
    timeoutMs: 10_000,
  },
  answer: {
    kind: "streaming",
    isResumable: false,
    isPublic: true,
    timeoutMs: 10_000,
  },
  talk: {
    kind: "streaming",
    isResumable: true,
    isPublic: true,
    timeoutMs: 10_000,
  },
};

/** Whether a request may run more than once. */
export function mayRepeat(kind: RequestKind): boolean {
  return ROUTES[kind].kind === "idempotent" || ROUTES[kind].isResumable;
}

export function isStream(kind: RequestKind): boolean {
  return ROUTES[kind].kind === "streaming";
}

/** How a request is answered. */
export interface Content {
  readonly kind: RequestKind;
  /** Time before the head. */
  readonly delayMs: number;
  /** Of streams. */
  readonly events: number;
  readonly eventIntervalMs: number;
  /** Of each event, or of a plain answer. */
  readonly bytes: number;
}

export function encodePath(content: Content): string {
  const { kind, ...fields } = content;
  const query = Object.entries(fields).map(([name, value]) =>
    `${name}=${value}`
  );
  return `/${kind}/run?${query.join("&")}`;
}

/** Returns undefined for a path that is no request's, such as a health check's. */
export function decodePath(path: string): Content | undefined {
  const url = new URL(path, "http://replica");
  const kind = REQUEST_KINDS.find((name) => url.pathname === `/${name}/run`);
  if (kind === undefined) return undefined;
  const read = (name: string) => Number(url.searchParams.get(name));
  return {
    kind,
    delayMs: read("delayMs"),
    events: read("events"),
    eventIntervalMs: read("eventIntervalMs"),
    bytes: read("bytes"),
  };
}

/** Label of an answer: whose it is, and which model made it. */
export function renderLabel(attemptId: string, model: string): string {
  return `${attemptId} by ${model}`;
}

/** The whole body of an answer to a request. */
export function renderBody(content: Content, label: string): string {
  if (!isStream(content.kind)) return `${label} ${"x".repeat(content.bytes)}`;
  let body = "";
  for (let event = 1; event <= content.events; event += 1) {
    body += fakes.renderEvent(event, { label, eventBytes: content.bytes });
  }
  return body;
}

/** A number in [0, 1) that depends on the text alone. */
export function drawFromText(text: string): number {
  const digest = crypto.createHash("sha256").update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}
