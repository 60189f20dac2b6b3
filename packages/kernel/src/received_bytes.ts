/** Counts what arrives on a connection, whatever it frames, before it is parsed. */
import type * as net from "node:net";
import type * as resets from "./reset_error.ts";

/** Most framing that the parser is given at once; it stops at an error only after that. */
const MAX_READ_BYTES = 8_192;

function limitReads(socket: net.Socket, isMostlyFraming: () => boolean): void {
  const read = socket.read.bind(socket);
  socket.read = (size?: number): unknown => {
    if (socket.destroyed) return null;
    const { readableLength } = socket;
    return size !== undefined || readableLength <= MAX_READ_BYTES ||
        !isMostlyFraming()
      ? read(size)
      : read(MAX_READ_BYTES);
  };
}

/**
 * Reports the size of each read of the connections that are opened, and how much of
 * earlier reads the parser has not taken yet, in bytes. A read is dropped if
 * `onReceived` returns false, which then closes the connection.
 */
export function countReceived<O>(
  connect: resets.Connector<O>,
  onReceived: (bytes: number, queuedBytes: number) => boolean,
  isMostlyFraming: () => boolean,
): resets.Connector<O> {
  return (options, callback) =>
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null && socket) {
        const push = socket.push.bind(socket);
        socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
          const bytes = Buffer.isBuffer(chunk) ? chunk.length : 0;
          return onReceived(bytes, socket.readableLength) &&
            push(chunk, encoding);
        };
        limitReads(socket, isMostlyFraming);
      }
      callback(...result);
    });
}
