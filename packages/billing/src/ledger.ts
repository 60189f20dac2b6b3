/** Numbers an entry's bills and stores them in batches. */
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import * as billStorage from "./store_bills.ts";

const FLUSH_INTERVAL_MS = 500;
const MAX_BILLS_PER_FLUSH = 2_000;

/** A bill before its cell and number are assigned. */
export type BillContent = Omit<mesh.WireBill, "cell" | "number">;

export interface LedgerOptions {
  readonly store: stores.Store;
  /** Called when all bills up to the frame's watermark are stored, so that their backups can be dropped. */
  readonly onStored: (stored: mesh.FrameOf<"stored">) => void;
}

/** Task that owns the bills of one entry incarnation; their cell is named after it. */
export class BillLedger {
  readonly #services: kernel.KernelServices;
  readonly #options: LedgerOptions;
  readonly #timer: NodeJS.Timeout;
  #unstored: readonly mesh.WireBill[] = [];
  #lastNumber = 0;
  #activeFlush: Promise<void> | undefined;

  constructor(services: kernel.KernelServices, options: LedgerOptions) {
    this.#services = services;
    this.#options = options;
    this.#timer = setInterval(() => void this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Number of bills that are not known to be stored. */
  get unstoredCount(): number {
    return this.#unstored.length;
  }

  get billedCount(): number {
    return this.#lastNumber;
  }

  /** Numbers a bill and queues it for the next flush. */
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

  /** Stores a batch of queued bills; concurrent calls share one flush. */
  flush(): Promise<void> {
    if (this.#unstored.length === 0) return Promise.resolve();
    this.#activeFlush ??= this.#store().finally(() => {
      this.#activeFlush = undefined;
    });
    return this.#activeFlush;
  }

  /** Flushes until the queue is empty or the timeout expires; the rest remains in the backups. */
  async close(timeoutMs: number): Promise<void> {
    clearInterval(this.#timer);
    const deadlineAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (
      this.#unstored.length > 0 &&
      this.#services.clock.monotonicMs() < deadlineAtMs
    ) {
      await this.flush();
      if (this.#unstored.length > 0) await kernel.sleep(FLUSH_INTERVAL_MS / 5);
    }
  }

  async #store(): Promise<void> {
    const bills = this.#unstored.slice(0, MAX_BILLS_PER_FLUSH);
    const { store, onStored } = this.#options;
    if (
      !await billStorage.storeBills(store, bills, this.#services.clock.wallMs())
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
      detail: `up to number ${watermark}`,
    });
  }
}
