/** Keeps one connection to an address open, with exponential delays between tries. */
import * as kernel from "@jackdawbank/kernel";
import * as ws from "ws";
import * as connections from "./connection.ts";
import * as frames from "./frames.ts";
import * as handshake from "./handshake.ts";
import * as identities from "./identity.ts";

const FIRST_DELAY_MS = 50;
const MAX_DELAY_MS = 2_000;
const CLOSE_POLICY = 1008;

/** Settings of a dialer. */
export interface DialerOptions extends connections.ConnectionOptions {
  readonly log: kernel.Logger;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
}

/** Dials one address until closed. */
export class MeshDialer {
  readonly address: string;
  readonly #identity: identities.MeshIdentity;
  readonly #options: DialerOptions;
  #socket: ws.WebSocket | undefined;
  #timer: NodeJS.Timeout | undefined;
  #delayMs = FIRST_DELAY_MS;
  #isClosed = false;

  constructor(
    address: string,
    identity: identities.MeshIdentity,
    options: DialerOptions,
  ) {
    this.address = address;
    this.#identity = identity;
    this.#options = options;
    this.#dial();
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#socket?.terminate();
  }

  #dial(): void {
    const socket = new ws.WebSocket(`ws://${this.address}/`, {
      maxPayload: frames.MAX_FRAME_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: identities.HANDSHAKE_TIMEOUT_MS,
    });
    this.#socket = socket;
    const timer = setTimeout(
      () => socket.terminate(),
      identities.HANDSHAKE_TIMEOUT_MS,
    );
    const clientNonce = handshake.createNonce();
    socket.on("error", (error) => {
      this.#options.log.debug(`mesh: ${this.address}: ${error.message}`);
    });
    socket.on("close", () => {
      clearTimeout(timer);
      this.#scheduleRetry();
    });
    let serverNonce = "";
    const onMessage = (data: ws.RawData) => {
      const frame = connections.decodeFrame(connections.toBytes(data));
      if (frame?.type === "challenge" && serverNonce === "") {
        serverNonce = frame.nonce;
        socket.send(
          connections.encodeFrame(this.#createHello(clientNonce, serverNonce)),
        );
        return;
      }
      socket.off("message", onMessage);
      clearTimeout(timer);
      if (
        frame?.type !== "welcome" ||
        !this.#isGenuine(frame, { clientNonce, serverNonce })
      ) {
        this.#options.log.warn(
          `mesh: ${this.address} did not prove that it is one of ours`,
        );
        socket.close(CLOSE_POLICY, "not authenticated");
        return;
      }
      this.#delayMs = FIRST_DELAY_MS;
      const { listener } = this.#options;
      listener.onOpen(
        new connections.MeshConnection(socket, frame, this.#options),
      );
    };
    socket.on("message", onMessage);
  }

  #createHello(
    clientNonce: string,
    serverNonce: string,
  ): frames.FrameOf<"hello"> {
    const { processId, incarnation, dataCentre, secret } = this.#identity;
    const proof = handshake.computeProof({
      secret,
      side: "client",
      clientNonce,
      serverNonce,
      processId,
    });
    const protocol = frames.PROTOCOL_VERSION;
    return {
      type: "hello",
      protocol,
      processId,
      incarnation,
      dataCentre,
      nonce: clientNonce,
      proof,
    };
  }

  #isGenuine(
    welcome: frames.FrameOf<"welcome">,
    nonces: { readonly clientNonce: string; readonly serverNonce: string },
  ): boolean {
    return handshake.isProofValid(welcome.proof, {
      secret: this.#identity.secret,
      side: "server",
      processId: welcome.processId,
      ...nonces,
    });
  }

  #scheduleRetry(): void {
    if (this.#isClosed) return;
    const delayMs = this.#delayMs * (0.5 + this.#options.random());
    this.#delayMs = Math.min(MAX_DELAY_MS, this.#delayMs * 2);
    this.#timer = setTimeout(() => this.#dial(), delayMs);
  }
}
