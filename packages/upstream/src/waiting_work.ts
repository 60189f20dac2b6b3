/**
 * Work that waits at the gate: the fair queue, and what is held until its entry
 * has answered.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as mesh from "@jackdawbank/mesh";
import type * as works from "./gate_work.ts";

const QUEUE_PER_SLOT = 8;
const MIN_QUEUE_ITEMS = 8;

/** What became of work that was offered to the queue. */
export interface QueuedWork {
  readonly isAccepted: boolean;
  readonly evicted: readonly works.ActiveWork[];
}

/** Owner of what waits. */
export class WaitingWork {
  readonly #held = new Map<mesh.MeshConnection, works.ActiveWork[]>();
  #queue = new decisions.FairQueue<works.ActiveWork>(MIN_QUEUE_ITEMS);

  get queued(): number {
    return this.#queue.length;
  }

  /** Bounds the queue by the slots that it feeds. */
  resize(capacity: number): void {
    const queue = new decisions.FairQueue<works.ActiveWork>(
      Math.max(MIN_QUEUE_ITEMS, capacity * QUEUE_PER_SLOT),
    );
    for (const item of this.#queue.remove(() => true)) queue.push(item);
    this.#queue = queue;
  }

  push(work: works.ActiveWork): QueuedWork {
    const { account, shareWeight, priority } = work.frame;
    const { isAccepted, evicted } = this.#queue.push({
      account,
      weight: shareWeight,
      priority,
      deadlineAtMs: work.deadlineAtMs,
      value: work,
    });
    return { isAccepted, evicted: evicted.map(({ value }) => value) };
  }

  /** The next work, and what is too late to be handed over. */
  pop(nowMs: number): {
    readonly work: works.ActiveWork | undefined;
    readonly expired: readonly works.ActiveWork[];
  } {
    const { item, expired } = this.#queue.pop(nowMs);
    return { work: item?.value, expired: expired.map(({ value }) => value) };
  }

  remove(work: works.ActiveWork): void {
    this.#queue.remove((other) => other === work);
  }

  /** Takes everything that waits. */
  removeAll(): readonly works.ActiveWork[] {
    const queued = this.#queue.remove(() => true).map(({ value }) => value);
    const held = [...this.#held.values()].flat();
    this.#held.clear();
    return [...queued, ...held];
  }

  /** Holds work until its entry has answered; tells whether it is the first. */
  hold(work: works.ActiveWork): boolean {
    const held = this.#held.get(work.connection);
    if (held !== undefined) {
      held.push(work);
      return false;
    }
    this.#held.set(work.connection, [work]);
    return true;
  }

  /** Takes what was held for a connection. */
  takeHeld(connection: mesh.MeshConnection): readonly works.ActiveWork[] {
    const held = this.#held.get(connection) ?? [];
    this.#held.delete(connection);
    return held;
  }
}
