/**
 * Orders and records of roll-outs that this process knows. They outlive a control
 * plane that is restored from an older copy: an order that comes again is the same
 * order, and a record that was lost is listed until it has been written again.
 * Another order in the copy may be an older one, and is not believed at once.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";

/** Time after which another order of a copy is believed, if the known one has not come again. */
const ORDER_HOLD_MS = 3_000;

/** An order of a copy that is not the known one, with its record. */
interface HeldOrder {
  readonly order: ports.RolloutOrder;
  readonly record: ports.RolloutRecord | undefined;
  readonly timer: NodeJS.Timeout;
}

/** Newest order and record of each service. */
export class RolloutStates {
  readonly #log: logs.DecisionLog;
  readonly #orders = new Map<string, ports.RolloutOrder>();
  readonly #held = new Map<string, HeldOrder>();
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
    const { service } = order;
    const existing = this.#orders.get(service);
    if (existing !== undefined && existing.revision >= order.revision) return;
    // Another full read says no more about a held order.
    if (this.#held.get(service)?.order.revision === order.revision) return;
    const held = this.#release(service);
    const isSame = existing !== undefined &&
      decisions.isSameOrder(existing, order);
    if (isCopied && existing !== undefined && !isSame) {
      return this.#hold(order);
    }
    this.#believe(
      isSame ? decisions.recognizeOrder(existing, order) : order,
      isSame,
    );
    if (held?.record !== undefined) this.applyRecord(held.record);
  }

  /** Applies a record, read from the control plane or just written. */
  applyRecord(record: ports.RolloutRecord): void {
    const { service } = record;
    const existing = this.#records.get(service);
    if (existing !== undefined && existing.revision >= record.revision) return;
    const held = this.#held.get(service);
    if (held !== undefined && decisions.mayBeRecordOf(held.order, record)) {
      const isNewer = (held.record?.revision ?? -Infinity) < record.revision;
      if (isNewer) this.#held.set(service, { ...held, record });
      return;
    }
    const adopted = this.#adoptOrder(record);
    const merged = existing === undefined
      ? adopted
      : decisions.mergeRecords(existing, adopted);
    if (merged === record) this.#unwritten.delete(service);
    else this.#keep(merged, "the control plane has an older record");
    this.#records.set(service, merged);
    if (
      existing?.state !== merged.state ||
      existing.orderRevision !== merged.orderRevision
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

  close(): void {
    for (const service of this.#held.keys()) this.#release(service);
  }

  #believe(order: ports.RolloutOrder, isSame: boolean): void {
    const { service, targetVersion, durationMs, revision } = order;
    this.#orders.set(service, order);
    const record = this.#records.get(service);
    const adopted = record && this.#adoptOrder(record);
    if (adopted !== undefined && adopted !== record) {
      this.#records.set(service, adopted);
      this.#keep(adopted, "its order has another revision now");
    }
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

  #hold(order: ports.RolloutOrder): void {
    const { service, targetVersion, revision } = order;
    this.#log.addNotable("rollout.held", {
      service,
      targetVersion,
      orderRevision: kernel.describePosition(revision),
      reason: "another order was known before the control plane was restored",
    });
    const timer = setTimeout(() => this.#believeHeld(service), ORDER_HOLD_MS);
    timer.unref();
    this.#held.set(service, { order, record: undefined, timer });
  }

  #believeHeld(service: string): void {
    const held = this.#release(service);
    if (held === undefined) return;
    this.#believe(held.order, false);
    if (held.record === undefined) return;
    this.applyRecord({ ...held.record, orderRevision: held.order.revision });
  }

  #release(service: string): HeldOrder | undefined {
    const held = this.#held.get(service);
    clearTimeout(held?.timer);
    this.#held.delete(service);
    return held;
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

  /** Lets a record follow its order, which has come again under another revision. */
  #adoptOrder(record: ports.RolloutRecord): ports.RolloutRecord {
    const order = this.#orders.get(record.service);
    const isOutdated = order !== undefined &&
      record.orderRevision < order.revision &&
      decisions.isRecordOf(order, record);
    return isOutdated ? { ...record, orderRevision: order.revision } : record;
  }
}
