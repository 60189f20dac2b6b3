/**
 * Keeps copies of the bills of answers served here until their entry has
 * stored them, and stores them itself when the entry has gone.
 */
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as platform from "@jackdawbank/platform";
import * as storing from "./store_bills.ts";

const SETTLE_AFTER_MS = 3_000;
const CHECK_INTERVAL_MS = 500;

interface HeldCell {
  bills: readonly mesh.WireBill[];
  /** When the entry's last connection closed; `undefined` while one is open. */
  goneAtMs: number | undefined;
}

/** Task that holds bill copies by cell. */
export class BillWitness {
  readonly #services: kernel.KernelServices;
  readonly #store: platform.Store;
  readonly #settleAfterMs: number;
  readonly #cells = new Map<string, HeldCell>();
  readonly #timer: NodeJS.Timeout;
  #isSettling = false;

  constructor(
    services: kernel.KernelServices,
    store: platform.Store,
    settleAfterMs = SETTLE_AFTER_MS,
  ) {
    this.#services = services;
    this.#store = store;
    this.#settleAfterMs = settleAfterMs;
    this.#timer = setInterval(() => void this.#settleGone(), CHECK_INTERVAL_MS);
  }

  /** Copies held. */
  get size(): number {
    let count = 0;
    for (const cell of this.#cells.values()) count += cell.bills.length;
    return count;
  }

  keep(bill: mesh.WireBill): void {
    const cell = this.#openCell(bill.cell);
    cell.bills = [...cell.bills, bill];
  }

  /** Drops the copies that the entry has stored. */
  drop(stored: mesh.FrameOf<"stored">): void {
    const cell = this.#cells.get(stored.cell);
    if (cell === undefined) return;
    const above = new Set(stored.above);
    cell.bills = cell.bills.filter((bill) =>
      bill.number > stored.watermark && !above.has(bill.number)
    );
    if (cell.bills.length === 0 && cell.goneAtMs !== undefined) {
      this.#cells.delete(stored.cell);
    }
  }

  noteOpen(cellName: string): void {
    this.#openCell(cellName).goneAtMs = undefined;
  }

  noteGone(cellName: string): void {
    const cell = this.#cells.get(cellName);
    if (cell === undefined) return;
    if (cell.bills.length === 0) this.#cells.delete(cellName);
    else cell.goneAtMs = this.#services.clock.monotonicMs();
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Stores what is held for entries that have gone; called before this process ends, for all. */
  async settle(
    isDue: (cell: { readonly goneAtMs: number | undefined }) => boolean,
  ): Promise<void> {
    for (const [name, cell] of [...this.#cells]) {
      if (cell.bills.length === 0 || !isDue(cell)) continue;
      const bills = cell.bills;
      const isStored = await storing.storeBills(
        this.#store,
        bills,
        this.#services.clock.wallMs(),
      );
      if (!isStored) continue;
      this.#services.timeline.record("bills.settled-by-witness", {
        target: name,
        detail: `${bills.length} bills`,
      });
      const kept = cell.bills.filter((bill) => !bills.includes(bill));
      cell.bills = kept;
      if (kept.length === 0 && cell.goneAtMs !== undefined) {
        this.#cells.delete(name);
      }
    }
  }

  async #settleGone(): Promise<void> {
    if (this.#isSettling) return;
    this.#isSettling = true;
    const nowMs = this.#services.clock.monotonicMs();
    await this.settle((cell) =>
      cell.goneAtMs !== undefined &&
      nowMs - cell.goneAtMs >= this.#settleAfterMs
    );
    this.#isSettling = false;
  }

  #openCell(name: string): HeldCell {
    const held = this.#cells.get(name);
    if (held !== undefined) return held;
    const cell: HeldCell = { bills: [], goneAtMs: undefined };
    this.#cells.set(name, cell);
    return cell;
  }
}
