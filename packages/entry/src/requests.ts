/** What the rest of an entry needs of a caller's request, and how it is answered. */
import type * as bundle from "@jackdawbank/bundle";
import type * as decisions from "@jackdawbank/decisions";
import type * as mesh from "@jackdawbank/mesh";
import type * as attempts from "./attempt.ts";

/** A request of an authenticated client account. */
export interface CallerRequest {
  readonly requestId: string;
  readonly account: bundle.Account;
  readonly deadlineAtMs: number;
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** A chat request. */
export interface ModelRequest extends CallerRequest {
  /** Name of a model or of a cascade. */
  readonly model: string;
  readonly isStreamed: boolean;
  readonly wantsUsage: boolean;
  readonly promptChars: number;
  /** How the first message begins. */
  readonly promptStart: string;
  readonly arrivedAtMs: number;
  /** Start of the prompt, for prefix affinity. */
  readonly prefixKey: string;
  readonly pin: decisions.SessionPin;
  readonly hasSession: boolean;
}

/** Tells a chat request from a call of a service. */
export function isModelRequest(
  request: CallerRequest,
): request is ModelRequest {
  return "model" in request;
}

/** A call of a plain service. */
export interface ServiceRequest extends CallerRequest {
  readonly service: bundle.Service;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** An answer whose head has arrived. */
export interface StartedResponse {
  readonly attempt: attempts.Attempt;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly isReplay: boolean;
  /** `model@version`, or `service:name`. */
  readonly item: string;
  readonly movedFrom: string | undefined;
  /** The pin as it stands after the choice of the version. */
  readonly pin: decisions.SessionPin | undefined;
}

/** A whole answer. */
export interface CompleteResponse extends StartedResponse {
  readonly body: Uint8Array;
  readonly usage: mesh.Usage;
}
