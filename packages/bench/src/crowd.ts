/** A crowd of callers that keep to no limit: what they send, and whether they read. */
import * as net from "node:net";

/** Ends a crowd that is neither served nor cut off. */
const CROWD_TIMEOUT_MS = 40_000;
const SLOW_READ_BYTES = 16_384;
const SLOW_READ_INTERVAL_MS = 50;

type ReadsAnswers = boolean | "slowly";

function startReading(socket: net.Socket, readsAnswers: ReadsAnswers): void {
  if (readsAnswers === true) {
    socket.resume();
    return;
  }
  socket.pause();
  if (readsAnswers === false) return;
  const timer = setInterval(
    () => socket.read(Math.min(SLOW_READ_BYTES, socket.readableLength)),
    SLOW_READ_INTERVAL_MS,
  );
  socket.once("close", () => clearInterval(timer));
}

/** Connections that send what they are told to, and stay open until the crowd is closed. */
export class Crowd {
  readonly #port: number;
  readonly #sockets: net.Socket[] = [];

  constructor(port: number) {
    this.#port = port;
  }

  /**
   * Opens connections that send the parts one after the other. Resolves when each
   * has sent all of them or was cut off; none is closed by the crowd itself.
   */
  async send(
    count: number,
    parts: readonly (string | Buffer)[],
    options: { readonly readsAnswers: ReadsAnswers } = {
      readsAnswers: true,
    },
  ): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise((resolve) => {
      timer = setTimeout(resolve, CROWD_TIMEOUT_MS);
    });
    const members = Array.from(
      { length: count },
      () => this.#sendOne(parts, options.readsAnswers),
    );
    await Promise.race([Promise.all(members), timeout]);
    clearTimeout(timer);
  }

  get openConnections(): number {
    return this.#sockets.filter((socket) => !socket.destroyed).length;
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #sendOne(
    parts: readonly (string | Buffer)[],
    readsAnswers: ReadsAnswers,
  ): Promise<void> {
    const socket = net.connect(this.#port, "127.0.0.1");
    this.#sockets.push(socket);
    socket.on("error", () => socket.destroy());
    const closed = new Promise<false>((resolve) =>
      socket.once("close", () => resolve(false))
    );
    startReading(socket, readsAnswers);
    const sendAll = async () => {
      for (const part of parts) {
        await new Promise((resolve) => socket.write(part, resolve));
      }
    };
    await Promise.race([sendAll(), closed]);
  }
}
