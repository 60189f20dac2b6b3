/** Claims that wait for a running call with the same key. */

/** A claim that has not been granted, replayed or refused yet. */
export interface PendingClaim {
  readonly claimId: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly voided: readonly string[];
}

/** Waiting claims, by key. */
export class ClaimWaiters {
  readonly #claimsByKey = new Map<string, readonly PendingClaim[]>();

  has(claimId: string): boolean {
    return [...this.#claimsByKey.values()].flat().some((waiter) =>
      waiter.claimId === claimId
    );
  }

  add(claim: PendingClaim): void {
    this.#claimsByKey.set(claim.key, [
      ...this.#claimsByKey.get(claim.key) ?? [],
      claim,
    ]);
  }

  /** Removes and returns all claims that wait for a key. */
  takeAll(key: string): readonly PendingClaim[] {
    const waiters = this.#claimsByKey.get(key) ?? [];
    this.#claimsByKey.delete(key);
    return waiters;
  }

  remove(claimId: string): void {
    for (const [key, waiters] of this.#claimsByKey) {
      this.#claimsByKey.set(
        key,
        waiters.filter((waiter) => waiter.claimId !== claimId),
      );
    }
  }
}
