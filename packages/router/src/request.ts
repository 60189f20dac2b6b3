/** A caller's request as it is processed, and the writer of its response. */
import type * as bundle from "@jackdawbank/bundle";
import type * as kernel from "@jackdawbank/kernel";
import type * as ports from "./ports.ts";

/** A completely read request. */
export interface IncomingRequest {
  /** The caller's attempt ID, or a generated one. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly target: string;
  readonly hostName: string;
  readonly fields: ports.RequestFields;
  readonly body: Buffer;
  /** Monotonic time at which the headers were read. */
  readonly receivedAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A request that passed admission. */
export interface AdmittedRequest extends IncomingRequest {
  readonly route: bundle.Route;
  readonly service: string;
  readonly account: bundle.RouteTableAccount | undefined;
  /** Monotonic time until which the caller waits. */
  readonly deadlineAtMs: number;
  /** Hash of the session, or else of the request ID, in [0, 1); decides the version. */
  readonly versionFraction: number;
}

/** Writes the response to a caller. */
export interface CallerResponseWriter {
  readonly isStarted: boolean;
  /**
   * Accounts for a response of which so many bytes are held. Returns false if this
   * process holds too much for it.
   */
  reserve(bytes: number): boolean;
  /** Forwards the status and headers of a replica's response. */
  start(status: number, rawHeaders: readonly string[]): void;
  /** Returns false on back pressure: the caller reads more slowly than data arrives. */
  write(chunk: Buffer): boolean;
  onDrain(callback: () => void): void;
  end(): void;
  /** Forwards a complete response, with its length unless it may be truncated. */
  answer(
    status: number,
    rawHeaders: readonly string[],
    bodyParts: readonly Buffer[],
    isFramed: boolean,
  ): void;
  /** Closes the connection so that a truncated response does not look complete. */
  abort(): void;
  /** Responds with an error. */
  refuse(error: kernel.AppError, retryAfterMs?: number): void;
}

/** Outcome of a request, for logs and metrics. */
export interface RequestOutcome {
  readonly outcome: string;
  readonly status?: number;
  readonly reason?: string;
  /** Attempts that ran, or may have run; told of a failure. */
  readonly runs?: number;
}
