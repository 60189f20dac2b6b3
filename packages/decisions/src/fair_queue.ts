/**
 * Weighted fair queue that shares an upstream among client accounts. An account
 * that floods the queue delays only its own work; when the queue is full, an item
 * of the account that is furthest over its share is evicted.
 */

/** Work in the queue. */
export interface QueuedItem<T> {
  readonly account: string;
  readonly weight: number;
  /** Items of higher priority go first within an account. */
  readonly priority: number;
  readonly deadlineAtMs: number;
  readonly value: T;
}

/** Result of adding an item. */
export interface PushOutcome<T> {
  readonly isAccepted: boolean;
  /** Items that were removed to make room. */
  readonly evicted: readonly QueuedItem<T>[];
}

/** Result of taking the next item. */
export interface PopOutcome<T> {
  readonly item: QueuedItem<T> | undefined;
  /** Items that were removed because their deadline has passed. */
  readonly expired: readonly QueuedItem<T>[];
}

interface AccountQueue<T> {
  readonly items: QueuedItem<T>[];
  /** Grows by the reciprocal of the weight with each item taken. */
  virtualTime: number;
}

export class FairQueue<T> {
  readonly #accounts = new Map<string, AccountQueue<T>>();
  #capacity: number;
  /** Highest virtual time at which an item was taken; accounts without items start from it. */
  #virtualTime = 0;
  #length = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get length(): number {
    return this.#length;
  }

  /** Sets the largest length; returns the items that no longer fit. */
  setCapacity(capacity: number): readonly QueuedItem<T>[] {
    this.#capacity = capacity;
    const evicted: QueuedItem<T>[] = [];
    while (this.#length > this.#capacity) {
      const item = this.#evictFrom(this.#findMostOverShare());
      if (item === undefined) break;
      evicted.push(item);
    }
    return evicted;
  }

  /** Adds an item. If the queue is full and the item's account is furthest over its share, refuses it. */
  push(item: QueuedItem<T>): PushOutcome<T> {
    const evicted: QueuedItem<T>[] = [];
    if (this.#length >= this.#capacity) {
      const evictedItem = this.#evictFrom(this.#findMostOverShare(item));
      if (evictedItem === undefined) return { isAccepted: false, evicted };
      evicted.push(evictedItem);
    }
    const queue = this.#getOrCreateQueue(item.account);
    const insertAfter = queue.items.findLastIndex((other) =>
      other.priority >= item.priority
    );
    queue.items.splice(insertAfter + 1, 0, item);
    this.#length += 1;
    return { isAccepted: true, evicted };
  }

  /** Takes the first item of the account with the lowest virtual time. */
  pop(nowMs: number): PopOutcome<T> {
    const expired: QueuedItem<T>[] = [];
    for (;;) {
      const queue = this.#findNextQueue();
      const item = queue?.items.shift();
      if (queue === undefined || item === undefined) {
        return { item: undefined, expired };
      }
      this.#length -= 1;
      if (item.deadlineAtMs <= nowMs) {
        expired.push(item);
        continue;
      }
      this.#virtualTime = Math.max(this.#virtualTime, queue.virtualTime);
      queue.virtualTime += 1 / item.weight;
      this.#removeIfIdle(item.account, queue);
      return { item, expired };
    }
  }

  /** Removes the items whose deadline has passed. */
  removeExpired(nowMs: number): readonly QueuedItem<T>[] {
    return this.#removeWhere((item) => item.deadlineAtMs <= nowMs);
  }

  /** Removes all items whose value matches; those of an account keep their order. */
  remove(matches: (value: T) => boolean): readonly QueuedItem<T>[] {
    return this.#removeWhere((item) => matches(item.value));
  }

  #removeWhere(
    matches: (item: QueuedItem<T>) => boolean,
  ): readonly QueuedItem<T>[] {
    const removed: QueuedItem<T>[] = [];
    for (const [account, queue] of this.#accounts) {
      const kept = queue.items.filter((item) => !matches(item));
      if (kept.length < queue.items.length) {
        removed.push(...queue.items.filter(matches));
        queue.items.splice(0, queue.items.length, ...kept);
      }
      this.#removeIfIdle(account, queue);
    }
    this.#length -= removed.length;
    return removed;
  }

  /** Removes the last item of an account. */
  #evictFrom(queue: AccountQueue<T> | undefined): QueuedItem<T> | undefined {
    const item = queue?.items.pop();
    if (item !== undefined) this.#length -= 1;
    return item;
  }

  #getOrCreateQueue(account: string): AccountQueue<T> {
    const existing = this.#accounts.get(account);
    if (existing !== undefined) {
      // An account gains no credit from the time in which it had no items.
      if (existing.items.length === 0) {
        existing.virtualTime = Math.max(
          existing.virtualTime,
          this.#virtualTime,
        );
      }
      return existing;
    }
    const queue = { items: [], virtualTime: this.#virtualTime };
    this.#accounts.set(account, queue);
    return queue;
  }

  /** Removes an empty account, unless its virtual time is ahead and must be remembered. */
  #removeIfIdle(account: string, queue: AccountQueue<T>): void {
    if (queue.items.length > 0 || queue.virtualTime > this.#virtualTime) return;
    this.#accounts.delete(account);
  }

  #findNextQueue(): AccountQueue<T> | undefined {
    let next: AccountQueue<T> | undefined;
    for (const queue of this.#accounts.values()) {
      if (queue.items.length === 0) continue;
      if (next === undefined || queue.virtualTime < next.virtualTime) {
        next = queue;
      }
    }
    return next;
  }

  /** Returns the queue furthest over its share, or `undefined` if that is a new item's own. */
  #findMostOverShare(newItem?: QueuedItem<T>): AccountQueue<T> | undefined {
    let mostOverShare: AccountQueue<T> | undefined;
    const ownQueue = newItem && this.#accounts.get(newItem.account);
    let highestRatio = newItem === undefined
      ? 0
      : ((ownQueue?.items.length ?? 0) + 1) / newItem.weight;
    for (const queue of this.#accounts.values()) {
      const last = queue.items.at(-1);
      if (queue === ownQueue || last === undefined) continue;
      const ratio = queue.items.length / last.weight;
      if (ratio <= highestRatio) continue;
      mostOverShare = queue;
      highestRatio = ratio;
    }
    return mostOverShare;
  }
}
