/** What stands behind the gate: a model engine or a plain service. */
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";

/** State of an upstream as it reports it, with a lag. */
export interface BackendState {
  /** `model@version` names, or the service's name. */
  readonly serves: readonly string[];
  /** Work that the upstream takes at once. */
  readonly capacity: number;
}

/** Work handed to an upstream. */
export interface BackendWork {
  readonly requestId: string;
  readonly call: mesh.WorkCall;
  readonly body: Uint8Array;
  readonly priority: number;
  readonly signal: AbortSignal;
}

/** Takes the answer piece by piece; `onChunk` resolves when more may come. */
export interface ResponseSink {
  onHead(status: number, headers: Readonly<Record<string, string>>): void;
  onChunk(data: Uint8Array): Promise<void>;
}

/** An upstream. A failed run says whether the upstream was reached. */
export interface Backend {
  readState(): Promise<kernel.Outcome<BackendState>>;
  /** Runs work to its end; resolves with the usage once the answer is whole. */
  run(
    work: BackendWork,
    sink: ResponseSink,
  ): Promise<kernel.Outcome<mesh.Usage>>;
  close(): Promise<void>;
}
