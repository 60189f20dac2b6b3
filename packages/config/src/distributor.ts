/**
 * Distributes the active bundle over mesh connections, except to peers that are
 * known to hold it already. At most one bundle waits to be sent on a connection:
 * a peer that reads slowly, or not at all, is sent the newest one after it.
 */
import * as bundle from "@jackdawbank/bundle";
import type * as mesh from "@jackdawbank/mesh";
import type * as holders from "./holder.ts";

/** Sends bundles over the connections of one process. */
export class BundleDistributor {
  readonly #holder: holders.BundleHolder;
  /** Digest of the last bundle exchanged with each peer, in either direction. */
  readonly #digests = new WeakMap<mesh.MeshConnection, string>();

  /** Connections on which a bundle waits to be sent. */
  readonly #sending = new WeakSet<mesh.MeshConnection>();

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

  /** Sends the active bundle unless the peer holds it, has been sent it, or must read another first. */
  send(connection: mesh.MeshConnection): void {
    const active = this.#holder.active?.verified;
    if (
      active === undefined || this.#sending.has(connection) ||
      this.#digests.get(connection) === active.digest
    ) {
      return;
    }
    const isSent = connection.send(
      { type: "bundle", signed: active.signed },
      () => {
        this.#sending.delete(connection);
        this.send(connection);
      },
    );
    if (!isSent) return;
    this.#digests.set(connection, active.digest);
    this.#sending.add(connection);
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
