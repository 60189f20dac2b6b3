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
import * as batches from "./claim_batch.ts";
import * as logs from "./claim_log.ts";
import type * as types from "./claim_types.ts";
import * as waiting from "./claim_waiters.ts";

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
  readonly #log: logs.ClaimLog;
  readonly #abandoned = new Set<string>();
  /** Claims granted here that have not ended, by claim id. */
  readonly #running = new Map<string, string>();
  readonly #waiters = new waiting.ClaimWaiters();
  #pending: waiting.PendingClaim[] = [];
  #queued: types.ClaimRecord[] = [];
  #phase: Phase = "idle";
  #isOwner = false;
  #hasRead = false;
  #batch: batches.Batch | undefined;
  #batchCount = 0;
  #isFlushDue = false;

  constructor(options: types.ClaimJournalOptions) {
    this.#options = options;
    this.#log = new logs.ClaimLog(options.retentionMs);
  }

  /** Whether this process appends without taking over first. */
  get isOwner(): boolean {
    return this.#isOwner;
  }

  /** Number of the next segment. */
  get nextNumber(): number {
    return this.#log.next;
  }

  /** Whether facts wait to be stored. */
  get hasQueuedRecords(): boolean {
    return this.#queued.length > 0;
  }

  /** Keys that are remembered. */
  get size(): number {
    return this.#log.table.size;
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
      case "mark-outcome-unknown":
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
    answer: types.StoredAnswer,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key === undefined) return [];
    this.#running.delete(claimId);
    const record: types.ClaimRecord = { type: "done", key, claimId, answer };
    this.#log.table.apply(record);
    this.#queued.push(record);
    const replays = this.#waiters.take(key).map((waiter): types.ClaimEffect =>
      waiter.bodyHash === this.#log.table.get(key)?.bodyHash
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
    this.#log.table.apply(record);
    this.#queued.push(record);
    this.#pending.push(...this.#waiters.take(key));
    return this.#advance(nowMs);
  }

  #lose(claimId: string): readonly types.ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key === undefined) return [];
    this.#running.delete(claimId);
    return refuseAll(this.#waiters.take(key), "outcome-unknown");
  }

  /** Answers a claim from what is known of its key, unless it can be claimed. */
  #settleFromTable(
    claim: waiting.PendingClaim,
    nowMs: number,
  ): readonly types.ClaimEffect[] | "claimable" {
    const settled = this.#log.table.settle(claim, {
      nowMs,
      isRunning: () => [...this.#running.values()].includes(claim.key),
    });
    if (settled === "claimable") return settled;
    if (settled !== "waits") return [settled];
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
    return [{ type: "read", number: this.#log.next }];
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
    this.#batchCount += 1;
    this.#batch = batches.buildBatch({
      number: this.#log.next,
      ownerId: this.#options.ownerId,
      batchId: `${this.#options.ownerId}/${this.#batchCount}`,
      isOpening: !this.#isOwner && claims.length > 0,
      claims,
      queuedRecords,
      atMs: nowMs,
    }, this.#log.table);
    this.#phase = "appending";
    effects.push({
      type: "create",
      number: this.#log.next,
      segment: this.#batch.segment,
    });
    return effects;
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
    this.#log.load(outcome.snapshot);
    this.#hasRead = true;
    this.#phase = "idle";
    return this.#advance(nowMs);
  }

  #continueRead(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    if (outcome.type === "found") {
      this.#applySegment(outcome.segment);
      return [{ type: "read", number: this.#log.next }];
    }
    if (outcome.type === "absent") return this.#append(nowMs);
    return [{ type: "read", number: this.#log.next }];
  }

  #continueAppend(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const batch = this.#batch as batches.Batch;
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
    batch: batches.Batch,
    other: types.ClaimSegment,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const effects: types.ClaimEffect[] = [];
    const wasOwner = this.#isOwner;
    const claims = this.#takeBack(batch);
    this.#applySegment(other);
    const isDeposed = other.isOpening && (wasOwner || batch.segment.isOpening);
    if (isDeposed) {
      this.#isOwner = false;
      effects.push({ type: "deposed", by: other.ownerId });
      effects.push(
        ...refuseAll(claims, "claim-moved"),
        ...refuseAll(this.#pending, "claim-moved"),
      );
      this.#pending = [];
    } else {
      this.#pending = [...claims, ...this.#pending];
    }
    this.#phase = "idle";
    return [...effects, ...this.#advance(nowMs)];
  }

  /** Gives the batch up; its records wait again, and its claims are returned. */
  #takeBack(batch: batches.Batch): readonly waiting.PendingClaim[] {
    this.#batch = undefined;
    this.#queued = [...batch.queuedRecords, ...this.#queued];
    return batch.claims.filter((claim) =>
      !this.#abandoned.delete(claim.claimId)
    );
  }

  #completeBatch(
    batch: batches.Batch,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
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
    const batch = this.#batch as batches.Batch;
    if (outcome.type !== "snapshot") return [{ type: "read-snapshot" }];
    const currentNumber = outcome.snapshot?.number ?? 0;
    if (currentNumber !== this.#log.loadedSnapshotNumber) {
      this.#log.voidBatch(batch.segment.batchId);
      this.#pending = [...this.#takeBack(batch), ...this.#pending];
      this.#log.load(outcome.snapshot);
      this.#phase = "idle";
      return this.#advance(nowMs);
    }
    this.#isOwner = true;
    return [
      { type: "took-over", number: batch.number },
      ...this.#grantBatch(batch, nowMs),
    ];
  }

  #grantBatch(
    batch: batches.Batch,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
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
      this.#log.segmentsSinceSnapshot >= this.#options.snapshotEverySegments
    ) {
      this.#phase = "snapshotting";
      const keysInUse = new Set(this.#running.values());
      return [...effects, this.#log.createSnapshot(nowMs, keysInUse)];
    }
    return [...effects, ...this.#advance(nowMs)];
  }

  #continueSnapshotStore(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    this.#log.endSnapshot(outcome.type === "snapshot-stored");
    this.#phase = "idle";
    return this.#advance(nowMs);
  }

  #applySegment(segment: types.ClaimSegment): void {
    const isOwnAppend = this.#isOwner && !segment.isOpening &&
      segment.ownerId === this.#options.ownerId;
    this.#queued.push(...this.#log.take(segment, isOwnAppend));
  }
}

function refuseAll(
  claims: readonly waiting.PendingClaim[],
  kind: kernel.ErrorKind,
): readonly types.ClaimEffect[] {
  return claims.map(({ claimId }) => ({ type: "refuse", claimId, kind }));
}
