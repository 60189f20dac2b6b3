/**
 * Backs up, at an upstream process, the bills of the responses it served until
 * their entry has stored them, and stores them itself when the entry stops
 * sending pings. Storing is idempotent, so an entry that was only paused and
 * stores the same bills later causes no double billing.
 */
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import * as billStorage from "./store_bills.ts";

const ENTRY_SILENCE_TIMEOUT_MS = 3_000;
const CHECK_INTERVAL_MS = 500;

interface BackupCell {
  bills: readonly mesh.WireBill[];
  /** Monotonic time of the entry's last ping or bill. */
  seenAtMs: number;
}

/** Task that holds copies of bills by cell: one cell for each incarnation of an entry. */
export class BillBackup {
  readonly #services: kernel.KernelServices;
  readonly #store: stores.Store;
  readonly #silenceTimeoutMs: number;
  readonly #cells = new Map<string, BackupCell>();
  readonly #timer: NodeJS.Timeout;
  #isStoring = false;

  constructor(
    services: kernel.KernelServices,
    store: stores.Store,
    silenceTimeoutMs = ENTRY_SILENCE_TIMEOUT_MS,
  ) {
    this.#services = services;
    this.#store = store;
    this.#silenceTimeoutMs = silenceTimeoutMs;
    this.#timer = setInterval(
      () => void this.#checkSilentEntries(),
      CHECK_INTERVAL_MS,
    );
  }

  /** Number of copies held. */
  get size(): number {
    let count = 0;
    for (const cell of this.#cells.values()) count += cell.bills.length;
    return count;
  }

  add(bill: mesh.WireBill): void {
    const seenAtMs = this.#services.clock.monotonicMs();
    const backedUp = this.#cells.get(bill.cell)?.bills ?? [];
    this.#cells.set(bill.cell, { bills: [...backedUp, bill], seenAtMs });
  }

  /** Drops the copies of bills that the entry has stored. */
  dropStored(stored: mesh.FrameOf<"stored">): void {
    const above = new Set(stored.above);
    this.#dropBills(
      stored.cell,
      (bill) => bill.number <= stored.watermark || above.has(bill.number),
    );
  }

  /** Records that the entry incarnation of a cell is alive. */
  recordContact(cellName: string): void {
    const cell = this.#cells.get(cellName);
    if (cell !== undefined) cell.seenAtMs = this.#services.clock.monotonicMs();
  }

  /** Stores the bills of entries that have been silent for at least `silentMs`. */
  async storeForSilentEntries(silentMs: number): Promise<void> {
    const nowMs = this.#services.clock.monotonicMs();
    for (const [name, cell] of [...this.#cells]) {
      if (nowMs - cell.seenAtMs < silentMs) continue;
      const { bills } = cell;
      const wallMs = this.#services.clock.wallMs();
      if (!await billStorage.storeBills(this.#store, bills, wallMs)) continue;
      // The event name calls the process that holds the backup a witness.
      this.#services.timeline.record("bills.settled-by-witness", {
        target: name,
        detail: `${bills.length} bills`,
      });
      this.#dropBills(name, (bill) => bills.includes(bill));
    }
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #dropBills(
    cellName: string,
    isStored: (bill: mesh.WireBill) => boolean,
  ): void {
    const cell = this.#cells.get(cellName);
    if (cell === undefined) return;
    cell.bills = cell.bills.filter((bill) => !isStored(bill));
    if (cell.bills.length === 0) this.#cells.delete(cellName);
  }

  async #checkSilentEntries(): Promise<void> {
    if (this.#isStoring) return;
    this.#isStoring = true;
    await this.storeForSilentEntries(this.#silenceTimeoutMs);
    this.#isStoring = false;
  }
}
