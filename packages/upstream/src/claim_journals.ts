/** Claim journals of one process, by service and partition. */
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as claimDrivers from "./claim_journal_driver.ts";

export interface ClaimJournalsOptions {
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
}

/** Opens the journal of each partition on first use. */
export class ClaimJournals {
  readonly #services: kernel.KernelServices;
  readonly #options: ClaimJournalsOptions;
  readonly #drivers = new Map<string, claimDrivers.ClaimJournalDriver>();

  constructor(services: kernel.KernelServices, options: ClaimJournalsOptions) {
    this.#services = services;
    this.#options = options;
  }

  /** Store writes made for claims so far. */
  get writes(): number {
    let writes = 0;
    for (const driver of this.#drivers.values()) writes += driver.writes;
    return writes;
  }

  /** Returns the journal of a partition, opening it if necessary. */
  open(service: string, partition: number): claimDrivers.ClaimJournalDriver {
    const name = `${service}/${partition}`;
    const held = this.#drivers.get(name);
    if (held !== undefined) return held;
    const { holder, store } = this.#options;
    const settings = holder.index?.serviceByName.get(service);
    kernel.invariant(
      settings !== undefined,
      "claims are made only for services that are in the bundle",
    );
    const driver = new claimDrivers.ClaimJournalDriver(this.#services, {
      store,
      journalId: { service, partition },
      retentionMs: settings.keyRetentionMs,
    });
    this.#drivers.set(name, driver);
    return driver;
  }

  /** Stores all queued records, for at most `timeoutMs` per journal. */
  async flush(timeoutMs: number): Promise<void> {
    for (const driver of this.#drivers.values()) await driver.flush(timeoutMs);
  }

  close(): void {
    for (const driver of this.#drivers.values()) driver.close();
  }
}
