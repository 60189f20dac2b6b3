/**
 * Orders and records of roll-outs that this process knows. They outlive a control
 * plane that is restored from an older copy: an order that comes again is the same
 * order, and a record that was lost is listed until it has been written again.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";

/** Newest order and record of each service. */
export class RolloutStates {
  readonly #log: logs.DecisionLog;
  readonly #orders = new Map<string, ports.RolloutOrder>();
  /** The order before the newest one, which an older copy may hold. */
  readonly #supersededOrders = new Map<string, ports.RolloutOrder>();
  readonly #records = new Map<string, ports.RolloutRecord>();
  /** Services whose records hold more than the control plane has. */
  readonly #unwritten = new Set<string>();

  constructor(log: logs.DecisionLog) {
    this.#log = log;
  }

  get orders(): ReadonlyMap<string, ports.RolloutOrder> {
    return this.#orders;
  }

  get records(): ReadonlyMap<string, ports.RolloutRecord> {
    return this.#records;
  }

  /** Records that the control plane lost and that nobody has written again. */
  get unwrittenRecords(): readonly ports.RolloutRecord[] {
    return [...this.#unwritten].flatMap((service) =>
      this.#records.get(service) ?? []
    );
  }

  /** Applies an order; `isCopied` if it may come from an older copy. */
  applyOrder(order: ports.RolloutOrder, isCopied: boolean): void {
    const { service, revision, targetVersion, durationMs } = order;
    const existing = this.#orders.get(service);
    if (existing !== undefined && existing.revision >= revision) return;
    const isSame = existing !== undefined && isSameOrder(existing, order);
    const superseded = this.#supersededOrders.get(service);
    if (
      isCopied && !isSame && superseded !== undefined &&
      isSameOrder(superseded, order)
    ) {
      return;
    }
    if (existing !== undefined && !isSame) {
      this.#supersededOrders.set(service, existing);
    }
    this.#orders.set(service, order);
    this.#adoptOrder(service);
    this.#log.addNotable(
      isSame ? "rollout.order-returned" : "rollout.ordered",
      {
        service,
        targetVersion,
        durationMs,
        orderRevision: kernel.describePosition(revision),
      },
    );
  }

  /** Applies a record, read from the control plane or just written. */
  applyRecord(record: ports.RolloutRecord): void {
    const { service } = record;
    const existing = this.#records.get(service);
    if (existing !== undefined && existing.revision >= record.revision) return;
    const merged = existing === undefined
      ? record
      : decisions.mergeRecords(existing, record);
    if (merged === record) this.#unwritten.delete(service);
    else this.#keep(merged, "the control plane has an older record");
    this.#records.set(service, merged);
    this.#adoptOrder(service);
    if (
      existing?.state !== merged.state ||
      !decisions.isSameRollout(existing, merged)
    ) {
      const { state, targetVersion, revision, reason } = merged;
      this.#log.addNotable("rollout.known", {
        service,
        state,
        targetVersion,
        recordRevision: kernel.describePosition(revision),
        reason,
      });
    }
  }

  /** Keeps the records that are missing after the control plane was restored. */
  keepMissing(storedServices: ReadonlySet<string>): void {
    for (const [service, record] of this.#records) {
      if (storedServices.has(service)) continue;
      const unstored = { ...record, revision: 0, writeId: undefined };
      this.#records.set(service, unstored);
      this.#keep(unstored, "the control plane has no record");
    }
  }

  #keep(record: ports.RolloutRecord, reason: string): void {
    const { service, state, targetVersion } = record;
    this.#unwritten.add(service);
    this.#log.addNotable("rollout.kept", {
      service,
      state,
      targetVersion,
      reason,
    });
  }

  /** Lets the record follow an order that has come again under another revision. */
  #adoptOrder(service: string): void {
    const order = this.#orders.get(service);
    const record = this.#records.get(service);
    if (order === undefined || record === undefined) return;
    const isSame = decisions.isSameRollout(
      decisions.identifyOrder(order),
      record,
    );
    if (!isSame || record.orderRevision >= order.revision) return;
    this.#records.set(service, { ...record, orderRevision: order.revision });
  }
}

function isSameOrder(
  first: ports.RolloutOrder,
  second: ports.RolloutOrder,
): boolean {
  return decisions.isSameRollout(
    decisions.identifyOrder(first),
    decisions.identifyOrder(second),
  );
}
