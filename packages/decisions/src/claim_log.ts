/**
 * The segments of one partition as far as they were read: the resulting state of
 * each key, the next segment number, and the segments that a snapshot replaces.
 */
import * as tables from "./claim_table.ts";
import type * as types from "./claim_types.ts";

/** Position in the sequence of segments, with the table that results from them. */
export class ClaimLog {
  readonly table: tables.ClaimTable;
  #nextNumber = 1;
  /** Own segments that may be removed once a snapshot covers them. */
  #removable: number[] = [];
  #segmentsSinceSnapshot = 0;
  #loadedSnapshotNumber = 0;
  /** Batches that may be stored although none of their claims was granted. */
  readonly #voidedBatches = new Set<string>();

  constructor(retentionMs: number) {
    this.table = new tables.ClaimTable(retentionMs);
  }

  get nextNumber(): number {
    return this.#nextNumber;
  }

  get segmentsSinceSnapshot(): number {
    return this.#segmentsSinceSnapshot;
  }

  /** Number of the last segment that the loaded snapshot covers; 0 without a snapshot. */
  get loadedSnapshotNumber(): number {
    return this.#loadedSnapshotNumber;
  }

  /** Replaces the state by a snapshot, if there is one. */
  load(snapshot: types.ClaimSnapshot | undefined): void {
    if (snapshot === undefined) return;
    this.#loadedSnapshotNumber = snapshot.number;
    this.table.load(snapshot.entries);
    this.#nextNumber = snapshot.number + 1;
    this.#removable = [];
    this.#segmentsSinceSnapshot = 0;
  }

  /** Marks as void a batch that may be stored; its claims are released when it is read. */
  voidBatch(batchId: string): void {
    this.#voidedBatches.add(batchId);
  }

  /**
   * Applies the next segment. A segment that this process appended as the owner
   * may be removed once a snapshot covers it. Returns release records for the
   * claims of a void batch, which have to be stored.
   */
  applySegment(
    segment: types.ClaimSegment,
    isOwnAppend: boolean,
  ): readonly types.ClaimRecord[] {
    for (const record of segment.records) this.table.apply(record);
    const releases = this.#voidedBatches.has(segment.batchId)
      ? this.#releaseClaims(segment)
      : [];
    if (isOwnAppend) this.#removable.push(this.#nextNumber);
    this.#nextNumber += 1;
    this.#segmentsSinceSnapshot += 1;
    return releases;
  }

  /** Builds a snapshot of all segments read so far, without expired entries. */
  createSnapshot(
    nowMs: number,
    keysInUse: ReadonlySet<string>,
  ): Extract<types.ClaimEffect, { type: "store-snapshot" }> {
    this.table.prune(nowMs, keysInUse);
    return {
      type: "store-snapshot",
      snapshot: { number: this.#nextNumber - 1, entries: this.table.list() },
      removable: [...this.#removable],
    };
  }

  /** Handles the end of the call that stores a snapshot. */
  completeSnapshot(isStored: boolean): void {
    this.#segmentsSinceSnapshot = 0;
    if (!isStored) return;
    this.#removable = [];
    this.#loadedSnapshotNumber = this.#nextNumber - 1;
  }

  #releaseClaims(segment: types.ClaimSegment): readonly types.ClaimRecord[] {
    return segment.records.flatMap((record): readonly types.ClaimRecord[] => {
      const { key, claimId } = record;
      const isCurrent = record.type === "claim" &&
        this.table.get(key)?.claimId === claimId;
      if (!isCurrent) return [];
      const release: types.ClaimRecord = { type: "release", key, claimId };
      this.table.apply(release);
      return [release];
    });
  }
}
