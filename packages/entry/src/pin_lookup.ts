/** Asks upstream processes for the pin of a session. */
import type * as mesh from "@jackdawbank/mesh";

/** The pin that is asked for, as this entry would make it now. */
export interface AskedPin {
  readonly sessionId: string;
  readonly birthRevision: number;
  readonly excluded: readonly string[];
}

/** Questions under way. */
export class PinAsker {
  readonly #waits = new Map<number, (pin: mesh.FrameOf<"pinned">) => void>();
  #nonce = 0;

  /** Asks over all connections; who does not answer in time is left out. */
  async ask(
    connections: readonly mesh.MeshConnection[],
    pin: AskedPin,
    timeoutMs: number,
  ): Promise<readonly mesh.FrameOf<"pinned">[]> {
    const answers = await Promise.all(
      connections.map((connection) => this.#askOne(connection, pin, timeoutMs)),
    );
    return answers.filter((answer) => answer !== undefined);
  }

  take(answer: mesh.FrameOf<"pinned">): void {
    this.#waits.get(answer.nonce)?.(answer);
  }

  #askOne(
    connection: mesh.MeshConnection,
    pin: AskedPin,
    timeoutMs: number,
  ): Promise<mesh.FrameOf<"pinned"> | undefined> {
    this.#nonce += 1;
    const nonce = this.#nonce;
    return new Promise((resolve) => {
      const timer = setTimeout(() => finish(undefined), timeoutMs);
      const finish = (answer: mesh.FrameOf<"pinned"> | undefined) => {
        clearTimeout(timer);
        this.#waits.delete(nonce);
        resolve(answer);
      };
      this.#waits.set(nonce, finish);
      connection.send({
        type: "pin",
        nonce,
        ...pin,
        excluded: [...pin.excluded],
      });
    });
  }
}
