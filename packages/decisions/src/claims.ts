/**
 * Claim journal of one partition of a service's keys, as a pure state machine.
 *
 * A call that must not run twice is claimed durably before it runs. Claims are
 * batched into segments with consecutive numbers that are only ever created,
 * never changed. A process takes over by creating the next number as an opening
 * segment; the next append of a process that was paused meanwhile then fails,
 * and it never runs what it could not append.
 *
 * One store call is outstanding at a time. After a lost reply the number is
 * read back: it holds this process's batch, another segment, or nothing.
 */
import type * as kernel from "@jackdawbank/kernel";
import * as tables from "./claim_table.ts";
import type * as types from "./claim_types.ts";
import * as waiting from "./claim_waiters.ts";

interface Batch {
  readonly number: number;
  readonly segment: types.Segment;
  readonly claims: readonly waiting.PendingClaim[];
  readonly queuedRecords: readonly types.ClaimRecord[];
}

type Phase =
  | "idle"
  | "reading-snapshot"
  | "reading"
  | "appending"
  | "verifying"
  | "snapshotting";

const MAX_BATCH_RECORDS = 256;

/** The state machine of one partition in one process. */
export class ClaimJournal {
  readonly #options: types.ClaimJournalOptions;
  readonly #table: tables.ClaimTable;
  readonly #abandoned = new Set<string>();
  /** Claims granted here that have not ended, by claim id. */
  readonly #running = new Map<string, string>();
  readonly #waiters = new waiting.ClaimWaiters();
  #pending: waiting.PendingClaim[] = [];
  #queued: types.ClaimRecord[] = [];
  #phase: Phase = "idle";
  #isOwner = false;
  #hasRead = false;
  #next = 1;
  #batch: Batch | undefined;
  #removable: number[] = [];
  #segmentsSinceSnapshot = 0;
  #batchCount = 0;
  #isFlushDue = false;
  #loadedSnapshotNumber = 0;
  /** Batches whose claims were never granted although they may be stored. */
  readonly #voidedBatches = new Set<string>();

  constructor(options: types.ClaimJournalOptions) {
    this.#options = options;
    this.#table = new tables.ClaimTable(options.retentionMs);
  }

  /** Whether this process appends without taking over first. */
  get isOwner(): boolean {
    return this.#isOwner;
  }

  /** Number of the next segment. */
  get nextNumber(): number {
    return this.#next;
  }

  /** Whether facts wait to be stored. */
  get hasQueued(): boolean {
    return this.#queued.length > 0;
  }

  /** Keys that are remembered. */
  get size(): number {
    return this.#table.size;
  }

  /** Whether a claim waits for another call under its key to end. */
  isWaiting(claimId: string): boolean {
    return this.#waiters.has(claimId);
  }

  /** Takes one event and returns what to do, in order. */
  handle(event: types.ClaimEvent, nowMs: number): readonly types.ClaimEffect[] {
    switch (event.type) {
      case "claim":
        return this.#claim(event, nowMs);
      case "finish":
        return this.#finish(event.claimId, event.answer, nowMs);
      case "abandon":
        return this.#abandon(event.claimId, nowMs);
      case "lose":
        return this.#lose(event.claimId);
      case "flush":
        this.#isFlushDue = true;
        return this.#advance(nowMs);
      case "stored":
        return this.#continue(event.outcome, nowMs);
    }
  }

  #claim(
    claim: waiting.PendingClaim,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const { claimId, key, bodyHash, voided } = claim;
    const pending = { claimId, key, bodyHash, voided };
    if (this.#isOwner) {
      const settled = this.#settleFromTable(pending, nowMs);
      if (settled !== "claimable") return settled;
    }
    this.#pending.push(pending);
    return this.#advance(nowMs);
  }

  #finish(
    claimId: string,
    answer: types.KeptAnswer,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key === undefined) return [];
    this.#running.delete(claimId);
    const record: types.ClaimRecord = { type: "done", key, claimId, answer };
    this.#table.apply(record);
    this.#queued.push(record);
    const replays = this.#waiters.take(key).map((waiter): types.ClaimEffect =>
      waiter.bodyHash === this.#table.get(key)?.bodyHash
        ? { type: "replay", claimId: waiter.claimId, answer }
        : { type: "refuse", claimId: waiter.claimId, kind: "key-reused" }
    );
    return [...replays, ...this.#advance(nowMs)];
  }

  #abandon(claimId: string, nowMs: number): readonly types.ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key !== undefined) return this.#release(claimId, key, nowMs);
    this.#pending = this.#pending.filter((claim) => claim.claimId !== claimId);
    this.#waiters.remove(claimId);
    const isInBatch =
      this.#batch?.claims.some((claim) => claim.claimId === claimId) === true;
    if (isInBatch) this.#abandoned.add(claimId);
    return [];
  }

  #release(
    claimId: string,
    key: string,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    this.#running.delete(claimId);
    const record: types.ClaimRecord = { type: "release", key, claimId };
    this.#table.apply(record);
    this.#queued.push(record);
    this.#pending.push(...this.#waiters.take(key));
    return this.#advance(nowMs);
  }

  #lose(claimId: string): readonly types.ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key === undefined) return [];
    this.#running.delete(claimId);
    return this.#waiters.take(key).map((waiter) => ({
      type: "refuse",
      claimId: waiter.claimId,
      kind: "outcome-unknown",
    }));
  }

  /** Answers a claim from what is known of its key, unless it can be claimed. */
  #settleFromTable(
    claim: waiting.PendingClaim,
    nowMs: number,
  ): readonly types.ClaimEffect[] | "claimable" {
    const entry = this.#table.get(claim.key);
    if (entry === undefined || entry.state === "released") return "claimable";
    if (entry.state !== "claimed" && this.#table.isExpired(entry, nowMs)) {
      return "claimable";
    }
    const refuse = (kind: kernel.ErrorKind): readonly types.ClaimEffect[] => [
      { type: "refuse", claimId: claim.claimId, kind },
    ];
    if (entry.bodyHash !== claim.bodyHash) return refuse("key-reused");
    if (entry.state === "done") {
      if (entry.answer === undefined) return refuse("already-run");
      return [{ type: "replay", claimId: claim.claimId, answer: entry.answer }];
    }
    if (claim.voided.includes(entry.claimId)) return "claimable";
    if (![...this.#running.values()].includes(claim.key)) {
      return refuse("outcome-unknown");
    }
    this.#waiters.add(claim);
    return [];
  }

  /** Starts the next store call if none is outstanding and there is a reason. */
  #advance(nowMs: number): readonly types.ClaimEffect[] {
    if (this.#phase !== "idle") return [];
    const isFlushing = this.#isFlushDue && this.#queued.length > 0;
    if (this.#pending.length === 0 && !isFlushing) return [];
    if (!this.#hasRead) {
      this.#phase = "reading-snapshot";
      return [{ type: "read-snapshot" }];
    }
    if (this.#isOwner) return this.#append(nowMs);
    this.#phase = "reading";
    return [{ type: "read", number: this.#next }];
  }

  /** Builds a batch at the tail; claims that the table answers do not enter it. */
  #append(nowMs: number): readonly types.ClaimEffect[] {
    const effects: types.ClaimEffect[] = [];
    const claims: waiting.PendingClaim[] = [];
    const keys = new Set<string>();
    const later: waiting.PendingClaim[] = [];
    const queuedRecords = this.#queued.slice(0, MAX_BATCH_RECORDS);
    this.#queued = this.#queued.slice(queuedRecords.length);
    this.#isFlushDue = this.#queued.length > 0;
    // A key's claim may not be stored before the key's earlier records.
    for (const record of this.#queued) keys.add(record.key);
    for (const claim of this.#pending) {
      const settled = this.#settleFromTable(claim, nowMs);
      if (settled !== "claimable") effects.push(...settled);
      else if (keys.has(claim.key) || claims.length >= MAX_BATCH_RECORDS) {
        later.push(claim);
      } else {
        keys.add(claim.key);
        claims.push(claim);
      }
    }
    this.#pending = later;
    if (claims.length === 0 && queuedRecords.length === 0) {
      this.#phase = "idle";
      return effects;
    }
    this.#batch = this.#buildBatch(claims, queuedRecords, nowMs);
    this.#phase = "appending";
    effects.push({
      type: "create",
      number: this.#next,
      segment: this.#batch.segment,
    });
    return effects;
  }

  #buildBatch(
    claims: readonly waiting.PendingClaim[],
    queuedRecords: readonly types.ClaimRecord[],
    nowMs: number,
  ): Batch {
    this.#batchCount += 1;
    const records: readonly types.ClaimRecord[] = [
      ...queuedRecords,
      ...claims.map((claim) => ({
        type: "claim" as const,
        key: claim.key,
        bodyHash: claim.bodyHash,
        atMs: nowMs,
        claimId: claim.claimId,
        replaces: claim.voided.find((voided) =>
          voided === this.#table.get(claim.key)?.claimId
        ),
      })),
    ];
    const segment = {
      ownerId: this.#options.ownerId,
      isOpening: !this.#isOwner && claims.length > 0,
      batchId: `${this.#options.ownerId}/${this.#batchCount}`,
      records,
    };
    return { number: this.#next, segment, claims, queuedRecords };
  }

  #continue(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    switch (this.#phase) {
      case "idle":
        return [];
      case "reading-snapshot":
        return this.#continueSnapshotRead(outcome, nowMs);
      case "reading":
        return this.#continueRead(outcome, nowMs);
      case "appending":
        return this.#continueAppend(outcome, nowMs);
      case "verifying":
        return this.#continueVerify(outcome, nowMs);
      case "snapshotting":
        return this.#continueSnapshotStore(outcome, nowMs);
    }
  }

  #continueSnapshotRead(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    if (outcome.type !== "snapshot") return [{ type: "read-snapshot" }];
    this.#loadSnapshot(outcome.snapshot);
    this.#hasRead = true;
    this.#phase = "idle";
    return this.#advance(nowMs);
  }

  #loadSnapshot(snapshot: types.ClaimSnapshot | undefined): void {
    if (snapshot === undefined) return;
    this.#loadedSnapshotNumber = snapshot.number;
    this.#table.load(snapshot.entries);
    this.#next = snapshot.number + 1;
    this.#removable = [];
    this.#segmentsSinceSnapshot = 0;
  }

  #continueRead(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    if (outcome.type === "found") {
      this.#applySegment(outcome.segment);
      return [{ type: "read", number: this.#next }];
    }
    if (outcome.type === "absent") return this.#append(nowMs);
    return [{ type: "read", number: this.#next }];
  }

  #continueAppend(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const batch = this.#batch as Batch;
    switch (outcome.type) {
      case "created":
        return this.#completeBatch(batch, nowMs);
      case "exists":
      case "found":
        return outcome.segment.batchId === batch.segment.batchId
          ? this.#completeBatch(batch, nowMs)
          : this.#yieldNumber(batch, outcome.segment, nowMs);
      case "absent":
        return [{
          type: "create",
          number: batch.number,
          segment: batch.segment,
        }];
      default:
        return [{ type: "read", number: batch.number }];
    }
  }

  /** Another segment stands at the number: nothing of the batch has happened. */
  #yieldNumber(
    batch: Batch,
    other: types.Segment,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const effects: types.ClaimEffect[] = [];
    const wasOwner = this.#isOwner;
    this.#batch = undefined;
    this.#queued = [...batch.queuedRecords, ...this.#queued];
    const claims = batch.claims.filter((claim) =>
      !this.#abandoned.delete(claim.claimId)
    );
    this.#applySegment(other);
    const isDeposed = other.isOpening && (wasOwner || batch.segment.isOpening);
    if (isDeposed) {
      this.#isOwner = false;
      effects.push({ type: "deposed", by: other.ownerId });
      effects.push(
        ...this.#refuseAll(claims),
        ...this.#refuseAll(this.#pending),
      );
      this.#pending = [];
    } else {
      this.#pending = [...claims, ...this.#pending];
    }
    this.#phase = "idle";
    return [...effects, ...this.#advance(nowMs)];
  }

  #refuseAll(
    claims: readonly waiting.PendingClaim[],
  ): readonly types.ClaimEffect[] {
    return claims.map((claim) => ({
      type: "refuse",
      claimId: claim.claimId,
      kind: "claim-moved",
    }));
  }

  #completeBatch(batch: Batch, nowMs: number): readonly types.ClaimEffect[] {
    if (batch.segment.isOpening) {
      this.#phase = "verifying";
      return [{ type: "read-snapshot" }];
    }
    return this.#grantBatch(batch, nowMs);
  }

  /**
   * A snapshot stored since the reading began may have removed segments that
   * were still to be read: start over from it, and void the opening.
   */
  #continueVerify(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const batch = this.#batch as Batch;
    if (outcome.type !== "snapshot") return [{ type: "read-snapshot" }];
    const currentNumber = outcome.snapshot?.number ?? 0;
    if (currentNumber !== this.#loadedSnapshotNumber) {
      this.#batch = undefined;
      this.#voidedBatches.add(batch.segment.batchId);
      this.#queued = [...batch.queuedRecords, ...this.#queued];
      const claims = batch.claims.filter((claim) =>
        !this.#abandoned.delete(claim.claimId)
      );
      this.#pending = [...claims, ...this.#pending];
      this.#loadSnapshot(outcome.snapshot);
      this.#phase = "idle";
      return this.#advance(nowMs);
    }
    this.#isOwner = true;
    return [
      { type: "took-over", number: batch.number },
      ...this.#grantBatch(batch, nowMs),
    ];
  }

  #grantBatch(batch: Batch, nowMs: number): readonly types.ClaimEffect[] {
    const effects: types.ClaimEffect[] = [];
    this.#batch = undefined;
    this.#applySegment(batch.segment);
    for (const claim of batch.claims) {
      this.#running.set(claim.claimId, claim.key);
      if (!this.#abandoned.delete(claim.claimId)) {
        effects.push({ type: "grant", claimId: claim.claimId });
        continue;
      }
      this.#phase = "appending";
      effects.push(...this.#release(claim.claimId, claim.key, nowMs));
    }
    this.#phase = "idle";
    if (
      this.#isOwner &&
      this.#segmentsSinceSnapshot >= this.#options.snapshotEverySegments
    ) {
      return [...effects, this.#storeSnapshot(nowMs)];
    }
    return [...effects, ...this.#advance(nowMs)];
  }

  #storeSnapshot(nowMs: number): types.ClaimEffect {
    this.#table.prune(nowMs, new Set(this.#running.values()));
    this.#phase = "snapshotting";
    const snapshot = {
      number: this.#next - 1,
      entries: this.#table.list(),
    };
    return {
      type: "store-snapshot",
      snapshot,
      removable: [...this.#removable],
    };
  }

  #continueSnapshotStore(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    if (outcome.type === "snapshot-stored") {
      this.#removable = [];
      this.#loadedSnapshotNumber = this.#next - 1;
    }
    this.#segmentsSinceSnapshot = 0;
    this.#phase = "idle";
    return this.#advance(nowMs);
  }

  #applySegment(segment: types.Segment): void {
    for (const record of segment.records) this.#table.apply(record);
    if (this.#voidedBatches.has(segment.batchId)) this.#releaseVoided(segment);
    const isOwnAppend = this.#isOwner && !segment.isOpening &&
      segment.ownerId === this.#options.ownerId;
    if (isOwnAppend) this.#removable.push(this.#next);
    this.#next += 1;
    this.#segmentsSinceSnapshot += 1;
  }

  #releaseVoided(segment: types.Segment): void {
    for (const record of segment.records) {
      if (record.type !== "claim") continue;
      if (this.#table.get(record.key)?.claimId !== record.claimId) continue;
      const { key, claimId } = record;
      const release: types.ClaimRecord = { type: "release", key, claimId };
      this.#table.apply(release);
      this.#queued.push(release);
    }
  }
}
