/** Sends bytes of a test's choice in place of a replica's response. */
import type * as http from "node:http";
import type * as replicas from "./replica.ts";

const RESET_DELAY_MS = 5;

/** Writes beside the server's response, which is never used. */
export async function sendRaw(
  response: http.ServerResponse,
  behaviour: Extract<replicas.ReplicaBehaviour, { type: "raw" }>,
  values: Readonly<Record<string, string>>,
): Promise<void> {
  const { socket } = response;
  if (socket === null) return;
  let text = behaviour.text;
  for (const [name, value] of Object.entries(values)) {
    text = text.replaceAll(name, value);
  }
  if (behaviour.then === "reset-at-once") {
    socket.write(text, behaviour.encoding, () => socket.resetAndDestroy());
    return;
  }
  socket.write(text, behaviour.encoding);
  if (behaviour.then === "keep") return;
  if (behaviour.then === "close") socket.end();
  else {
    // The bytes must have been received before the reset, which discards what is on its way.
    await new Promise((resolve) => setTimeout(resolve, RESET_DELAY_MS));
    socket.resetAndDestroy();
  }
}
