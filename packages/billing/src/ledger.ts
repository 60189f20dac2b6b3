/** The entry's side of billing: numbers bills, stores them, tells the witnesses. */
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import * as storing from "./store_bills.ts";

const FLUSH_INTERVAL_MS = 500;
const MAX_BILLS_PER_FLUSH = 2_000;

/** What is billed, before it has a number. */
export type BillContent = Omit<mesh.WireBill, "cell" | "number">;

/** Settings of a ledger. */
export interface LedgerOptions {
  readonly store: stores.Store;
  /** Called when all bills up to a number are stored. */
  readonly onStored: (stored: mesh.FrameOf<"stored">) => void;
}

/** Task that owns the bills of one entry incarnation. */
export class BillLedger {
  readonly #services: kernel.KernelServices;
  readonly #options: LedgerOptions;
  readonly #timer: NodeJS.Timeout;
  #unstored: readonly mesh.WireBill[] = [];
  #lastNumber = 0;
  #flushing: Promise<void> | undefined;

  constructor(services: kernel.KernelServices, options: LedgerOptions) {
    this.#services = services;
    this.#options = options;
    this.#timer = setInterval(() => void this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Bills that are not known to be stored. */
  get unstoredCount(): number {
    return this.#unstored.length;
  }

  get billedCount(): number {
    return this.#lastNumber;
  }

  /** Numbers a bill and queues it to be stored. */
  add(content: BillContent): mesh.WireBill {
    this.#lastNumber += 1;
    const bill = {
      ...content,
      cell: this.#services.incarnation,
      number: this.#lastNumber,
    };
    this.#unstored = [...this.#unstored, bill];
    return bill;
  }

  /** Stores what is queued; a flush under way is joined. */
  flush(): Promise<void> {
    if (this.#unstored.length === 0) return Promise.resolve();
    this.#flushing ??= this.#store().finally(() => {
      this.#flushing = undefined;
    });
    return this.#flushing;
  }

  /** Tries to store everything until the time is over; witnesses keep what is left. */
  async close(timeoutMs: number): Promise<void> {
    clearInterval(this.#timer);
    const endAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (
      this.#unstored.length > 0 && this.#services.clock.monotonicMs() < endAtMs
    ) {
      await this.flush();
      if (this.#unstored.length > 0) await kernel.sleep(FLUSH_INTERVAL_MS / 5);
    }
  }

  async #store(): Promise<void> {
    const bills = this.#unstored.slice(0, MAX_BILLS_PER_FLUSH);
    const { store, onStored } = this.#options;
    if (
      !await storing.storeBills(store, bills, this.#services.clock.wallMs())
    ) {
      this.#services.metrics.increment("bills.flush-failed");
      return;
    }
    this.#unstored = this.#unstored.slice(bills.length);
    const watermark = bills.at(-1)?.number ?? 0;
    onStored({
      type: "stored",
      cell: this.#services.incarnation,
      watermark,
      above: [],
    });
    this.#services.timeline.record("bills.stored", {
      detail: `through ${watermark}`,
    });
  }
}
