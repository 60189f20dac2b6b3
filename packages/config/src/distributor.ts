/**
 * Distributes the active bundle over mesh connections, except to peers that are
 * known to hold it already.
 */
import * as bundle from "@jackdawbank/bundle";
import type * as mesh from "@jackdawbank/mesh";
import type * as holders from "./holder.ts";

/** Sends bundles over the connections of one process. */
export class BundleDistributor {
  readonly #holder: holders.BundleHolder;
  /** Digest of the last bundle exchanged with each peer, in either direction. */
  readonly #digests = new WeakMap<mesh.MeshConnection, string>();

  constructor(holder: holders.BundleHolder) {
    this.#holder = holder;
  }

  /** Offers a bundle received from a peer to the holder. */
  receive(
    connection: mesh.MeshConnection,
    frame: mesh.FrameOf<"bundle">,
  ): void {
    this.#digests.set(connection, bundle.computeDigest(frame.signed.payload));
    this.#holder.offer(frame.signed, "peer");
  }

  /** Pulls the bundle if the peer's revision is newer, or sends it if it is older. */
  reconcile(connection: mesh.MeshConnection, peerRevision: number): void {
    const ownRevision = this.#holder.revision;
    if (peerRevision > ownRevision) {
      connection.send({ type: "pull", heldRevision: ownRevision });
    }
    if (peerRevision < ownRevision) this.send(connection);
  }

  /** Sends the active bundle unless the peer holds it or has been sent it. */
  send(connection: mesh.MeshConnection): void {
    const active = this.#holder.active?.verified;
    if (
      active === undefined || this.#digests.get(connection) === active.digest
    ) {
      return;
    }
    this.#digests.set(connection, active.digest);
    connection.send({ type: "bundle", signed: active.signed });
  }

  /** Sends the active bundle to a peer that requests a newer revision than its own. */
  handlePull(connection: mesh.MeshConnection, heldRevision: number): void {
    if (heldRevision >= this.#holder.revision) return;
    this.send(connection);
  }

  sendToAll(connections: Iterable<mesh.MeshConnection>): void {
    for (const connection of connections) this.send(connection);
  }
}
