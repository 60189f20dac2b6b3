/** Headers as callers and replicas sent them, in the one form that codecs read. */
import type * as ports from "./ports.ts";

/** Joins the values of repeated headers. */
export function joinHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): ports.HeaderMap {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name,
      Array.isArray(value) ? value.join(",") : value,
    ]),
  );
}
