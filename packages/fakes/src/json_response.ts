/** Writes JSON responses of stand-ins, at once or slowly. */
import type * as http from "node:http";

/** Sends a body at once. */
export function send(
  response: http.ServerResponse,
  status: number,
  data: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(data));
}

const PIECES = 20;

/** Sends a body over `durationMs`; at once if that is 0. */
export async function sendSlowly(
  response: http.ServerResponse,
  durationMs: number,
  data: unknown,
): Promise<void> {
  if (durationMs === 0) return send(response, 200, data);
  const body = Buffer.from(JSON.stringify(data));
  response.writeHead(200, { "content-type": "application/json" });
  const size = Math.ceil(body.length / PIECES);
  for (let at = 0; at < body.length && !response.destroyed; at += size) {
    response.write(body.subarray(at, at + size));
    await new Promise((resolve) => setTimeout(resolve, durationMs / PIECES));
  }
  response.end();
}
