/** State of one partition's idempotency keys, according to the segments read so far. */
import type * as kernel from "@jackdawbank/kernel";
import type * as types from "./claim_types.ts";
import type * as waiting from "./claim_waiters.ts";

/** Claim entries, by key. */
export class ClaimTable {
  readonly #entries = new Map<string, types.ClaimEntry>();
  readonly #retentionMs: number;

  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: string): types.ClaimEntry | undefined {
    return this.#entries.get(key);
  }

  /** Returns all entries, in the order in which their keys were first claimed. */
  list(): readonly types.ClaimEntry[] {
    return [...this.#entries.values()];
  }

  /** Replaces all entries by those of a snapshot. */
  load(entries: readonly types.ClaimEntry[]): void {
    this.#entries.clear();
    for (const entry of entries) this.#entries.set(entry.key, entry);
  }

  /** Removes expired entries, except those whose keys are in use. */
  prune(nowMs: number, keysInUse: ReadonlySet<string>): void {
    for (const entry of this.#entries.values()) {
      if (!keysInUse.has(entry.key) && this.isExpired(entry, nowMs)) {
        this.#entries.delete(entry.key);
      }
    }
  }

  isExpired(entry: types.ClaimEntry, nowMs: number): boolean {
    return entry.atMs + this.#retentionMs <= nowMs;
  }

  /**
   * Decides on a claim by its key's entry: the key is free, a call of this process
   * still runs, or the claim is answered at once.
   */
  resolveClaim(
    claim: waiting.PendingClaim,
    context: { readonly nowMs: number; readonly isRunning: () => boolean },
  ): types.ClaimEffect | "claimable" | "waits" {
    const entry = this.#entries.get(claim.key);
    if (entry === undefined || entry.state === "released") return "claimable";
    if (entry.state !== "claimed" && this.isExpired(entry, context.nowMs)) {
      return "claimable";
    }
    const { claimId } = claim;
    const refuse = (kind: kernel.ErrorKind): types.ClaimEffect => ({
      type: "refuse",
      claimId,
      kind,
    });
    if (entry.bodyHash !== claim.bodyHash) return refuse("key-reused");
    if (entry.state === "done") {
      const { answer } = entry;
      return answer === undefined
        ? refuse("already-run")
        : { type: "replay", claimId, answer };
    }
    if (claim.voided.includes(entry.claimId)) return "claimable";
    return context.isRunning() ? "waits" : refuse("outcome-unknown");
  }

  apply(record: types.ClaimRecord): void {
    const entry = this.#entries.get(record.key);
    if (record.type === "claim") {
      const { key, bodyHash, atMs, claimId } = record;
      // An opening segment that is void may claim keys that segments unknown to its owner claim.
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
    entry: types.ClaimEntry,
    claim: Extract<types.ClaimRecord, { type: "claim" }>,
  ): boolean {
    if (entry.state === "released") return true;
    if (entry.state === "done") return this.isExpired(entry, claim.atMs);
    return claim.replaces === entry.claimId;
  }
}
