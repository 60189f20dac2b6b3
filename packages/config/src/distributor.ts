/**
 * Passes the bundle in force on over connections, to each that is not known to
 * hold it already.
 */
import * as bundle from "@jackdawbank/bundle";
import type * as mesh from "@jackdawbank/mesh";
import type * as holders from "./holder.ts";

/** Sends bundles over the connections of one process. */
export class BundleDistributor {
  readonly #holder: holders.BundleHolder;
  /** Digest of the bundle that the other end was last sent, or sent itself. */
  readonly #digests = new WeakMap<mesh.MeshConnection, string>();

  constructor(holder: holders.BundleHolder) {
    this.#holder = holder;
  }

  /** Takes a bundle that the other end sent. */
  receive(
    connection: mesh.MeshConnection,
    frame: mesh.FrameOf<"bundle">,
  ): void {
    this.#digests.set(connection, bundle.computeDigest(frame.signed.payload));
    this.#holder.offer(frame.signed, "peer");
  }

  /** Brings the two ends together: whoever is behind gets the newer bundle. */
  reconcile(connection: mesh.MeshConnection, peerRevision: number): void {
    const ours = this.#holder.revision;
    if (peerRevision > ours) {
      connection.send({ type: "pull", heldRevision: ours });
    }
    if (peerRevision < ours) this.send(connection);
  }

  /** Sends the bundle unless the other end has it, or it is on its way there. */
  send(connection: mesh.MeshConnection): void {
    const held = this.#holder.held?.verified;
    if (held === undefined || this.#digests.get(connection) === held.digest) {
      return;
    }
    this.#digests.set(connection, held.digest);
    connection.send({ type: "bundle", signed: held.signed });
  }

  /** The other end asks, so it does not have what was sent before. */
  handlePull(connection: mesh.MeshConnection, heldRevision: number): void {
    if (heldRevision >= this.#holder.revision) return;
    this.send(connection);
  }

  sendToAll(connections: Iterable<mesh.MeshConnection>): void {
    for (const connection of connections) this.send(connection);
  }
}
