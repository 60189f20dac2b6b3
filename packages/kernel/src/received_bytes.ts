/** Counts what arrives on a connection, whatever it frames, before it is parsed. */
import type * as resets from "./reset_error.ts";

/** Reports the size of each read of the connections that are opened, in bytes. */
export function countReceived<O>(
  connect: resets.Connector<O>,
  onReceived: (bytes: number) => void,
): resets.Connector<O> {
  return (options, callback) =>
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null && socket) {
        const push = socket.push.bind(socket);
        socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
          const bytes = Buffer.isBuffer(chunk) ? chunk.length : 0;
          onReceived(bytes);
          return push(chunk, encoding);
        };
      }
      callback(...result);
    });
}
