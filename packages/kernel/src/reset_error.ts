/** Resets of connections, told apart from orderly ends. */
import type * as net from "node:net";

/** Code of the error of a socket that its peer has reset. */
export const RESET_CODE = "CONNECTION_RESET";

/** Opens a connection, as undici's clients call it. */
export type Connector<O> = (
  options: O,
  callback: (...result: [null, net.Socket] | [Error, null]) => void,
) => void;

/**
 * Gives the errors of resets a code of their own. undici takes `ECONNRESET` within
 * an answer without length or chunks for the end of that answer.
 */
export function markResets<O>(connect: Connector<O>): Connector<O> {
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") error.code = RESET_CODE;
      });
      callback(...result);
    });
}
