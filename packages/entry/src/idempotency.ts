/** Idempotency: whether a service call may be repeated, its claim, and the keys of calls and bills. */
import * as crypto from "node:crypto";
import * as decisions from "@jackdawbank/decisions";
import type * as requests from "./requests.ts";

/** A claim as the work frame carries it. */
export interface CallClaim {
  readonly key: string;
  readonly bodyHash: string;
  readonly partition: number;
}

const DIGEST_HEX_CHARS = 40;

function computeDigest(...parts: readonly (string | Uint8Array)[]): string {
  const hash = crypto.createHash("sha256");
  for (const part of parts) hash.update(part).update("\u0000");
  return hash.digest("hex").slice(0, DIGEST_HEX_CHARS);
}

/** Whether a call may run twice without harm, by its method or how its service treats repeats. */
export function isRepeatable(request: requests.ServiceRequest): boolean {
  const { service, method, idempotencyKey } = request;
  if (
    service.safeMethods.includes(method) || service.repeats === "idempotent"
  ) return true;
  return service.repeats === "upstream-key" && idempotencyKey !== undefined;
}

/** Derives the key of a call, scoped to its client account and service. */
export function deriveCallKey(
  request: requests.ServiceRequest,
): string | undefined {
  if (request.idempotencyKey === undefined) return undefined;
  return computeDigest(
    request.account.name,
    request.service.name,
    request.idempotencyKey,
  );
}

/** Builds the claim that must be held before the call runs; `undefined` if none is needed. */
export function buildClaim(
  request: requests.ServiceRequest,
): CallClaim | undefined {
  const key = deriveCallKey(request);
  const isSafe = request.service.safeMethods.includes(request.method);
  if (key === undefined || isSafe || request.service.repeats !== "claim") {
    return undefined;
  }
  return {
    key,
    bodyHash: computeDigest(request.method, request.path, request.body),
    partition: decisions.hashText(key) % request.service.partitions,
  };
}

/** Builds the headers for the service; the caller's key is replaced by the derived one. */
export function buildServiceHeaders(
  request: requests.ServiceRequest,
): Readonly<Record<string, string>> {
  const key = deriveCallKey(request);
  return key === undefined
    ? request.headers
    : { ...request.headers, "idempotency-key": key };
}

/** Builds the key digest of a bill, by which repeated requests are billed once. */
export function buildBillKeyDigest(
  account: string,
  item: string,
  idempotencyKey: string | undefined,
): string | undefined {
  if (idempotencyKey === undefined) return undefined;
  // The item is not part of a chat's digest: another model or version may serve the repeat.
  const scope = item.startsWith("service:") ? item : "chat";
  return computeDigest(account, scope, idempotencyKey);
}
