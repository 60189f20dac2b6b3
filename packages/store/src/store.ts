/** Interface of the platform's key-value store. Transactions on several keys are not needed. */
import type * as kernel from "@jackdawbank/kernel";

export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** The store's revision at the last change of this key. */
  readonly modRevision: string;
}

/** Result of creating a key; `exists` holds the entry that was there already. */
export type CreateResult =
  | { readonly type: "created" }
  | { readonly type: "exists"; readonly entry: StoreEntry };

/** Result of replacing a value if it is unchanged; `changed` holds the entry now stored, if any. */
export type ReplaceResult =
  | { readonly type: "replaced" }
  | { readonly type: "changed"; readonly entry: StoreEntry | undefined };

/**
 * A key-value store. Every call may fail with `store-unavailable`, in which case
 * a write may have taken effect, or with `store-nonsense` if the reply is
 * malformed.
 */
export interface Store {
  get(key: string): Promise<kernel.Outcome<StoreEntry | undefined>>;
  list(prefix: string): Promise<kernel.Outcome<readonly StoreEntry[]>>;
  create(key: string, value: string): Promise<kernel.Outcome<CreateResult>>;
  replace(
    entry: StoreEntry,
    value: string,
  ): Promise<kernel.Outcome<ReplaceResult>>;
  /** Removes the keys from `first` (inclusive) to `end` (exclusive). */
  removeRange(first: string, end: string): Promise<kernel.Outcome<void>>;
  /** Resolves with the next write of a key, or with `undefined` if the watch ends without one. */
  watchOnce(
    key: string,
    options: {
      readonly afterModRevision: string;
      readonly signal: AbortSignal;
    },
  ): Promise<kernel.Outcome<StoreEntry | undefined>>;
  close(): Promise<void>;
}
