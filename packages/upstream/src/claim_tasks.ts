/** The claim journals of one process, by service and partition. */
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as claimTasks from "./claim_journal_driver.ts";

/** What the journals need. */
export interface ClaimTasksOptions {
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
}

/** Owner of the journals. */
export class ClaimTasks {
  readonly #services: kernel.KernelServices;
  readonly #options: ClaimTasksOptions;
  readonly #tasks = new Map<string, claimTasks.ClaimJournalDriver>();

  constructor(services: kernel.KernelServices, options: ClaimTasksOptions) {
    this.#services = services;
    this.#options = options;
  }

  /** Store writes made for claims. */
  get writes(): number {
    let writes = 0;
    for (const task of this.#tasks.values()) writes += task.writes;
    return writes;
  }

  /** The journal of a partition. */
  open(service: string, partition: number): claimTasks.ClaimJournalDriver {
    const name = `${service}/${partition}`;
    const held = this.#tasks.get(name);
    if (held !== undefined) return held;
    const { holder, store } = this.#options;
    const settings = holder.index?.serviceByName.get(service);
    kernel.invariant(
      settings !== undefined,
      "claims are made for services of the bundle",
    );
    const task = new claimTasks.ClaimJournalDriver(this.#services, {
      store,
      journal: { service, partition },
      retentionMs: settings.keyRetentionMs,
    });
    this.#tasks.set(name, task);
    return task;
  }

  /** Stores what waits. */
  async flush(timeoutMs: number): Promise<void> {
    for (const task of this.#tasks.values()) await task.flush(timeoutMs);
  }

  close(): void {
    for (const task of this.#tasks.values()) task.close();
  }
}
