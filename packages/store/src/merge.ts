/** Compare-and-swap loop for values into which a change can be merged twice without harm. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import type * as stores from "./store.ts";

const MAX_ATTEMPTS = 16;

/**
 * Merges a change into the value of a key and returns the stored value. The
 * merge must be idempotent: callers repeat it after a write without a reply.
 */
export async function mergeValue<T>(
  store: stores.Store,
  key: string,
  callbacks: {
    readonly parse: (text: string | undefined) => T;
    readonly merge: (current: T) => T;
  },
): Promise<kernel.Outcome<T>> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const read = await store.get(key);
    if (read.isErr()) return neverthrow.err(read.error);
    const current = callbacks.parse(read.value?.value);
    const merged = callbacks.merge(current);
    const text = JSON.stringify(merged);
    if (read.value?.value === text) return neverthrow.ok(merged);
    const written = read.value === undefined
      ? await store.create(key, text)
      : await store.replace(read.value, text);
    if (written.isErr()) return neverthrow.err(written.error);
    if (written.value.type === "created" || written.value.type === "replaced") {
      return neverthrow.ok(merged);
    }
  }
  return kernel.fail(
    "store-unavailable",
    `${key} was changed by other writers in each of ${MAX_ATTEMPTS} attempts`,
  );
}
