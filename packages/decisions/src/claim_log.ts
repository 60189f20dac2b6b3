/**
 * The segments of one partition as far as they were read: what they say of each
 * key, where the next one goes, and what a snapshot would replace.
 */
import * as tables from "./claim_table.ts";
import type * as types from "./claim_types.ts";

/** Place in the sequence of segments, with the table that they make. */
export class ClaimLog {
  readonly table: tables.ClaimTable;
  #next = 1;
  #removable: number[] = [];
  #segmentsSinceSnapshot = 0;
  #loadedSnapshotNumber = 0;
  /** Batches whose claims were never granted although they may be stored. */
  readonly #voidedBatches = new Set<string>();

  constructor(retentionMs: number) {
    this.table = new tables.ClaimTable(retentionMs);
  }

  /** Number of the next segment. */
  get next(): number {
    return this.#next;
  }

  get segmentsSinceSnapshot(): number {
    return this.#segmentsSinceSnapshot;
  }

  /** Number of the snapshot that this process stands on; 0 for none. */
  get loadedSnapshotNumber(): number {
    return this.#loadedSnapshotNumber;
  }

  /** Starts over from a snapshot, if there is one. */
  load(snapshot: types.ClaimSnapshot | undefined): void {
    if (snapshot === undefined) return;
    this.#loadedSnapshotNumber = snapshot.number;
    this.table.load(snapshot.entries);
    this.#next = snapshot.number + 1;
    this.#removable = [];
    this.#segmentsSinceSnapshot = 0;
  }

  /** The claims of a batch that may be stored count as never granted. */
  voidBatch(batchId: string): void {
    this.#voidedBatches.add(batchId);
  }

  /**
   * Takes the next segment; one of this process's own appends may be removed
   * once a snapshot covers it. Returns the releases that void claims need.
   */
  take(
    segment: types.ClaimSegment,
    isOwnAppend: boolean,
  ): readonly types.ClaimRecord[] {
    for (const record of segment.records) this.table.apply(record);
    const releases = this.#voidedBatches.has(segment.batchId)
      ? this.#releaseAll(segment)
      : [];
    if (isOwnAppend) this.#removable.push(this.#next);
    this.#next += 1;
    this.#segmentsSinceSnapshot += 1;
    return releases;
  }

  /** A snapshot of all that was read, without what has expired. */
  createSnapshot(
    nowMs: number,
    keysInUse: ReadonlySet<string>,
  ): Extract<types.ClaimEffect, { type: "store-snapshot" }> {
    this.table.prune(nowMs, keysInUse);
    return {
      type: "store-snapshot",
      snapshot: { number: this.#next - 1, entries: this.table.list() },
      removable: [...this.#removable],
    };
  }

  /** The call that stored a snapshot has ended. */
  endSnapshot(isStored: boolean): void {
    this.#segmentsSinceSnapshot = 0;
    if (!isStored) return;
    this.#removable = [];
    this.#loadedSnapshotNumber = this.#next - 1;
  }

  #releaseAll(segment: types.ClaimSegment): readonly types.ClaimRecord[] {
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
