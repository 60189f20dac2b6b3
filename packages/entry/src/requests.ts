/** Callers' requests and the responses to them, as the parts of an entry share them. */
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
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A chat request. */
export interface ModelRequest extends CallerRequest {
  /** Name of a model or of a cascade. */
  readonly model: string;
  readonly isStreamed: boolean;
  readonly wantsUsage: boolean;
  readonly promptChars: number;
  /** Beginning of the first message. */
  readonly promptStart: string;
  readonly arrivedAtMs: number;
  /** Account, model and start of the prompt: the affinity key of requests without a session header. */
  readonly prefixKey: string;
  readonly pin: decisions.SessionPin;
  readonly hasSessionHeader: boolean;
}

export function isModelRequest(
  request: CallerRequest,
): request is ModelRequest {
  return "model" in request;
}

/** A call of a service. */
export interface ServiceRequest extends CallerRequest {
  readonly service: bundle.Service;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A response whose head has arrived. */
export interface StartedResponse {
  readonly attempt: attempts.Attempt;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly isReplay: boolean;
  /** What served the request: `model@version` or `service:name`. */
  readonly item: string;
  /** The withdrawn version that the session had to leave. */
  readonly movedFrom: string | undefined;
  /** Pin to return to the caller in a session token. */
  readonly pin: decisions.SessionPin | undefined;
}

/** A response with its whole body. */
export interface CompleteResponse extends StartedResponse {
  readonly body: Uint8Array;
  readonly usage: mesh.Usage;
}
