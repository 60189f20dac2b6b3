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

/** The kept answer of a call that ran. */
export interface KeptAnswer {
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
    readonly answer: KeptAnswer;
  };

/** One stored segment. */
export interface Segment {
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
  readonly answer: KeptAnswer | undefined;
}

/** State up to and including a segment number, which replaces the segments before it. */
export interface ClaimSnapshot {
  readonly number: number;
  readonly entries: readonly ClaimEntry[];
}

/** What became of the outstanding store call. */
export type StoreOutcome =
  | { readonly type: "created" }
  | { readonly type: "exists"; readonly segment: Segment }
  | { readonly type: "found"; readonly segment: Segment }
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
    readonly answer: KeptAnswer;
  }
  /** The caller gave up, or the call was granted but never started. */
  | { readonly type: "abandon"; readonly claimId: string }
  /** The call started and its outcome is not known: the claim stays. */
  | { readonly type: "lose"; readonly claimId: string }
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
    readonly segment: Segment;
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
    readonly answer: KeptAnswer;
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

interface PendingClaim {
  readonly claimId: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly voided: readonly string[];
}

interface Batch {
  readonly number: number;
  readonly segment: Segment;
  readonly claims: readonly PendingClaim[];
  readonly queuedRecords: readonly ClaimRecord[];
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
  readonly #options: ClaimJournalOptions;
  readonly #entries = new Map<string, ClaimEntry>();
  readonly #abandoned = new Set<string>();
  /** Claims granted here that have not ended, by claim id. */
  readonly #running = new Map<string, string>();
  readonly #waiters = new Map<string, PendingClaim[]>();
  #pending: PendingClaim[] = [];
  #queued: ClaimRecord[] = [];
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

  constructor(options: ClaimJournalOptions) {
    this.#options = options;
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
    return this.#entries.size;
  }

  /** Whether a claim waits for another call under its key to end. */
  isWaiting(claimId: string): boolean {
    return [...this.#waiters.values()].flat().some((waiter) =>
      waiter.claimId === claimId
    );
  }

  /** Takes one event and returns what to do, in order. */
  handle(event: ClaimEvent, nowMs: number): readonly ClaimEffect[] {
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

  #claim(claim: PendingClaim, nowMs: number): readonly ClaimEffect[] {
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
    answer: KeptAnswer,
    nowMs: number,
  ): readonly ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key === undefined) return [];
    this.#running.delete(claimId);
    const record: ClaimRecord = { type: "done", key, claimId, answer };
    this.#apply(record);
    this.#queued.push(record);
    const replays = this.#takeWaiters(key).map((waiter): ClaimEffect =>
      waiter.bodyHash === this.#entries.get(key)?.bodyHash
        ? { type: "replay", claimId: waiter.claimId, answer }
        : { type: "refuse", claimId: waiter.claimId, kind: "key-reused" }
    );
    return [...replays, ...this.#advance(nowMs)];
  }

  #abandon(claimId: string, nowMs: number): readonly ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key !== undefined) return this.#release(claimId, key, nowMs);
    this.#pending = this.#pending.filter((claim) => claim.claimId !== claimId);
    for (const [waitedKey, waiters] of this.#waiters) {
      this.#waiters.set(
        waitedKey,
        waiters.filter((waiter) => waiter.claimId !== claimId),
      );
    }
    const isInBatch =
      this.#batch?.claims.some((claim) => claim.claimId === claimId) === true;
    if (isInBatch) this.#abandoned.add(claimId);
    return [];
  }

  #release(
    claimId: string,
    key: string,
    nowMs: number,
  ): readonly ClaimEffect[] {
    this.#running.delete(claimId);
    const record: ClaimRecord = { type: "release", key, claimId };
    this.#apply(record);
    this.#queued.push(record);
    this.#pending.push(...this.#takeWaiters(key));
    return this.#advance(nowMs);
  }

  #lose(claimId: string): readonly ClaimEffect[] {
    const key = this.#running.get(claimId);
    if (key === undefined) return [];
    this.#running.delete(claimId);
    return this.#takeWaiters(key).map((waiter) => ({
      type: "refuse",
      claimId: waiter.claimId,
      kind: "outcome-unknown",
    }));
  }

  #takeWaiters(key: string): readonly PendingClaim[] {
    const waiters = this.#waiters.get(key) ?? [];
    this.#waiters.delete(key);
    return waiters;
  }

  /** Answers a claim from what is known of its key, unless it can be claimed. */
  #settleFromTable(
    claim: PendingClaim,
    nowMs: number,
  ): readonly ClaimEffect[] | "claimable" {
    const entry = this.#entries.get(claim.key);
    if (entry === undefined || entry.state === "released") return "claimable";
    if (entry.state !== "claimed" && this.#isExpired(entry, nowMs)) {
      return "claimable";
    }
    const refuse = (kind: kernel.ErrorKind): readonly ClaimEffect[] => [
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
    this.#waiters.set(claim.key, [
      ...this.#waiters.get(claim.key) ?? [],
      claim,
    ]);
    return [];
  }

  #isExpired(entry: ClaimEntry, nowMs: number): boolean {
    return entry.atMs + this.#options.retentionMs <= nowMs;
  }

  /** Starts the next store call if none is outstanding and there is a reason. */
  #advance(nowMs: number): readonly ClaimEffect[] {
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
  #append(nowMs: number): readonly ClaimEffect[] {
    const effects: ClaimEffect[] = [];
    const claims: PendingClaim[] = [];
    const keys = new Set<string>();
    const later: PendingClaim[] = [];
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
    claims: readonly PendingClaim[],
    queuedRecords: readonly ClaimRecord[],
    nowMs: number,
  ): Batch {
    this.#batchCount += 1;
    const records: readonly ClaimRecord[] = [
      ...queuedRecords,
      ...claims.map((claim) => ({
        type: "claim" as const,
        key: claim.key,
        bodyHash: claim.bodyHash,
        atMs: nowMs,
        claimId: claim.claimId,
        replaces: claim.voided.find((voided) =>
          voided === this.#entries.get(claim.key)?.claimId
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

  #continue(outcome: StoreOutcome, nowMs: number): readonly ClaimEffect[] {
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
    outcome: StoreOutcome,
    nowMs: number,
  ): readonly ClaimEffect[] {
    if (outcome.type !== "snapshot") return [{ type: "read-snapshot" }];
    this.#loadSnapshot(outcome.snapshot);
    this.#hasRead = true;
    this.#phase = "idle";
    return this.#advance(nowMs);
  }

  #loadSnapshot(snapshot: ClaimSnapshot | undefined): void {
    if (snapshot === undefined) return;
    this.#entries.clear();
    this.#loadedSnapshotNumber = snapshot.number;
    for (const entry of snapshot.entries) this.#entries.set(entry.key, entry);
    this.#next = snapshot.number + 1;
    this.#removable = [];
    this.#segmentsSinceSnapshot = 0;
  }

  #continueRead(outcome: StoreOutcome, nowMs: number): readonly ClaimEffect[] {
    if (outcome.type === "found") {
      this.#applySegment(outcome.segment);
      return [{ type: "read", number: this.#next }];
    }
    if (outcome.type === "absent") return this.#append(nowMs);
    return [{ type: "read", number: this.#next }];
  }

  #continueAppend(
    outcome: StoreOutcome,
    nowMs: number,
  ): readonly ClaimEffect[] {
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
    other: Segment,
    nowMs: number,
  ): readonly ClaimEffect[] {
    const effects: ClaimEffect[] = [];
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

  #refuseAll(claims: readonly PendingClaim[]): readonly ClaimEffect[] {
    return claims.map((claim) => ({
      type: "refuse",
      claimId: claim.claimId,
      kind: "claim-moved",
    }));
  }

  #completeBatch(batch: Batch, nowMs: number): readonly ClaimEffect[] {
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
    outcome: StoreOutcome,
    nowMs: number,
  ): readonly ClaimEffect[] {
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

  #grantBatch(batch: Batch, nowMs: number): readonly ClaimEffect[] {
    const effects: ClaimEffect[] = [];
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

  #storeSnapshot(nowMs: number): ClaimEffect {
    for (const entry of this.#entries.values()) {
      const isRunning = [...this.#running.values()].includes(entry.key);
      if (!isRunning && this.#isExpired(entry, nowMs)) {
        this.#entries.delete(entry.key);
      }
    }
    this.#phase = "snapshotting";
    const snapshot = {
      number: this.#next - 1,
      entries: [...this.#entries.values()],
    };
    return {
      type: "store-snapshot",
      snapshot,
      removable: [...this.#removable],
    };
  }

  #continueSnapshotStore(
    outcome: StoreOutcome,
    nowMs: number,
  ): readonly ClaimEffect[] {
    if (outcome.type === "snapshot-stored") {
      this.#removable = [];
      this.#loadedSnapshotNumber = this.#next - 1;
    }
    this.#segmentsSinceSnapshot = 0;
    this.#phase = "idle";
    return this.#advance(nowMs);
  }

  #applySegment(segment: Segment): void {
    for (const record of segment.records) this.#apply(record);
    if (this.#voidedBatches.has(segment.batchId)) this.#releaseVoided(segment);
    const isOwnAppend = this.#isOwner && !segment.isOpening &&
      segment.ownerId === this.#options.ownerId;
    if (isOwnAppend) this.#removable.push(this.#next);
    this.#next += 1;
    this.#segmentsSinceSnapshot += 1;
  }

  #releaseVoided(segment: Segment): void {
    for (const record of segment.records) {
      if (record.type !== "claim") continue;
      if (this.#entries.get(record.key)?.claimId !== record.claimId) continue;
      const { key, claimId } = record;
      const release: ClaimRecord = { type: "release", key, claimId };
      this.#apply(release);
      this.#queued.push(release);
    }
  }

  #apply(record: ClaimRecord): void {
    const entry = this.#entries.get(record.key);
    if (record.type === "claim") {
      const { key, bodyHash, atMs, claimId } = record;
      // A void opening may hold claims that were made without knowing earlier ones.
      if (entry !== undefined && !this.#isReplaceable(entry, record)) return;
      this.#entries.set(key, {
        key,
        bodyHash,
        atMs,
        claimId,
        state: "claimed",
        answer: undefined,
      });
      return;
    }
    if (entry === undefined || entry.claimId !== record.claimId) return;
    if (entry.state !== "claimed") return;
    this.#entries.set(
      record.key,
      record.type === "done"
        ? { ...entry, state: "done", answer: record.answer }
        : { ...entry, state: "released" },
    );
  }

  #isReplaceable(
    entry: ClaimEntry,
    claim: Extract<ClaimRecord, { type: "claim" }>,
  ): boolean {
    if (entry.state === "released") return true;
    if (entry.state === "done") return this.#isExpired(entry, claim.atMs);
    return claim.replaces === entry.claimId;
  }
}
