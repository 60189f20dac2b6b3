/** How a service call is kept from running twice, from the call and the bundle. */
import * as crypto from "node:crypto";
import * as decisions from "@jackdawbank/decisions";
import type * as requests from "./requests.ts";

/** A claim as the work frame carries it. */
export interface CallClaim {
  readonly key: string;
  readonly bodyHash: string;
  readonly partition: number;
}

const KEY_HEX_DIGITS = 40;

function digest(...parts: readonly (string | Uint8Array)[]): string {
  const hash = crypto.createHash("sha256");
  for (const part of parts) hash.update(part).update("\u0000");
  return hash.digest("hex").slice(0, KEY_HEX_DIGITS);
}

/** Whether running the call twice does no harm. */
export function isRepeatable(request: requests.ServiceRequest): boolean {
  const { service, method, idempotencyKey } = request;
  if (
    service.safeMethods.includes(method) || service.repeats === "idempotent"
  ) return true;
  return service.repeats === "upstream-key" && idempotencyKey !== undefined;
}

/** The key of a call, scoped to its client account and service. */
export function deriveCallKey(
  request: requests.ServiceRequest,
): string | undefined {
  if (request.idempotencyKey === undefined) return undefined;
  return digest(
    request.account.name,
    request.service.name,
    request.idempotencyKey,
  );
}

/** The claim that a call needs before it runs, if it needs one. */
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
    bodyHash: digest(request.method, request.path, request.body),
    partition: decisions.hashText(key) % request.service.partitions,
  };
}

/** Headers for the service: the derived key goes along when there is one. */
export function buildServiceHeaders(
  request: requests.ServiceRequest,
): Readonly<Record<string, string>> {
  const key = deriveCallKey(request);
  return key === undefined
    ? request.headers
    : { ...request.headers, "idempotency-key": key };
}

/** Digest that bills of keyed calls carry. */
export function buildBillKeyDigest(
  account: string,
  item: string,
  idempotencyKey: string | undefined,
): string | undefined {
  if (idempotencyKey === undefined) return undefined;
  // A repeat of a chat request may be served by another model or version.
  const scope = item.startsWith("service:") ? item : "chat";
  return digest(account, scope, idempotencyKey);
}
