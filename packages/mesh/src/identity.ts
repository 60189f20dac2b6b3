/** What a process proves about itself on the mesh. */
export interface MeshIdentity {
  readonly processId: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** Shared secret from the settings; never sent. */
  readonly secret: string;
}

/** Time for the handshake before a connection is dropped. */
export const HANDSHAKE_TIMEOUT_MS = 3_000;
