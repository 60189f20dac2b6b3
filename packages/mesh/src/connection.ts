/** An authenticated connection: owns its socket and passes validated frames to its listener. */
import type * as kernel from "@jackdawbank/kernel";
import * as msgpackr from "msgpackr";
import type * as ws from "ws";
import * as frames from "./frames.ts";

/** Identity of the other end, as authenticated by the handshake. */
export interface Peer {
  readonly processId: string;
  readonly incarnation: string;
  readonly dataCentre: string;
}

/** Receives the events of connections. */
export interface ConnectionListener {
  onOpen(connection: MeshConnection): void;
  onFrame(connection: MeshConnection, frame: frames.Frame): void;
  onClose(connection: MeshConnection, reason: string): void;
}

export interface ConnectionOptions {
  readonly listener: ConnectionListener;
  readonly timeline: kernel.Timeline;
}

const CLOSE_POLICY_VIOLATION = 1008;
const packer = new msgpackr.Packr({ useRecords: false });

export function encodeFrame(frame: frames.Frame): Uint8Array {
  return packer.pack(frame);
}

/** Decodes and validates a frame; `undefined` if it is malformed. */
export function decodeFrame(data: Uint8Array): frames.Frame | undefined {
  try {
    return frames.parseFrame(packer.unpack(data));
  } catch {
    return undefined;
  }
}

/** Converts a message of `ws`, of any of its types, to a byte array. */
export function toBytes(data: ws.RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

/** A connection whose handshake has succeeded. */
export class MeshConnection {
  readonly peer: Peer;
  readonly #socket: ws.WebSocket;
  readonly #timeline: kernel.Timeline;
  #sentBytes = 0;
  #receivedBytes = 0;

  constructor(
    socket: ws.WebSocket,
    peer: Peer,
    options: ConnectionOptions,
  ) {
    const { listener, timeline } = options;
    this.#timeline = timeline;
    this.#socket = socket;
    this.peer = peer;
    socket.on("message", (data) => {
      const bytes = toBytes(data);
      this.#receivedBytes += bytes.byteLength;
      const frame = decodeFrame(bytes);
      if (frame === undefined) {
        socket.close(CLOSE_POLICY_VIOLATION, "malformed frame");
        return;
      }
      if ("time" in frame && frame.time !== undefined) {
        timeline.observe(frame.time);
      }
      listener.onFrame(this, frame);
    });
    socket.on(
      "close",
      (_code, reason) => listener.onClose(this, reason.toString()),
    );
  }

  get isOpen(): boolean {
    return this.#socket.readyState === this.#socket.OPEN;
  }

  /** Bytes in the socket's send buffer. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  get sentBytes(): number {
    return this.#sentBytes;
  }

  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /**
   * Sends a frame; returns whether the connection was open. If it was, `onEnd` is
   * called once the frame has left this process, or the connection has failed.
   */
  send(frame: frames.Frame, onEnd?: () => void): boolean {
    if (!this.isOpen) return false;
    const isTimestamped = frames.TIMESTAMPED_FRAME_TYPES.has(frame.type);
    const bytes = encodeFrame(
      isTimestamped
        ? { ...frame, time: this.#timeline.tick() } as frames.Frame
        : frame,
    );
    this.#sentBytes += bytes.byteLength;
    this.#socket.send(bytes, () => onEnd?.());
    return true;
  }

  close(): void {
    this.#socket.close();
  }

  /** Closes the socket without a closing handshake. */
  terminate(): void {
    this.#socket.terminate();
  }
}

/** Returns the sums of the bytes sent and received over connections. */
export function sumBytes(
  connections: Iterable<MeshConnection>,
): { readonly sentBytes: number; readonly receivedBytes: number } {
  let sentBytes = 0;
  let receivedBytes = 0;
  for (const connection of connections) {
    sentBytes += connection.sentBytes;
    receivedBytes += connection.receivedBytes;
  }
  return { sentBytes, receivedBytes };
}
