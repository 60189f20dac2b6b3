/** Interface between the gate and its upstream: a model engine or a plain service. */
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";

/** State that an upstream reports. It is polled, so it lags behind the actual state. */
export interface BackendState {
  /** `model@version` names, or the service's name. */
  readonly serves: readonly string[];
  /** Number of requests that the upstream can run concurrently. */
  readonly capacity: number;
}

/** A request to be run by an upstream. */
export interface BackendWork {
  readonly requestId: string;
  readonly call: mesh.WorkCall;
  readonly body: Uint8Array;
  readonly priority: number;
  readonly signal: AbortSignal;
  /**
   * Called once the connection is ready, before any byte of the request is sent.
   * If it returns an error kind, the request is not sent and the run fails with it.
   */
  readonly findRefusal: () => kernel.ErrorKind | undefined;
}

/** Receives a response in chunks; `onChunk` resolves when the next chunk may be passed. */
export interface ResponseSink {
  onHead(status: number, headers: Readonly<Record<string, string>>): void;
  onChunk(data: Uint8Array): Promise<void>;
}

/** Client of an upstream. The error of a failed run tells whether the upstream was reached. */
export interface Backend {
  readState(): Promise<kernel.Outcome<BackendState>>;
  /** Runs work; resolves with the token usage once the response is complete. */
  run(
    work: BackendWork,
    sink: ResponseSink,
  ): Promise<kernel.Outcome<mesh.Usage>>;
  close(): Promise<void>;
}
