/**
 * Keeps copies of the bills of answers served here until their entry has
 * stored them, and stores them itself when the entry has fallen silent.
 * Storing a bill twice counts it once, so a paused entry does no harm.
 */
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import * as storing from "./store_bills.ts";

const SETTLE_AFTER_MS = 3_000;
const CHECK_INTERVAL_MS = 500;

interface HeldCell {
  bills: readonly mesh.WireBill[];
  /** When the entry was last heard. */
  heardAtMs: number;
}

/** Task that holds bill copies by cell. */
export class BillBackup {
  readonly #services: kernel.KernelServices;
  readonly #store: stores.Store;
  readonly #settleAfterMs: number;
  readonly #cells = new Map<string, HeldCell>();
  readonly #timer: NodeJS.Timeout;
  #isSettling = false;

  constructor(
    services: kernel.KernelServices,
    store: stores.Store,
    settleAfterMs = SETTLE_AFTER_MS,
  ) {
    this.#services = services;
    this.#store = store;
    this.#settleAfterMs = settleAfterMs;
    this.#timer = setInterval(
      () => void this.#settleSilent(),
      CHECK_INTERVAL_MS,
    );
  }

  /** Copies held. */
  get size(): number {
    let count = 0;
    for (const cell of this.#cells.values()) count += cell.bills.length;
    return count;
  }

  add(bill: mesh.WireBill): void {
    const heardAtMs = this.#services.clock.monotonicMs();
    const held = this.#cells.get(bill.cell)?.bills ?? [];
    this.#cells.set(bill.cell, { bills: [...held, bill], heardAtMs });
  }

  /** Drops the copies that the entry has stored. */
  dropStored(stored: mesh.FrameOf<"stored">): void {
    const above = new Set(stored.above);
    this.#dropWhere(
      stored.cell,
      (bill) => bill.number <= stored.watermark || above.has(bill.number),
    );
  }

  /** The entry of a cell is alive. */
  recordContact(cellName: string): void {
    const cell = this.#cells.get(cellName);
    if (cell !== undefined) cell.heardAtMs = this.#services.clock.monotonicMs();
  }

  /** Stores what is held for entries that have been silent for so long. */
  async storeForSilentEntries(silentMs: number): Promise<void> {
    const nowMs = this.#services.clock.monotonicMs();
    for (const [name, cell] of [...this.#cells]) {
      if (nowMs - cell.heardAtMs < silentMs) continue;
      const { bills } = cell;
      const wallMs = this.#services.clock.wallMs();
      if (!await storing.storeBills(this.#store, bills, wallMs)) continue;
      this.#services.timeline.record("bills.settled-by-witness", {
        target: name,
        detail: `${bills.length} bills`,
      });
      this.#dropWhere(name, (bill) => bills.includes(bill));
    }
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #dropWhere(
    cellName: string,
    isStored: (bill: mesh.WireBill) => boolean,
  ): void {
    const cell = this.#cells.get(cellName);
    if (cell === undefined) return;
    cell.bills = cell.bills.filter((bill) => !isStored(bill));
    if (cell.bills.length === 0) this.#cells.delete(cellName);
  }

  async #settleSilent(): Promise<void> {
    if (this.#isSettling) return;
    this.#isSettling = true;
    await this.storeForSilentEntries(this.#settleAfterMs);
    this.#isSettling = false;
  }
}
