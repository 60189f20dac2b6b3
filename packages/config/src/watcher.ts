/**
 * Keeps the active bundle current from the store: a long-running watch for
 * changes and a periodic read that confirms the revision. A process that is not
 * one of its data centre's watchers receives bundles and confirmations over the
 * mesh, and reads the store itself only when confirmations stop.
 */
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as storeKeys from "@jackdawbank/store";
import type * as holders from "./holder.ts";

const CONFIRM_INTERVAL_MS = 1_000;
const WATCH_RETRY_DELAY_MS = 200;
const MAX_CONFIRM_DELAY_MS = 1_500;
/** A process without a confirmation for this long reads the store itself. */
const MAX_UNCONFIRMED_AGE_MS = 2_000;
const JITTER_FRACTION = 0.4;

/** Settings of the watcher. */
export interface WatcherOptions {
  readonly store: stores.Store;
  readonly holder: holders.BundleHolder;
  /** Whether this process is currently one of its data centre's watchers. */
  readonly isWatcher: () => boolean;
  /** Source of uniform numbers in [0, 1), for jitter. */
  readonly random: () => number;
}

/** Task that reads and watches the bundle's key in the store. */
export class BundleWatcher {
  readonly #services: kernel.KernelServices;
  readonly #options: WatcherOptions;
  readonly #abort = new AbortController();
  #modRevision = "0";
  #consecutiveFailures = 0;
  #isStoreUp = true;

  constructor(services: kernel.KernelServices, options: WatcherOptions) {
    this.#services = services;
    this.#options = options;
    void this.#runConfirmLoop();
    void this.#runWatchLoop();
  }

  get isStoreUp(): boolean {
    return this.#isStoreUp;
  }

  close(): void {
    this.#abort.abort();
  }

  async #runConfirmLoop(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      if (this.#shouldRead()) await this.readOnce();
      await this.#sleep(this.#computeDelayMs());
    }
  }

  async #runWatchLoop(): Promise<void> {
    const signal = this.#abort.signal;
    while (!signal.aborted) {
      if (!this.#options.isWatcher()) {
        await this.#sleep(CONFIRM_INTERVAL_MS);
        continue;
      }
      const watched = await this.#options.store.watchOnce(
        storeKeys.BUNDLE_KEY,
        {
          afterModRevision: this.#modRevision,
          signal,
        },
      );
      if (watched.isErr() || watched.value === undefined) {
        await this.#sleep(WATCH_RETRY_DELAY_MS);
        continue;
      }
      this.#offerEntry(watched.value);
      await this.readOnce();
    }
  }

  /** Reads the store once. Never rejects: a failed read is recorded. */
  async readOnce(): Promise<void> {
    const requestedAtMs = this.#services.clock.monotonicMs();
    const read = await this.#options.store.get(storeKeys.BUNDLE_KEY);
    if (this.#abort.signal.aborted) return;
    if (read.isErr()) {
      this.#options.holder.recordFailedCheck();
      this.#recordFailure(read.error);
      return;
    }
    this.#recordSuccess();
    if (read.value === undefined) return;
    const revision = this.#offerEntry(read.value);
    if (revision === undefined) return;
    const ageMs = this.#services.clock.monotonicMs() - requestedAtMs;
    this.#options.holder.confirm(revision, ageMs);
  }

  #offerEntry(entry: stores.StoreEntry): number | undefined {
    if (BigInt(entry.modRevision) > BigInt(this.#modRevision)) {
      this.#modRevision = entry.modRevision;
    }
    const offered = this.#options.holder.offer(parseJson(entry.value), "store");
    return offered.isOk() ? offered.value.bundle.revision : undefined;
  }

  #shouldRead(): boolean {
    return this.#options.isWatcher() ||
      this.#options.holder.stalenessMs > MAX_UNCONFIRMED_AGE_MS;
  }

  #recordFailure(error: kernel.AppError): void {
    this.#consecutiveFailures += 1;
    if (!this.#isStoreUp) return;
    this.#isStoreUp = false;
    this.#services.timeline.record("store.down", { detail: error.message });
    this.#services.log.warn(`store read failed: ${error.message}`);
  }

  #recordSuccess(): void {
    this.#consecutiveFailures = 0;
    if (this.#isStoreUp) return;
    this.#isStoreUp = true;
    this.#services.timeline.record("store.up");
    this.#services.log.info("store reads succeed again");
  }

  #computeDelayMs(): number {
    const baseMs = Math.min(
      MAX_CONFIRM_DELAY_MS,
      CONFIRM_INTERVAL_MS * (1 + this.#consecutiveFailures / 2),
    );
    return baseMs *
      (1 - JITTER_FRACTION / 2 + JITTER_FRACTION * this.#options.random());
  }

  #sleep(durationMs: number): Promise<void> {
    return kernel.sleep(durationMs, this.#abort.signal);
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
