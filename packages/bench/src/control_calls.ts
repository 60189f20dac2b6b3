/** HTTP calls to the control interfaces of fakes and to the processes' status pages. */
import type * as kernel from "@jackdawbank/kernel";
import * as undici from "undici";
import * as processes from "./processes.ts";

const CONTROL_TIMEOUT_MS = 2_000;

/** Reads JSON; resolves with an empty object if the call fails. */
export async function getJson(url: string): Promise<unknown> {
  try {
    const response = await undici.request(url, {
      signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
    });
    return await response.body.json();
  } catch {
    return {};
  }
}

/**
 * Reads JSON of a stand-in that runs, and asks again if a call runs out of time: while a
 * test starts processes, its own event loop may stand longer than that. Throws if none
 * is answered.
 */
export async function readJson(url: string): Promise<unknown> {
  let answer: unknown;
  await processes.waitFor(`${url} answers`, async () => {
    answer = await getJson(url);
    return Object.keys(answer as object).length > 0;
  });
  return answer;
}

/** Reads again while a read fails, as a failed one says nothing; throws if none succeeds. */
export async function readUntilOk<T>(
  read: () => Promise<kernel.Outcome<T>>,
): Promise<T> {
  let outcome = await read();
  await processes.waitFor("the read succeeds", async () => {
    if (outcome.isErr()) outcome = await read();
    return outcome.isOk();
  });
  return outcome._unsafeUnwrap();
}

async function sendJson(
  method: "PUT" | "POST",
  url: string,
  body: object,
): Promise<void> {
  const response = await undici.request(url, {
    method,
    body: JSON.stringify(body),
    headers: { "content-type": "application/json" },
    signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
  });
  await response.body.dump();
}

export function putJson(url: string, body: object): Promise<void> {
  return sendJson("PUT", url, body);
}

export function postJson(url: string, body: object): Promise<void> {
  return sendJson("POST", url, body);
}
