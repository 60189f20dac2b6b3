/**
 * Work that waits at the gate: the fair queue, and work that is held until the
 * entry that sent it has answered a ping.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as mesh from "@jackdawbank/mesh";
import type * as works from "./gate_work.ts";

const QUEUED_ITEMS_PER_SLOT = 8;
const MIN_QUEUE_ITEMS = 8;

/** Result of adding work to the queue, with the work evicted to make room. */
export interface PushResult {
  readonly isAccepted: boolean;
  readonly evicted: readonly works.ActiveWork[];
}

/** Queued and held work of one gate. */
export class WorkQueue {
  readonly #heldByConnection = new Map<
    mesh.MeshConnection,
    works.ActiveWork[]
  >();
  readonly #queue = new decisions.FairQueue<works.ActiveWork>(MIN_QUEUE_ITEMS);

  get queued(): number {
    return this.#queue.length;
  }

  /** Sets the queue's bound from the number of slots; returns the work that no longer fits. */
  resize(capacity: number): readonly works.ActiveWork[] {
    const evicted = this.#queue.setCapacity(
      Math.max(MIN_QUEUE_ITEMS, capacity * QUEUED_ITEMS_PER_SLOT),
    );
    return evicted.map(({ value }) => value);
  }

  /** Removes and returns the queued work whose deadline has passed. */
  removeExpired(nowMs: number): readonly works.ActiveWork[] {
    return this.#queue.removeExpired(nowMs).map(({ value }) => value);
  }

  push(work: works.ActiveWork): PushResult {
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

  /** Removes and returns the next work, and all work whose deadline has passed. */
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

  /** Removes and returns all queued and held work. */
  removeAll(): readonly works.ActiveWork[] {
    const queued = this.#queue.remove(() => true).map(({ value }) => value);
    const held = [...this.#heldByConnection.values()].flat();
    this.#heldByConnection.clear();
    return [...queued, ...held];
  }

  /** Holds work until its entry has answered; returns whether it is the first of that entry. */
  hold(work: works.ActiveWork): boolean {
    const held = this.#heldByConnection.get(work.connection);
    if (held !== undefined) {
      held.push(work);
      return false;
    }
    this.#heldByConnection.set(work.connection, [work]);
    return true;
  }

  /** Removes and returns the work held for a connection. */
  removeHeld(connection: mesh.MeshConnection): readonly works.ActiveWork[] {
    const held = this.#heldByConnection.get(connection) ?? [];
    this.#heldByConnection.delete(connection);
    return held;
  }
}
