/** A bound on what one answer takes, in its head, its body and all that frames them. */
import type * as net from "node:net";
import type * as resets from "./reset_error.ts";

/** Code of the error of a socket that has received more than its bound. */
const ANSWER_TOO_LONG_CODE = "ANSWER_TOO_LONG";

/** Error of a socket that has received more than its bound since it last sent something. */
class AnswerTooLongError extends Error {
  readonly code = ANSWER_TOO_LONG_CODE;

  constructor(maxBytes: number) {
    super(`the answer is longer than ${maxBytes} bytes`);
  }
}

/** Whether a client's error means that an answer was longer than its bound. */
export function isAnswerTooLong(thrown: unknown): boolean {
  return thrown instanceof Error &&
    ("code" in thrown && thrown.code === ANSWER_TOO_LONG_CODE ||
      isAnswerTooLong(thrown.cause));
}

function boundSocket(socket: net.Socket, maxBytes: number): void {
  let receivedBytes = 0;
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    receivedBytes += Buffer.isBuffer(chunk) ? chunk.length : 0;
    if (receivedBytes > maxBytes) {
      socket.destroy(new AnswerTooLongError(maxBytes));
      return false;
    }
    return push(chunk, encoding);
  };
  const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
  Object.assign(socket, {
    // One request at a time: what comes after it is its answer.
    write: (...args: unknown[]) => {
      receivedBytes = 0;
      return write(...args);
    },
  });
}

/**
 * Closes a connection that has received more than `maxBytes` since a request was
 * last sent on it; for clients that do not pipeline. Limits of a body alone leave
 * out informational answers and the extensions of chunks.
 */
export function boundAnswers<O>(
  connect: resets.Connector<O>,
  maxBytes: number,
): resets.Connector<O> {
  return (options, callback) =>
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null && socket) boundSocket(socket, maxBytes);
      callback(...result);
    });
}
