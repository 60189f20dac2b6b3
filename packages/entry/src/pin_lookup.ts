/** Looks up the pin of a session at upstream processes. */
import type * as mesh from "@jackdawbank/mesh";

/** The session's pin as this entry would create it now; processes without a pin store it. */
export interface PinProposal {
  readonly sessionId: string;
  readonly birthRevision: number;
  readonly excluded: readonly string[];
}

/** Sends pin requests and matches the replies by nonce. */
export class PinLookup {
  readonly #pendingReplies = new Map<
    number,
    (pin: mesh.FrameOf<"pinned">) => void
  >();
  #nonce = 0;

  /** Requests the pin over all connections; returns the replies that arrive in time. */
  async lookUp(
    connections: readonly mesh.MeshConnection[],
    proposal: PinProposal,
    timeoutMs: number,
  ): Promise<readonly mesh.FrameOf<"pinned">[]> {
    const replies = await Promise.all(
      connections.map((connection) =>
        this.#requestPin(connection, proposal, timeoutMs)
      ),
    );
    return replies.filter((reply) => reply !== undefined);
  }

  handleReply(reply: mesh.FrameOf<"pinned">): void {
    this.#pendingReplies.get(reply.nonce)?.(reply);
  }

  #requestPin(
    connection: mesh.MeshConnection,
    pin: PinProposal,
    timeoutMs: number,
  ): Promise<mesh.FrameOf<"pinned"> | undefined> {
    this.#nonce += 1;
    const nonce = this.#nonce;
    return new Promise((resolve) => {
      const timer = setTimeout(() => finish(undefined), timeoutMs);
      const finish = (reply: mesh.FrameOf<"pinned"> | undefined) => {
        clearTimeout(timer);
        this.#pendingReplies.delete(nonce);
        resolve(reply);
      };
      this.#pendingReplies.set(nonce, finish);
      connection.send({
        type: "pin",
        nonce,
        ...pin,
        excluded: [...pin.excluded],
      });
    });
  }
}
