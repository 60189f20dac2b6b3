/** Drives the claim journals of one service against the store. */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as stores from "@jackdawbank/store";
import * as codec from "./claim_codec.ts";

const SNAPSHOT_EVERY_SEGMENTS = 128;
const RETRY_DELAY_MS = 100;
const FLUSH_CHECK_MS = 10;
/** Longest that an answer waits for the next claim's batch before it is stored. */
const FLUSH_DELAY_MS = 100;

/** Outcome of a claim: run it, answer it from what is kept, or refuse it. */
export type ClaimResult =
  | { readonly type: "granted" }
  | { readonly type: "replay"; readonly answer: decisions.StoredAnswer }
  | { readonly type: "refused"; readonly kind: kernel.ErrorKind };

/** A claim to be made. */
export interface ClaimRequest {
  readonly claimId: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly voided: readonly string[];
}

/** Settings of a claim task. */
export interface ClaimJournalDriverOptions {
  readonly store: stores.Store;
  readonly journal: stores.JournalId;
  readonly retentionMs: number;
  readonly snapshotEverySegments?: number;
}

/** Task of one partition: owns the journal, one store call at a time. */
export class ClaimJournalDriver {
  readonly #services: kernel.KernelServices;
  readonly #options: ClaimJournalDriverOptions;
  readonly #journal: decisions.ClaimJournal;
  readonly #waiting = new Map<string, (result: ClaimResult) => void>();
  readonly #abort = new AbortController();
  #writes = 0;
  #callsInProgress = 0;
  #flushTimer: NodeJS.Timeout | undefined;

  constructor(
    services: kernel.KernelServices,
    options: ClaimJournalDriverOptions,
  ) {
    this.#services = services;
    this.#options = options;
    this.#journal = new decisions.ClaimJournal({
      ownerId: services.incarnation,
      retentionMs: options.retentionMs,
      snapshotEverySegments: options.snapshotEverySegments ??
        SNAPSHOT_EVERY_SEGMENTS,
    });
  }

  get isOwner(): boolean {
    return this.#journal.isOwner;
  }

  /** Store writes made so far. */
  get writes(): number {
    return this.#writes;
  }

  /** Claims a key; resolves when it is durable, answered, or refused. */
  claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimResult> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#giveUp(request.claimId), timeoutMs);
      this.#waiting.set(request.claimId, (result) => {
        clearTimeout(timer);
        this.#waiting.delete(request.claimId);
        resolve(result);
      });
      this.#handle({ type: "claim", ...request });
    });
  }

  /** The granted call ran and has this answer. */
  finish(claimId: string, answer: decisions.StoredAnswer): void {
    this.#handle({ type: "finish", claimId, answer });
  }

  /** The granted call never started. */
  abandon(claimId: string): void {
    this.#handle({ type: "abandon", claimId });
  }

  /** The granted call started and its outcome is not known. */
  markOutcomeUnknown(claimId: string): void {
    this.#handle({ type: "mark-outcome-unknown", claimId });
  }

  /** Waits until what was queued is stored, or the time is over. */
  async flush(timeoutMs: number): Promise<void> {
    this.#flushNow();
    const endAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (
      this.#callsInProgress > 0 && this.#services.clock.monotonicMs() < endAtMs
    ) {
      await kernel.sleep(FLUSH_CHECK_MS, this.#abort.signal);
    }
  }

  close(): void {
    this.#abort.abort();
    clearTimeout(this.#flushTimer);
    for (const settle of [...this.#waiting.values()]) {
      settle({ type: "refused", kind: "leaving" });
    }
  }

  #giveUp(claimId: string): void {
    const settle = this.#waiting.get(claimId);
    if (settle === undefined) return;
    const kind = this.#journal.isWaiting(claimId)
      ? "key-in-flight"
      : "claim-unavailable";
    this.#handle({ type: "abandon", claimId });
    settle({ type: "refused", kind });
  }

  #handle(event: decisions.ClaimEvent): void {
    if (this.#abort.signal.aborted) return;
    const effects = this.#journal.handle(event, this.#services.clock.wallMs());
    for (const effect of effects) this.#perform(effect);
    if (!this.#journal.hasQueuedRecords) return;
    this.#flushTimer ??= setTimeout(() => this.#flushNow(), FLUSH_DELAY_MS);
  }

  #flushNow(): void {
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
    this.#handle({ type: "flush" });
  }

  #perform(effect: decisions.ClaimEffect): void {
    switch (effect.type) {
      case "grant":
        this.#waiting.get(effect.claimId)?.({ type: "granted" });
        return;
      case "replay":
        this.#waiting.get(effect.claimId)?.({
          type: "replay",
          answer: effect.answer,
        });
        return;
      case "refuse":
        this.#waiting.get(effect.claimId)?.({
          type: "refused",
          kind: effect.kind,
        });
        return;
      case "took-over":
        this.#record("claims.took-over", `segment ${effect.number}`);
        return;
      case "deposed":
        this.#record("claims.deposed", `by ${effect.by}`);
        return;
      default:
        void this.#callStore(effect);
    }
  }

  #record(name: string, detail: string): void {
    const { service, partition } = this.#options.journal;
    this.#services.timeline.record(name, {
      target: `${service}/${partition}`,
      detail,
    });
    this.#services.metrics.increment(name);
  }

  async #callStore(
    effect: Extract<
      decisions.ClaimEffect,
      { type: "read" | "read-snapshot" | "create" | "store-snapshot" }
    >,
  ): Promise<void> {
    this.#callsInProgress += 1;
    const outcome = await this.#execute(effect);
    if (outcome.type === "unknown") {
      await kernel.sleep(RETRY_DELAY_MS, this.#abort.signal);
    }
    this.#handle({ type: "stored", outcome });
    this.#callsInProgress -= 1;
  }

  #execute(
    effect: Extract<
      decisions.ClaimEffect,
      { type: "read" | "read-snapshot" | "create" | "store-snapshot" }
    >,
  ): Promise<decisions.StoreOutcome> {
    switch (effect.type) {
      case "read":
        return this.#readSegment(effect.number);
      case "read-snapshot":
        return this.#readSnapshot();
      case "create":
        return this.#createSegment(effect.number, effect.segment);
      case "store-snapshot":
        return this.#storeSnapshot(effect.snapshot, effect.removable);
    }
  }

  async #readSegment(number: number): Promise<decisions.StoreOutcome> {
    const key = stores.buildSegmentKey(this.#options.journal, number);
    const read = await this.#options.store.get(key);
    if (read.isErr()) return { type: "unknown" };
    if (read.value === undefined) return { type: "absent" };
    return this.#toOutcome("found", read.value.value);
  }

  #toOutcome(type: "found" | "exists", text: string): decisions.StoreOutcome {
    const segment = codec.unpackSegment(text);
    if (segment !== undefined) return { type, segment };
    this.#services.log.error(`claims: a stored segment cannot be read`);
    return { type: "unknown" };
  }

  async #readSnapshot(): Promise<decisions.StoreOutcome> {
    const read = await this.#options.store.get(
      stores.buildSnapshotKey(this.#options.journal),
    );
    if (read.isErr()) return { type: "unknown" };
    if (read.value === undefined) {
      return { type: "snapshot", snapshot: undefined };
    }
    const snapshot = codec.unpackSnapshot(read.value.value);
    return snapshot === undefined
      ? { type: "unknown" }
      : { type: "snapshot", snapshot };
  }

  async #createSegment(
    number: number,
    segment: decisions.ClaimSegment,
  ): Promise<decisions.StoreOutcome> {
    this.#writes += 1;
    const key = stores.buildSegmentKey(this.#options.journal, number);
    const created = await this.#options.store.create(
      key,
      codec.packSegment(segment),
    );
    if (created.isErr()) return { type: "unknown" };
    if (created.value.type === "created") return { type: "created" };
    return this.#toOutcome("exists", created.value.entry.value);
  }

  async #storeSnapshot(
    snapshot: decisions.ClaimSnapshot,
    removable: readonly number[],
  ): Promise<decisions.StoreOutcome> {
    const { store, journal } = this.#options;
    const key = stores.buildSnapshotKey(journal);
    const read = await store.get(key);
    if (read.isErr()) return { type: "unknown" };
    const held = read.value && codec.unpackSnapshot(read.value.value);
    if (held !== undefined && held.number >= snapshot.number) {
      return { type: "unknown" };
    }
    this.#writes += 1;
    const text = codec.packSnapshot(snapshot);
    const written = read.value === undefined
      ? await store.create(key, text)
      : await store.replace(read.value, text);
    if (written.isErr()) return { type: "unknown" };
    if (written.value.type !== "created" && written.value.type !== "replaced") {
      return { type: "unknown" };
    }
    this.#record("claims.snapshot", `through segment ${snapshot.number}`);
    for (const [first, last] of findRuns(removable)) {
      this.#writes += 1;
      await store.removeRange(
        stores.buildSegmentKey(journal, first),
        stores.buildSegmentKey(journal, last + 1),
      );
    }
    return { type: "snapshot-stored" };
  }
}

/** Joins consecutive numbers, so that each run is removed by one call. */
function findRuns(
  numbers: readonly number[],
): readonly (readonly [number, number])[] {
  const runs: [number, number][] = [];
  for (const number of numbers.toSorted((a, b) => a - b)) {
    const run = runs.at(-1);
    if (run !== undefined && run[1] === number - 1) run[1] = number;
    else runs.push([number, number]);
  }
  return runs;
}
