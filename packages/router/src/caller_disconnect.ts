/** Finds out whether a caller has left while its request waited in this process. */

/** Turns of the event loop after which a disconnect received with the request is visible. */
const DISCONNECT_CHECK_TURNS = 2;

/**
 * Whether the caller disconnected while its request waited to be read. After a
 * stall of this process, the request is read one turn of the event loop before
 * the end of its connection.
 */
export async function hasCallerDisconnected(
  signal: AbortSignal,
): Promise<boolean> {
  for (
    let turn = 0;
    turn < DISCONNECT_CHECK_TURNS && !signal.aborted;
    turn += 1
  ) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  return signal.aborted;
}
