/** Identity and secret with which a process authenticates on the mesh. */
export interface MeshIdentity {
  readonly processId: string;
  /** Differs for each run of a process, also under the same process id. */
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Shared secret from the settings; never sent. */
  readonly secret: string;
}

/** A connection is closed if its handshake takes longer than this. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;
