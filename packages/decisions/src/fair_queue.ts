/**
 * Queue that shares an upstream among client accounts by weight. A flooding
 * account waits behind its own work only; when the queue is full, the account
 * that is furthest over its share gives way.
 */

/** Work that waits. */
export interface QueuedItem<T> {
  readonly account: string;
  readonly weight: number;
  /** Higher goes first within an account. */
  readonly priority: number;
  readonly deadlineAtMs: number;
  readonly value: T;
}

/** What became of a push: `evicted` are items that had to give way. */
export interface PushOutcome<T> {
  readonly isAccepted: boolean;
  readonly evicted: readonly QueuedItem<T>[];
}

/** Result of taking the next item; `expired` passed their deadline in the queue. */
export interface PopOutcome<T> {
  readonly item: QueuedItem<T> | undefined;
  readonly expired: readonly QueuedItem<T>[];
}

interface AccountQueue<T> {
  readonly items: QueuedItem<T>[];
  virtualTime: number;
}

/** Weighted fair queue. */
export class FairQueue<T> {
  readonly #accounts = new Map<string, AccountQueue<T>>();
  readonly #capacity: number;
  #virtualTime = 0;
  #length = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get length(): number {
    return this.#length;
  }

  /** Adds an item, or refuses it when its account is the furthest over its share. */
  push(item: QueuedItem<T>): PushOutcome<T> {
    const evicted: QueuedItem<T>[] = [];
    if (this.#length >= this.#capacity) {
      const victim = this.#findLongest(item);
      if (victim === undefined) return { isAccepted: false, evicted };
      const given = victim.items.pop();
      if (given !== undefined) {
        evicted.push(given);
        this.#length -= 1;
      }
    }
    const queue = this.#openAccount(item.account);
    const at = queue.items.findLastIndex((other) =>
      other.priority >= item.priority
    );
    queue.items.splice(at + 1, 0, item);
    this.#length += 1;
    return { isAccepted: true, evicted };
  }

  /** Takes the next item by weighted virtual time. */
  pop(nowMs: number): PopOutcome<T> {
    const expired: QueuedItem<T>[] = [];
    for (;;) {
      const queue = this.#findNext();
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
      this.#dropIdle(item.account, queue);
      return { item, expired };
    }
  }

  /** Removes items that match, for a caller that has gone. */
  remove(matches: (value: T) => boolean): readonly QueuedItem<T>[] {
    const removed: QueuedItem<T>[] = [];
    for (const [account, queue] of this.#accounts) {
      for (let at = queue.items.length - 1; at >= 0; at -= 1) {
        const item = queue.items[at] as QueuedItem<T>;
        if (!matches(item.value)) continue;
        queue.items.splice(at, 1);
        removed.push(item);
      }
      this.#dropIdle(account, queue);
    }
    this.#length -= removed.length;
    return removed;
  }

  #openAccount(account: string): AccountQueue<T> {
    const held = this.#accounts.get(account);
    if (held !== undefined) return held;
    const queue = { items: [], virtualTime: this.#virtualTime };
    this.#accounts.set(account, queue);
    return queue;
  }

  /** Forgets an account once it is no longer ahead of the others. */
  #dropIdle(account: string, queue: AccountQueue<T>): void {
    if (queue.items.length > 0 || queue.virtualTime > this.#virtualTime) return;
    this.#accounts.delete(account);
  }

  #findNext(): AccountQueue<T> | undefined {
    let next: AccountQueue<T> | undefined;
    for (const queue of this.#accounts.values()) {
      if (queue.items.length === 0) continue;
      if (next === undefined || queue.virtualTime < next.virtualTime) {
        next = queue;
      }
    }
    return next;
  }

  /** The queue furthest over its share; `undefined` when that is the newcomer's own. */
  #findLongest(newcomer: QueuedItem<T>): AccountQueue<T> | undefined {
    let longest: AccountQueue<T> | undefined;
    const own = this.#accounts.get(newcomer.account);
    let longestShare = ((own?.items.length ?? 0) + 1) / newcomer.weight;
    for (const queue of this.#accounts.values()) {
      const last = queue.items.at(-1);
      if (queue === own || last === undefined) continue;
      const share = queue.items.length / last.weight;
      if (share <= longestShare) continue;
      longest = queue;
      longestShare = share;
    }
    return longest;
  }
}
