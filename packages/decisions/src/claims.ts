/**
 * Claim journal of one partition of a service's idempotency keys, as a pure state
 * machine. `handle` takes an event and returns the effects to carry out.
 *
 * A call that must not run twice is claimed durably before it runs. Claims are
 * batched into segments with consecutive numbers; segments are created and never
 * changed. A process becomes the owner by creating the next number as an opening
 * segment. The next append of a previous owner, for example one that was paused,
 * then fails, and it does not run claims that it could not append.
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

/** Largest number of queued records, and of claims, in one segment. */
const MAX_BATCH_RECORDS = 256;

export class ClaimJournal {
  readonly #options: types.ClaimJournalOptions;
  readonly #log: logs.ClaimLog;
  /** Claims that were abandoned while their batch was being stored. */
  readonly #abandonedInBatch = new Set<string>();
  /** Keys of the claims granted here that have not ended, by claim id. */
  readonly #running = new Map<string, string>();
  readonly #waiters = new waiting.ClaimWaiters();
  #pendingClaims: waiting.PendingClaim[] = [];
  /** Records to be stored with the next batch. */
  #queued: types.ClaimRecord[] = [];
  #phase: Phase = "idle";
  #isOwner = false;
  #hasReadSnapshot = false;
  #batch: batches.Batch | undefined;
  #batchCount = 0;
  #isFlushRequested = false;

  constructor(options: types.ClaimJournalOptions) {
    this.#options = options;
    this.#log = new logs.ClaimLog(options.retentionMs);
  }

  /** Whether this process owns the partition, so that it need not take over before it appends. */
  get isOwner(): boolean {
    return this.#isOwner;
  }

  /** Number of the next segment. */
  get nextNumber(): number {
    return this.#log.nextNumber;
  }

  get hasQueuedRecords(): boolean {
    return this.#queued.length > 0;
  }

  /** Number of keys that are remembered. */
  get size(): number {
    return this.#log.table.size;
  }

  /** Whether a claim waits for a running call with the same key. */
  isWaiting(claimId: string): boolean {
    return this.#waiters.has(claimId);
  }

  /** Handles one event and returns the effects to carry out, in order. */
  handle(event: types.ClaimEvent, nowMs: number): readonly types.ClaimEffect[] {
    switch (event.type) {
      case "claim":
        return this.#claim(event, nowMs);
      case "finish":
        return this.#finish(event.claimId, event.answer, nowMs);
      case "abandon":
        return this.#abandon(event.claimId, nowMs);
      case "mark-outcome-unknown":
        return this.#markOutcomeUnknown(event.claimId);
      case "flush":
        this.#isFlushRequested = true;
        return this.#startStoreCall(nowMs);
      case "stored":
        return this.#handleStoreOutcome(event.outcome, nowMs);
    }
  }

  #claim(
    claim: waiting.PendingClaim,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const { claimId, key, bodyHash, voided } = claim;
    const pending = { claimId, key, bodyHash, voided };
    if (this.#isOwner) {
      const resolution = this.#resolveFromTable(pending, nowMs);
      if (resolution !== "claimable") return resolution;
    }
    this.#pendingClaims.push(pending);
    return this.#startStoreCall(nowMs);
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
    const replays = this.#waiters.takeAll(key).map((
      waiter,
    ): types.ClaimEffect =>
      waiter.bodyHash === this.#log.table.get(key)?.bodyHash
        ? { type: "replay", claimId: waiter.claimId, answer }
        : { type: "refuse", claimId: waiter.claimId, kind: "key-reused" }
    );
    return [...replays, ...this.#startStoreCall(nowMs)];
  }

  #abandon(claimId: string, nowMs: number): readonly types.ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key !== undefined) return this.#release(claimId, key, nowMs);
    this.#pendingClaims = this.#pendingClaims.filter((claim) =>
      claim.claimId !== claimId
    );
    this.#waiters.remove(claimId);
    const isInBatch =
      this.#batch?.claims.some((claim) => claim.claimId === claimId) === true;
    if (isInBatch) this.#abandonedInBatch.add(claimId);
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
    this.#pendingClaims.push(...this.#waiters.takeAll(key));
    return this.#startStoreCall(nowMs);
  }

  #markOutcomeUnknown(claimId: string): readonly types.ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key === undefined) return [];
    this.#running.delete(claimId);
    return refuseAll(this.#waiters.takeAll(key), "outcome-unknown");
  }

  /** Replays or refuses a claim, or makes it wait, as its key's entry requires, unless the key is free. */
  #resolveFromTable(
    claim: waiting.PendingClaim,
    nowMs: number,
  ): readonly types.ClaimEffect[] | "claimable" {
    const resolution = this.#log.table.resolveClaim(claim, {
      nowMs,
      isRunning: () => [...this.#running.values()].includes(claim.key),
    });
    if (resolution === "claimable") return resolution;
    if (resolution !== "waits") return [resolution];
    this.#waiters.add(claim);
    return [];
  }

  /** Starts the next store call if none is outstanding and there is something to store. */
  #startStoreCall(nowMs: number): readonly types.ClaimEffect[] {
    if (this.#phase !== "idle") return [];
    const shouldFlush = this.#isFlushRequested &&
      this.#queued.length > 0;
    if (this.#pendingClaims.length === 0 && !shouldFlush) return [];
    if (!this.#hasReadSnapshot) {
      this.#phase = "reading-snapshot";
      return [{ type: "read-snapshot" }];
    }
    if (this.#isOwner) return this.#appendBatch(nowMs);
    this.#phase = "reading";
    return [{ type: "read", number: this.#log.nextNumber }];
  }

  /** Starts to store a batch; claims that the table already resolves are left out. */
  #appendBatch(nowMs: number): readonly types.ClaimEffect[] {
    const effects: types.ClaimEffect[] = [];
    const claims: waiting.PendingClaim[] = [];
    const unavailableKeys = new Set<string>();
    const deferred: waiting.PendingClaim[] = [];
    const queuedRecords = this.#queued.slice(0, MAX_BATCH_RECORDS);
    this.#queued = this.#queued.slice(queuedRecords.length);
    this.#isFlushRequested = this.#queued.length > 0;
    // A key's claim may not be stored before the key's earlier records.
    for (const record of this.#queued) unavailableKeys.add(record.key);
    for (const claim of this.#pendingClaims) {
      const resolution = this.#resolveFromTable(claim, nowMs);
      if (resolution !== "claimable") effects.push(...resolution);
      else if (
        unavailableKeys.has(claim.key) || claims.length >= MAX_BATCH_RECORDS
      ) {
        deferred.push(claim);
      } else {
        unavailableKeys.add(claim.key);
        claims.push(claim);
      }
    }
    this.#pendingClaims = deferred;
    if (claims.length === 0 && queuedRecords.length === 0) {
      this.#phase = "idle";
      return effects;
    }
    this.#batchCount += 1;
    this.#batch = batches.buildBatch({
      number: this.#log.nextNumber,
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
      number: this.#log.nextNumber,
      segment: this.#batch.segment,
    });
    return effects;
  }

  #handleStoreOutcome(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    switch (this.#phase) {
      case "idle":
        return [];
      case "reading-snapshot":
        return this.#handleSnapshotRead(outcome, nowMs);
      case "reading":
        return this.#handleSegmentRead(outcome, nowMs);
      case "appending":
        return this.#handleAppend(outcome, nowMs);
      case "verifying":
        return this.#handleVerification(outcome, nowMs);
      case "snapshotting":
        return this.#handleSnapshotStored(outcome, nowMs);
    }
  }

  #handleSnapshotRead(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    if (outcome.type !== "snapshot") return [{ type: "read-snapshot" }];
    this.#log.load(outcome.snapshot);
    this.#hasReadSnapshot = true;
    this.#phase = "idle";
    return this.#startStoreCall(nowMs);
  }

  #handleSegmentRead(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    if (outcome.type === "found") {
      this.#applySegment(outcome.segment);
      return [{ type: "read", number: this.#log.nextNumber }];
    }
    if (outcome.type === "absent") return this.#appendBatch(nowMs);
    return [{ type: "read", number: this.#log.nextNumber }];
  }

  #handleAppend(
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
          : this.#handleNumberTaken(batch, outcome.segment, nowMs);
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

  /** Another segment was created with the batch's number, so no part of the batch is stored. */
  #handleNumberTaken(
    batch: batches.Batch,
    other: types.ClaimSegment,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const effects: types.ClaimEffect[] = [];
    const wasOwner = this.#isOwner;
    const claims = this.#withdrawBatch(batch);
    this.#applySegment(other);
    const isDeposed = other.isOpening && (wasOwner || batch.segment.isOpening);
    if (isDeposed) {
      this.#isOwner = false;
      effects.push({ type: "deposed", by: other.ownerId });
      effects.push(
        ...refuseAll(claims, "claim-moved"),
        ...refuseAll(this.#pendingClaims, "claim-moved"),
      );
      this.#pendingClaims = [];
    } else {
      this.#pendingClaims = [...claims, ...this.#pendingClaims];
    }
    this.#phase = "idle";
    return [...effects, ...this.#startStoreCall(nowMs)];
  }

  /** Gives up the batch: queues its records again and returns its claims, without abandoned ones. */
  #withdrawBatch(batch: batches.Batch): readonly waiting.PendingClaim[] {
    this.#batch = undefined;
    this.#queued = [...batch.queuedRecords, ...this.#queued];
    return batch.claims.filter((claim) =>
      !this.#abandonedInBatch.delete(claim.claimId)
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
    return this.#grantClaims(batch, nowMs);
  }

  /**
   * Checks that no newer snapshot was stored while this process took over. The
   * segments that such a snapshot removed may not have been read here, so the
   * opening segment is void and reading starts over from the snapshot.
   */
  #handleVerification(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const batch = this.#batch as batches.Batch;
    if (outcome.type !== "snapshot") return [{ type: "read-snapshot" }];
    const currentNumber = outcome.snapshot?.number ?? 0;
    if (currentNumber !== this.#log.loadedSnapshotNumber) {
      this.#log.voidBatch(batch.segment.batchId);
      this.#pendingClaims = [
        ...this.#withdrawBatch(batch),
        ...this.#pendingClaims,
      ];
      this.#log.load(outcome.snapshot);
      this.#phase = "idle";
      return this.#startStoreCall(nowMs);
    }
    this.#isOwner = true;
    return [
      { type: "took-over", number: batch.number },
      ...this.#grantClaims(batch, nowMs),
    ];
  }

  #grantClaims(
    batch: batches.Batch,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    const effects: types.ClaimEffect[] = [];
    this.#batch = undefined;
    this.#applySegment(batch.segment);
    for (const claim of batch.claims) {
      this.#running.set(claim.claimId, claim.key);
      if (!this.#abandonedInBatch.delete(claim.claimId)) {
        effects.push({ type: "grant", claimId: claim.claimId });
        continue;
      }
      // While a store call counts as outstanding, `#release` does not start another.
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
    return [...effects, ...this.#startStoreCall(nowMs)];
  }

  #handleSnapshotStored(
    outcome: types.StoreOutcome,
    nowMs: number,
  ): readonly types.ClaimEffect[] {
    this.#log.completeSnapshot(outcome.type === "snapshot-stored");
    this.#phase = "idle";
    return this.#startStoreCall(nowMs);
  }

  #applySegment(segment: types.ClaimSegment): void {
    const isOwnAppend = this.#isOwner && !segment.isOpening &&
      segment.ownerId === this.#options.ownerId;
    this.#queued.push(...this.#log.applySegment(segment, isOwnAppend));
  }
}

function refuseAll(
  claims: readonly waiting.PendingClaim[],
  kind: kernel.ErrorKind,
): readonly types.ClaimEffect[] {
  return claims.map(({ claimId }) => ({ type: "refuse", claimId, kind }));
}
