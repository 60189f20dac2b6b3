/** Runs the claim journal of one partition: performs its effects against the store. */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as stores from "@jackdawbank/store";
import * as codec from "./claim_codec.ts";

const SNAPSHOT_EVERY_SEGMENTS = 128;
const RETRY_DELAY_MS = 100;
const FLUSH_POLL_INTERVAL_MS = 10;
/** Longest time that records wait for the next claim's batch before they are stored without it. */
const FLUSH_DELAY_MS = 100;

/** Outcome of a claim: run the call, replay the stored response, or refuse it. */
export type ClaimResult =
  | { readonly type: "granted" }
  | { readonly type: "replay"; readonly answer: decisions.StoredAnswer }
  | { readonly type: "refused"; readonly kind: kernel.ErrorKind };

/** A claim to be made. */
export interface ClaimRequest {
  readonly claimId: string;
  /** Derived from the idempotency key; scoped to the account and the service. */
  readonly key: string;
  readonly bodyHash: string;
  /** Earlier claims of the key that were never committed and never will be. */
  readonly voided: readonly string[];
}

export interface ClaimJournalDriverOptions {
  readonly store: stores.Store;
  readonly journalId: stores.JournalId;
  readonly retentionMs: number;
  readonly snapshotEverySegments?: number;
}

/** Owns the journal of one partition, which requests one store call at a time. */
export class ClaimJournalDriver {
  readonly #services: kernel.KernelServices;
  readonly #options: ClaimJournalDriverOptions;
  readonly #journal: decisions.ClaimJournal;
  readonly #pendingClaims = new Map<string, (result: ClaimResult) => void>();
  readonly #abort = new AbortController();
  #writes = 0;
  #pendingStoreCalls = 0;
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

  /** Store writes that have ended so far, also those whose outcome is unknown. */
  get writes(): number {
    return this.#writes;
  }

  /** Claims a key; resolves when the claim is durable, can be replayed, or is refused. */
  claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimResult> {
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#handleTimeout(request.claimId),
        timeoutMs,
      );
      this.#pendingClaims.set(request.claimId, (result) => {
        clearTimeout(timer);
        this.#pendingClaims.delete(request.claimId);
        resolve(result);
      });
      this.#handleEvent({ type: "claim", ...request });
    });
  }

  /** Records the response of a granted call that has run. */
  finish(claimId: string, answer: decisions.StoredAnswer): void {
    this.#handleEvent({ type: "finish", claimId, answer });
  }

  /** Gives up a granted claim whose call never started. */
  abandon(claimId: string): void {
    this.#handleEvent({ type: "abandon", claimId });
  }

  /** Records that a granted call started and its outcome is not known. */
  markOutcomeUnknown(claimId: string): void {
    this.#handleEvent({ type: "mark-outcome-unknown", claimId });
  }

  /** Stores the queued records; waits until that is done or the timeout has passed. */
  async flush(timeoutMs: number): Promise<void> {
    this.#flushNow();
    const endAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (
      this.#pendingStoreCalls > 0 &&
      this.#services.clock.monotonicMs() < endAtMs
    ) {
      await kernel.sleep(FLUSH_POLL_INTERVAL_MS, this.#abort.signal);
    }
  }

  close(): void {
    this.#abort.abort();
    clearTimeout(this.#flushTimer);
    for (const resolveClaim of [...this.#pendingClaims.values()]) {
      resolveClaim({ type: "refused", kind: "leaving" });
    }
  }

  #handleTimeout(claimId: string): void {
    const resolveClaim = this.#pendingClaims.get(claimId);
    if (resolveClaim === undefined) return;
    const kind = this.#journal.isWaiting(claimId)
      ? "key-in-flight"
      : "claim-unavailable";
    this.#handleEvent({ type: "abandon", claimId });
    resolveClaim({ type: "refused", kind });
  }

  #handleEvent(event: decisions.ClaimEvent): void {
    if (this.#abort.signal.aborted) return;
    const effects = this.#journal.handle(event, this.#services.clock.wallMs());
    for (const effect of effects) this.#performEffect(effect);
    if (!this.#journal.hasQueuedRecords) return;
    this.#flushTimer ??= setTimeout(() => this.#flushNow(), FLUSH_DELAY_MS);
  }

  #flushNow(): void {
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
    this.#handleEvent({ type: "flush" });
  }

  #performEffect(effect: decisions.ClaimEffect): void {
    switch (effect.type) {
      case "grant":
        this.#pendingClaims.get(effect.claimId)?.({ type: "granted" });
        return;
      case "replay":
        this.#pendingClaims.get(effect.claimId)?.({
          type: "replay",
          answer: effect.answer,
        });
        return;
      case "refuse":
        this.#pendingClaims.get(effect.claimId)?.({
          type: "refused",
          kind: effect.kind,
        });
        return;
      case "took-over":
        this.#recordEvent("claims.took-over", `segment ${effect.number}`);
        return;
      case "deposed":
        this.#recordEvent("claims.deposed", `by ${effect.by}`);
        return;
      default:
        void this.#callStore(effect);
    }
  }

  #recordEvent(name: string, detail: string): void {
    const { service, partition } = this.#options.journalId;
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
    this.#pendingStoreCalls += 1;
    const outcome = await this.#execute(effect);
    if (outcome.type === "unknown") {
      await kernel.sleep(RETRY_DELAY_MS, this.#abort.signal);
    }
    this.#handleEvent({ type: "stored", outcome });
    this.#pendingStoreCalls -= 1;
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
    const key = stores.buildSegmentKey(this.#options.journalId, number);
    const read = await this.#options.store.get(key);
    if (read.isErr()) return { type: "unknown" };
    if (read.value === undefined) return { type: "absent" };
    return this.#decodeSegment("found", read.value.value);
  }

  #decodeSegment(
    type: "found" | "exists",
    text: string,
  ): decisions.StoreOutcome {
    const segment = codec.decodeSegment(text);
    if (segment !== undefined) return { type, segment };
    this.#services.log.error(
      `claims: a stored segment does not have the expected form; retrying`,
    );
    return { type: "unknown" };
  }

  async #readSnapshot(): Promise<decisions.StoreOutcome> {
    const read = await this.#options.store.get(
      stores.buildSnapshotKey(this.#options.journalId),
    );
    if (read.isErr()) return { type: "unknown" };
    if (read.value === undefined) {
      return { type: "snapshot", snapshot: undefined };
    }
    const snapshot = codec.decodeSnapshot(read.value.value);
    if (snapshot !== undefined) return { type: "snapshot", snapshot };
    this.#services.log.error(
      "claims: the stored snapshot does not have the expected form; retrying",
    );
    return { type: "unknown" };
  }

  async #createSegment(
    number: number,
    segment: decisions.ClaimSegment,
  ): Promise<decisions.StoreOutcome> {
    const key = stores.buildSegmentKey(this.#options.journalId, number);
    const created = await this.#options.store.create(
      key,
      codec.encodeSegment(segment),
    );
    this.#writes += 1;
    if (created.isErr()) return { type: "unknown" };
    if (created.value.type === "created") return { type: "created" };
    return this.#decodeSegment("exists", created.value.entry.value);
  }

  async #storeSnapshot(
    snapshot: decisions.ClaimSnapshot,
    removable: readonly number[],
  ): Promise<decisions.StoreOutcome> {
    const { store, journalId } = this.#options;
    const key = stores.buildSnapshotKey(journalId);
    const read = await store.get(key);
    if (read.isErr()) return { type: "unknown" };
    const held = read.value && codec.decodeSnapshot(read.value.value);
    if (held !== undefined && held.number >= snapshot.number) {
      return { type: "unknown" };
    }
    const text = codec.encodeSnapshot(snapshot);
    const written = read.value === undefined
      ? await store.create(key, text)
      : await store.replace(read.value, text);
    this.#writes += 1;
    if (written.isErr()) return { type: "unknown" };
    if (written.value.type !== "created" && written.value.type !== "replaced") {
      return { type: "unknown" };
    }
    this.#recordEvent("claims.snapshot", `through segment ${snapshot.number}`);
    for (const [first, last] of groupConsecutive(removable)) {
      await store.removeRange(
        stores.buildSegmentKey(journalId, first),
        stores.buildSegmentKey(journalId, last + 1),
      );
      this.#writes += 1;
    }
    return { type: "snapshot-stored" };
  }
}

/** Groups consecutive numbers into ranges, so that each range is removed by one call. */
function groupConsecutive(
  numbers: readonly number[],
): readonly (readonly [number, number])[] {
  const ranges: [number, number][] = [];
  for (const number of numbers.toSorted((a, b) => a - b)) {
    const range = ranges.at(-1);
    if (range !== undefined && range[1] === number - 1) range[1] = number;
    else ranges.push([number, number]);
  }
  return ranges;
}
