/** What a claim journal stores, takes and gives: durable records, events and effects. */
import type * as kernel from "@jackdawbank/kernel";

/** The kept answer of a call that ran. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** The body, when it is small enough to be kept. */
  readonly body: Uint8Array | undefined;
}

/** A durable fact about one key. */
export type ClaimRecord =
  | {
    readonly type: "claim";
    readonly key: string;
    readonly bodyHash: string;
    readonly atMs: number;
    readonly claimId: string;
    /** A claim that was never committed, which this one takes the place of. */
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

/** One stored segment. */
export interface ClaimSegment {
  readonly ownerId: string;
  /** Set on the segment by which an owner takes over. */
  readonly isOpening: boolean;
  readonly batchId: string;
  readonly records: readonly ClaimRecord[];
}

/** What is known of a key. */
export interface ClaimEntry {
  readonly key: string;
  readonly bodyHash: string;
  readonly claimId: string;
  readonly atMs: number;
  readonly state: "claimed" | "done" | "released";
  readonly answer: StoredAnswer | undefined;
}

/** State up to and including a segment number, which replaces the segments before it. */
export interface ClaimSnapshot {
  readonly number: number;
  readonly entries: readonly ClaimEntry[];
}

/** What became of the outstanding store call. */
export type StoreOutcome =
  | { readonly type: "created" }
  | { readonly type: "exists"; readonly segment: ClaimSegment }
  | { readonly type: "found"; readonly segment: ClaimSegment }
  | { readonly type: "absent" }
  | { readonly type: "snapshot"; readonly snapshot: ClaimSnapshot | undefined }
  | { readonly type: "snapshot-stored" }
  /** No reply, or an error that does not tell whether the call took effect. */
  | { readonly type: "unknown" };

/** Input of the state machine. */
export type ClaimEvent =
  | {
    readonly type: "claim";
    readonly claimId: string;
    readonly key: string;
    readonly bodyHash: string;
    /** Earlier claims of the key that were never committed and never will be. */
    readonly voided: readonly string[];
  }
  | {
    readonly type: "finish";
    readonly claimId: string;
    readonly answer: StoredAnswer;
  }
  /** The caller gave up, or the call was granted but never started. */
  | { readonly type: "abandon"; readonly claimId: string }
  /** The call started and its outcome is not known: the claim stays. */
  | { readonly type: "mark-outcome-unknown"; readonly claimId: string }
  /** Facts that wait for the next claim's batch are to be stored now. */
  | { readonly type: "flush" }
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
    /** Segments that the snapshot replaces and that nobody else may append at. */
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

/** Settings of a journal. */
export interface ClaimJournalOptions {
  /** Unique to this process's incarnation. */
  readonly ownerId: string;
  readonly retentionMs: number;
  readonly snapshotEverySegments: number;
}
