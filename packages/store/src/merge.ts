/** Compare-and-swap loop for values that merge: applying a change twice is harmless. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import type * as stores from "./store.ts";

const MAX_TRIES = 16;

/** Merges a change into the value of a key and returns the stored value. */
export async function mergeValue<T>(
  store: stores.Store,
  key: string,
  codec: {
    readonly parse: (text: string | undefined) => T;
    readonly merge: (held: T) => T;
  },
): Promise<kernel.Outcome<T>> {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const read = await store.get(key);
    if (read.isErr()) return neverthrow.err(read.error);
    const held = codec.parse(read.value?.value);
    const merged = codec.merge(held);
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
    `${key} changed on each of ${MAX_TRIES} tries`,
  );
}
