/**
 * Error kinds and the response that a caller gets for each.
 *
 * `notRun` is a guarantee to the caller: `true` means that the request was not
 * sent to any upstream, `unknown` means that it may have been run.
 */
import * as neverthrow from "neverthrow";

/** What a caller is told for an error kind. */
export interface ErrorResponse {
  readonly status: number;
  readonly notRun: true | "unknown";
  readonly retry: "never" | "later" | "same-key";
}

/** Responses by error kind; the keys are all error kinds. */
export const ERROR_RESPONSES = {
  "bad-request": { status: 400, notRun: true, retry: "never" },
  "unauthenticated": { status: 401, notRun: true, retry: "never" },
  "model-not-allowed": { status: 403, notRun: true, retry: "never" },
  "service-not-allowed": { status: 403, notRun: true, retry: "never" },
  "unknown-model": { status: 404, notRun: true, retry: "never" },
  "unknown-service": { status: 404, notRun: true, retry: "never" },
  "not-found": { status: 404, notRun: true, retry: "never" },
  "request-timeout": { status: 408, notRun: true, retry: "later" },
  "body-too-large": { status: 413, notRun: true, retry: "never" },
  "headers-too-large": { status: 431, notRun: true, retry: "never" },
  "key-reused": { status: 422, notRun: true, retry: "never" },
  "key-in-flight": { status: 409, notRun: "unknown", retry: "same-key" },
  "already-run": { status: 409, notRun: "unknown", retry: "never" },
  "account-over-share": { status: 429, notRun: true, retry: "later" },
  "version-withdrawn": { status: 410, notRun: true, retry: "never" },
  "no-bundle": { status: 503, notRun: true, retry: "later" },
  "no-upstream": { status: 503, notRun: true, retry: "later" },
  "overloaded": { status: 503, notRun: true, retry: "later" },
  "stale-configuration": { status: 503, notRun: true, retry: "later" },
  "prompt-quarantined": { status: 503, notRun: true, retry: "later" },
  "request-quarantined": { status: 503, notRun: true, retry: "later" },
  "leaving": { status: 503, notRun: true, retry: "later" },
  "claim-unavailable": { status: 503, notRun: true, retry: "same-key" },
  "claim-moved": { status: 503, notRun: true, retry: "same-key" },
  "deadline-before-run": { status: 504, notRun: true, retry: "later" },
  "deadline-after-run": { status: 504, notRun: "unknown", retry: "same-key" },
  "upstream-failed": { status: 502, notRun: "unknown", retry: "same-key" },
  "upstream-unreachable": { status: 502, notRun: true, retry: "later" },
  "upstream-lost": { status: 502, notRun: "unknown", retry: "same-key" },
  "outcome-unknown": { status: 502, notRun: "unknown", retry: "same-key" },
  "answer-incomplete": { status: 502, notRun: "unknown", retry: "same-key" },
  "cancelled": { status: 499, notRun: "unknown", retry: "never" },
  "bundle-invalid": { status: 422, notRun: true, retry: "never" },
  "bundle-unsigned": { status: 422, notRun: true, retry: "never" },
  "bundle-conflict": { status: 409, notRun: true, retry: "never" },
  "bundle-stale": { status: 409, notRun: true, retry: "never" },
  "store-unavailable": { status: 503, notRun: "unknown", retry: "later" },
  "history-lost": { status: 503, notRun: true, retry: "later" },
  "store-nonsense": { status: 502, notRun: "unknown", retry: "later" },
  "mesh-malformed": { status: 502, notRun: "unknown", retry: "never" },
  "settings-invalid": { status: 500, notRun: true, retry: "never" },
  "internal": { status: 500, notRun: "unknown", retry: "later" },
} as const satisfies Record<string, ErrorResponse>;

export type ErrorKind = keyof typeof ERROR_RESPONSES;

/** A typed error: the kind determines the response, the message explains it to a person. */
export interface AppError {
  readonly kind: ErrorKind;
  readonly message: string;
}

/** Result type of operations that can fail, used by all packages. */
export type Outcome<T> = neverthrow.Result<T, AppError>;

export function makeError(kind: ErrorKind, message: string): AppError {
  return { kind, message };
}

/** Builds a failed result. */
export function fail<T = never>(kind: ErrorKind, message: string): Outcome<T> {
  return neverthrow.err(makeError(kind, message));
}

export function findErrorResponse(kind: ErrorKind): ErrorResponse {
  return ERROR_RESPONSES[kind];
}

/** Whether a string, such as one received from another process, is an error kind. */
export function isErrorKind(value: string): value is ErrorKind {
  return Object.hasOwn(ERROR_RESPONSES, value);
}

/** Returns the message of a thrown value, with the message of its cause. */
export function describeThrown(thrown: unknown): string {
  if (!(thrown instanceof Error)) return String(thrown);
  const cause = thrown.cause instanceof Error
    ? ` (${thrown.cause.message})`
    : "";
  return `${thrown.message}${cause}`;
}

/** Throws if a condition does not hold; the message states the invariant. */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new Error(`Invariant violated: ${message}`);
}
