/** Recognises a request that its caller sends again, under a new attempt id. */
import * as crypto from "node:crypto";
import type * as requests from "./request.ts";

/** Prefix of the ids; tells them from those of parts of prompts. */
export const REQUEST_ID_PREFIX = "request-";
const ID_DIGITS = 20;
/** Of a longer body, only the first and the last bytes, and the length, count. */
const MAX_HASHED_BYTES = 65_536;

const ids = new WeakMap<object, string>();

function computeId(request: requests.AdmittedRequest): string {
  const { account, method, hostName, target, body } = request;
  const hash = crypto.createHash("sha256");
  // The account's name tells callers apart that may see different things at the same path.
  hash.update(JSON.stringify([account?.name, method, hostName, target]));
  hash.update(`${body.length}:`);
  if (body.length <= MAX_HASHED_BYTES) hash.update(body);
  else {
    hash.update(body.subarray(0, MAX_HASHED_BYTES / 2));
    hash.update(body.subarray(-MAX_HASHED_BYTES / 2));
  }
  return REQUEST_ID_PREFIX + hash.digest("hex").slice(0, ID_DIGITS);
}

/** Id that requests of the same caller with the same path and body have in common. */
export function identifyRequest(request: requests.AdmittedRequest): string {
  const known = ids.get(request);
  if (known !== undefined) return known;
  const id = computeId(request);
  ids.set(request, id);
  return id;
}
