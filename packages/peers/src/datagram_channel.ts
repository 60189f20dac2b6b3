/**
 * Datagrams between processes of one installation. A report is worth nothing
 * once a newer one is on its way, so nothing is sent again, and no connection
 * has to be watched for silence.
 */
import * as dgram from "node:dgram";

/** Sends and receives datagrams. */
export interface PeerChannel {
  send(bytes: Uint8Array, host: string, port: number): void;
  /** Called with each datagram and the address that it came from. */
  onDatagram: ((bytes: Uint8Array, host: string) => void) | undefined;
  close(): void;
}

/** A socket that the channel owns. */
export class DatagramChannel implements PeerChannel {
  readonly #socket: dgram.Socket;
  onDatagram: PeerChannel["onDatagram"];

  private constructor(
    socket: dgram.Socket,
    onFault: (error: Error) => void,
  ) {
    this.#socket = socket;
    socket.on("error", onFault);
    socket.on("message", (bytes, { address }) => {
      this.onDatagram?.(bytes, address);
    });
  }

  /** Binds an address; rejects when it is taken. */
  static bind(
    address: { readonly host: string; readonly port: number },
    onFault: (error: Error) => void,
  ): Promise<DatagramChannel> {
    return new Promise((resolve, reject) => {
      const socket = dgram.createSocket("udp4");
      socket.once("error", reject);
      socket.bind({ address: address.host, port: address.port }, () => {
        socket.off("error", reject);
        resolve(new DatagramChannel(socket, onFault));
      });
    });
  }

  get port(): number {
    return this.#socket.address().port;
  }

  send(bytes: Uint8Array, host: string, port: number): void {
    // A peer that is gone, or a full link, loses this report: the next one follows.
    this.#socket.send(bytes, port, host, () => {});
  }

  close(): void {
    this.#socket.close();
  }
}
