/** Claims that wait for another call under their key to end. */

/** A claim that is not settled. */
export interface PendingClaim {
  readonly claimId: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly voided: readonly string[];
}

/** Waiting claims by key. */
export class ClaimWaiters {
  readonly #waiters = new Map<string, readonly PendingClaim[]>();

  has(claimId: string): boolean {
    return [...this.#waiters.values()].flat().some((waiter) =>
      waiter.claimId === claimId
    );
  }

  add(claim: PendingClaim): void {
    this.#waiters.set(claim.key, [
      ...this.#waiters.get(claim.key) ?? [],
      claim,
    ]);
  }

  /** Takes all that wait for a key. */
  take(key: string): readonly PendingClaim[] {
    const waiters = this.#waiters.get(key) ?? [];
    this.#waiters.delete(key);
    return waiters;
  }

  /** Drops a claim that its caller gave up. */
  remove(claimId: string): void {
    for (const [key, waiters] of this.#waiters) {
      this.#waiters.set(
        key,
        waiters.filter((waiter) => waiter.claimId !== claimId),
      );
    }
  }
}
