/** What the system needs of the platform's key-value service: single keys only. */
import type * as kernel from "@jackdawbank/kernel";

/** A stored value. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** The store's own revision of the last change of this key. */
  readonly modRevision: string;
}

/** Result of creating a key: the entry that stood there already, if any. */
export type CreateResult =
  | { readonly type: "created" }
  | { readonly type: "exists"; readonly entry: StoreEntry };

/** Result of replacing a value that must not have changed. */
export type ReplaceResult =
  | { readonly type: "replaced" }
  | { readonly type: "changed"; readonly entry: StoreEntry | undefined };

/**
 * The store. Every call may fail with `store-unavailable`, in which case a
 * write may have taken effect, or with `store-nonsense`.
 */
export interface Store {
  get(key: string): Promise<kernel.Outcome<StoreEntry | undefined>>;
  list(prefix: string): Promise<kernel.Outcome<readonly StoreEntry[]>>;
  create(key: string, value: string): Promise<kernel.Outcome<CreateResult>>;
  replace(
    entry: StoreEntry,
    value: string,
  ): Promise<kernel.Outcome<ReplaceResult>>;
  /** Removes the keys from the first on, up to but without the last. */
  removeRange(first: string, end: string): Promise<kernel.Outcome<void>>;
  /** Resolves with the next change of a key, or `undefined` when the wait ended. */
  watchOnce(
    key: string,
    options: {
      readonly afterModRevision: string;
      readonly signal: AbortSignal;
    },
  ): Promise<kernel.Outcome<StoreEntry | undefined>>;
  close(): Promise<void>;
}
