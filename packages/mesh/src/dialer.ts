/** Keeps a connection to one address open, with exponential backoff and jitter between attempts. */
import * as kernel from "@jackdawbank/kernel";
import * as ws from "ws";
import * as connections from "./connection.ts";
import * as frames from "./frames.ts";
import * as handshake from "./handshake.ts";
import * as identities from "./identity.ts";

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2_000;
const CLOSE_POLICY_VIOLATION = 1008;

export interface DialerOptions extends connections.ConnectionOptions {
  readonly log: kernel.Logger;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
}

/** Connects to one address, and reconnects until it is closed. */
export class MeshDialer {
  readonly address: string;
  readonly #identity: identities.MeshIdentity;
  readonly #options: DialerOptions;
  #socket: ws.WebSocket | undefined;
  #timer: NodeJS.Timeout | undefined;
  #retryDelayMs = INITIAL_RETRY_DELAY_MS;
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
        !this.#isAuthentic(frame, { clientNonce, serverNonce })
      ) {
        this.#options.log.warn(
          `mesh: ${this.address} failed authentication: no valid proof of the mesh secret`,
        );
        socket.close(CLOSE_POLICY_VIOLATION, "not authenticated");
        return;
      }
      this.#retryDelayMs = INITIAL_RETRY_DELAY_MS;
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

  #isAuthentic(
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
    const delayMs = this.#retryDelayMs * (0.5 + this.#options.random());
    this.#retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.#retryDelayMs * 2);
    this.#timer = setTimeout(() => this.#dial(), delayMs);
  }
}
