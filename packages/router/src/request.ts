/** One caller's request on its way, and where its answer goes. */
import type * as bundle from "@jackdawbank/bundle";
import type * as kernel from "@jackdawbank/kernel";
import type * as ports from "./ports.ts";

/** A request as it was read, whole. */
export interface IncomingRequest {
  /** The caller's attempt id, or one of ours where there is none. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as they were sent. */
  readonly target: string;
  readonly hostName: string;
  readonly fields: ports.RequestFields;
  readonly body: Buffer;
  /** Steady time at which its head was read. */
  readonly receivedAtMs: number;
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal;
}

/** A request that may be served. */
export interface AdmittedRequest extends IncomingRequest {
  readonly route: bundle.Route;
  readonly service: string;
  readonly account: bundle.RouteTableAccount | undefined;
  /** Steady time until which the caller waits. */
  readonly deadlineAtMs: number;
  /** Stable fraction of its session, or of itself, in [0, 1). */
  readonly fraction: number;
}

/** The caller's side of an answer. */
export interface AnswerWriter {
  readonly isStarted: boolean;
  /** Passes a replica's head on. */
  start(status: number, rawHeaders: readonly string[]): void;
  /** Returns false when the caller reads more slowly than it is written to. */
  write(chunk: Buffer): boolean;
  onDrain(callback: () => void): void;
  end(): void;
  /** Passes a replica's answer on, with its length unless its end is uncertain. */
  answer(
    status: number,
    rawHeaders: readonly string[],
    body: Buffer,
    isFramed: boolean,
  ): void;
  /** Closes the connection, so that a cut answer does not look complete. */
  abort(): void;
  refuse(error: kernel.AppError, retryAfterMs?: number): void;
}

/** How a request ended, for the log. */
export interface RequestOutcome {
  readonly outcome: string;
  readonly status?: number;
  readonly reason?: string;
}
