/**
 * Types of the claim journal: the records that it stores, the events that it
 * handles and the effects that it asks its caller to carry out.
 */
import type * as kernel from "@jackdawbank/kernel";

/** Answer of a call that ran, stored so that it can be replayed. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Absent where the body is too large to be stored. */
  readonly body: Uint8Array | undefined;
}

/** A stored change of one idempotency key. */
export type ClaimRecord =
  | {
    readonly type: "claim";
    readonly key: string;
    readonly bodyHash: string;
    readonly atMs: number;
    readonly claimId: string;
    /** Id of an earlier claim that was never committed and that this one replaces. */
    readonly replaces?: string | undefined;
  }
  | {
    readonly type: "release";
    readonly key: string;
    readonly claimId: string;
  }
  | {
    readonly type: "done";
    readonly key: string;
    readonly claimId: string;
    readonly answer: StoredAnswer;
  };

/** A batch of records as it is stored under one number. */
export interface ClaimSegment {
  readonly ownerId: string;
  /** Set on the first segment of an owner, which deposes the previous owner. */
  readonly isOpening: boolean;
  readonly batchId: string;
  readonly records: readonly ClaimRecord[];
}

/** State of one idempotency key. */
export interface ClaimEntry {
  readonly key: string;
  readonly bodyHash: string;
  readonly claimId: string;
  readonly atMs: number;
  readonly state: "claimed" | "done" | "released";
  readonly answer: StoredAnswer | undefined;
}

/** All entries up to and including a segment; the segments that it covers may be removed. */
export interface ClaimSnapshot {
  /** Number of the last segment that the snapshot covers. */
  readonly number: number;
  readonly entries: readonly ClaimEntry[];
}

/** Result of a store call. */
export type StoreOutcome =
  | { readonly type: "created" }
  | { readonly type: "exists"; readonly segment: ClaimSegment }
  | { readonly type: "found"; readonly segment: ClaimSegment }
  | { readonly type: "absent" }
  | { readonly type: "snapshot"; readonly snapshot: ClaimSnapshot | undefined }
  | { readonly type: "snapshot-stored" }
  /** No reply, or an error that leaves open whether the call took effect. */
  | { readonly type: "unknown" };

/** Input of the state machine. */
export type ClaimEvent =
  | {
    readonly type: "claim";
    readonly claimId: string;
    readonly key: string;
    readonly bodyHash: string;
    /** Ids of earlier claims of the key that were never committed and never will be. */
    readonly voided: readonly string[];
  }
  | {
    readonly type: "finish";
    readonly claimId: string;
    readonly answer: StoredAnswer;
  }
  /** The caller stopped waiting, or the call was granted but never started. */
  | { readonly type: "abandon"; readonly claimId: string }
  /** The call started and its outcome is not known. The key stays claimed. */
  | { readonly type: "mark-outcome-unknown"; readonly claimId: string }
  /** Queued records are to be stored now instead of with the next claim. */
  | { readonly type: "flush" }
  /** The outstanding store call ended; it may also have been a read. */
  | { readonly type: "stored"; readonly outcome: StoreOutcome };

/** Output of the state machine. */
export type ClaimEffect =
  | { readonly type: "read-snapshot" }
  | { readonly type: "read"; readonly number: number }
  | {
    readonly type: "create";
    readonly number: number;
    readonly segment: ClaimSegment;
  }
  | {
    readonly type: "store-snapshot";
    readonly snapshot: ClaimSnapshot;
    /** Segments to remove once the snapshot is stored: no process can still try to create their numbers. */
    readonly removable: readonly number[];
  }
  | { readonly type: "grant"; readonly claimId: string }
  | {
    readonly type: "replay";
    readonly claimId: string;
    readonly answer: StoredAnswer;
  }
  | {
    readonly type: "refuse";
    readonly claimId: string;
    readonly kind: kernel.ErrorKind;
  }
  | { readonly type: "took-over"; readonly number: number }
  | { readonly type: "deposed"; readonly by: string };

export interface ClaimJournalOptions {
  /** Unique to one incarnation of a process. */
  readonly ownerId: string;
  /** How long a key and its answer are remembered. */
  readonly retentionMs: number;
  readonly snapshotEverySegments: number;
}
