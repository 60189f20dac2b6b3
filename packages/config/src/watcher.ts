/**
 * Keeps the held bundle current from the store: a waiting watch for changes
 * and a periodic read that confirms the revision. While others of the same
 * data centre do this, a process leaves it to them and learns over the mesh.
 */
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as platformKeys from "@jackdawbank/store";
import type * as holders from "./holder.ts";

const CONFIRM_INTERVAL_MS = 1_000;
const WATCH_RETRY_MS = 200;
const MAX_RETRY_MS = 1_500;
/** Without a confirmation for so long, a process reads for itself. */
const SELF_HELP_AGE_MS = 2_000;
const JITTER = 0.4;

/** Settings of the watcher. */
export interface WatcherOptions {
  readonly store: stores.Store;
  readonly holder: holders.BundleHolder;
  /** Whether this process is one of its data centre's watchers now. */
  readonly isWatcher: () => boolean;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
}

/** Task that watches the bundle's key. */
export class BundleWatcher {
  readonly #services: kernel.KernelServices;
  readonly #options: WatcherOptions;
  readonly #abort = new AbortController();
  #modRevision = "0";
  #failures = 0;
  #isStoreUp = true;

  constructor(services: kernel.KernelServices, options: WatcherOptions) {
    this.#services = services;
    this.#options = options;
    void this.#confirmLoop();
    void this.#watchLoop();
  }

  get isStoreUp(): boolean {
    return this.#isStoreUp;
  }

  close(): void {
    this.#abort.abort();
  }

  async #confirmLoop(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      if (this.#isDue()) await this.readOnce();
      await this.#sleep(this.#retryDelayMs());
    }
  }

  async #watchLoop(): Promise<void> {
    const signal = this.#abort.signal;
    while (!signal.aborted) {
      if (!this.#options.isWatcher()) {
        await this.#sleep(CONFIRM_INTERVAL_MS);
        continue;
      }
      const watched = await this.#options.store.watchOnce(
        platformKeys.BUNDLE_KEY,
        {
          afterModRevision: this.#modRevision,
          signal,
        },
      );
      if (watched.isErr() || watched.value === undefined) {
        await this.#sleep(WATCH_RETRY_MS);
        continue;
      }
      this.#take(watched.value);
      await this.readOnce();
    }
  }

  /** Reads the store once; resolves whether it answered or not. */
  async readOnce(): Promise<void> {
    const askedAtMs = this.#services.clock.monotonicMs();
    const read = await this.#options.store.get(platformKeys.BUNDLE_KEY);
    if (this.#abort.signal.aborted) return;
    if (read.isErr()) {
      this.#options.holder.recordFailedCheck();
      this.#noteFailure(read.error);
      return;
    }
    this.#noteSuccess();
    if (read.value === undefined) return;
    const revision = this.#take(read.value);
    if (revision === undefined) return;
    const ageMs = this.#services.clock.monotonicMs() - askedAtMs;
    this.#options.holder.confirm(revision, ageMs);
  }

  #take(entry: stores.StoreEntry): number | undefined {
    if (BigInt(entry.modRevision) > BigInt(this.#modRevision)) {
      this.#modRevision = entry.modRevision;
    }
    const offered = this.#options.holder.offer(parseJson(entry.value), "store");
    return offered.isOk() ? offered.value.bundle.revision : undefined;
  }

  #isDue(): boolean {
    return this.#options.isWatcher() ||
      this.#options.holder.stalenessMs > SELF_HELP_AGE_MS;
  }

  #noteFailure(error: kernel.AppError): void {
    this.#failures += 1;
    if (!this.#isStoreUp) return;
    this.#isStoreUp = false;
    this.#services.timeline.record("store.down", { detail: error.message });
    this.#services.log.warn(`store: ${error.message}`);
  }

  #noteSuccess(): void {
    this.#failures = 0;
    if (this.#isStoreUp) return;
    this.#isStoreUp = true;
    this.#services.timeline.record("store.up");
    this.#services.log.info("store: answers again");
  }

  #retryDelayMs(): number {
    const baseMs = Math.min(
      MAX_RETRY_MS,
      CONFIRM_INTERVAL_MS * (1 + this.#failures / 2),
    );
    return baseMs * (1 - JITTER / 2 + JITTER * this.#options.random());
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
