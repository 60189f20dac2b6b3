/** Resets of connections, told apart from orderly ends. */
import type * as net from "node:net";

/** Code of the error of a socket that its peer has reset. */
export const RESET_CODE = "CONNECTION_RESET";

/** Opens a connection, as undici's clients call it. */
export type Connector<O> = (
  options: O,
  callback: (...result: [null, net.Socket] | [Error, null]) => void,
) => void;

/** Error of a socket that its peer has reset. */
class ConnectionResetError extends Error {
  readonly code = RESET_CODE;

  constructor() {
    super("the connection was reset");
  }
}

/**
 * Turns an end that is a reset in truth into an error. Where data and a reset are
 * found in one poll, the runtime reports the end of the data and no error; after an
 * orderly end, the socket still has a peer.
 */
function detectHiddenReset(socket: net.Socket): void {
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk === null && socket.remoteAddress === undefined) {
      socket.destroy(new ConnectionResetError());
      return false;
    }
    return push(chunk, encoding);
  };
}

function watchForResets(socket: net.Socket): void {
  detectHiddenReset(socket);
  socket.prependListener("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") error.code = RESET_CODE;
  });
}

/**
 * Gives the errors of resets a code of their own, and an error to resets that have
 * none. undici takes `ECONNRESET` within an answer without length or chunks, as well
 * as an end, for the end of that answer.
 */
export function markResets<O>(connect: Connector<O>): Connector<O> {
  return (options, callback) =>
    connect(options, (...result) => {
      const [error, socket] = result;
      // undici gives no second argument at all where the connection has failed.
      if (error === null && socket) watchForResets(socket);
      callback(...result);
    });
}
