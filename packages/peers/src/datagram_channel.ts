/**
 * UDP datagrams between the processes of one installation. A report is obsolete
 * once a newer one has been sent, so there are no retransmissions, and there is
 * no connection to monitor.
 */
import * as dgram from "node:dgram";

/** Sends and receives datagrams. */
export interface PeerChannel {
  send(bytes: Uint8Array, host: string, port: number): void;
  /** Called with each datagram and the address of its sender. */
  onDatagram: ((bytes: Uint8Array, host: string) => void) | undefined;
  close(): void;
}

/** Channel over a UDP socket that it owns. */
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

  /** Binds an address; rejects if that fails, for example if it is in use. */
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
    // Ignored: a report lost to a missing peer or a full link is replaced by the next one.
    this.#socket.send(bytes, port, host, () => {});
  }

  close(): void {
    this.#socket.close();
  }
}
