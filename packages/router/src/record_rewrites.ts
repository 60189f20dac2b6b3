/**
 * Schedules the writes of records that the control plane has lost. All processes
 * that know a record would write it; the first one spares the others the call.
 */
import type * as kernel from "@jackdawbank/kernel";
import type * as ports from "./ports.ts";

/** Spreads the writes of a lost record, so that most processes see that of another one first. */
const SPREAD_PER_PROCESS_MS = 20;
const MAX_SPREAD_MS = 2_000;
const RETRY_MS = 400;

export interface RecordRewritesOptions {
  readonly clock: kernel.Clock;
  readonly random: () => number;
  /** Number of the installation's processes. */
  readonly countProcesses: () => number;
}

/** Times at which lost records are written. */
export class RecordRewrites {
  readonly #options: RecordRewritesOptions;
  readonly #dueAtMsByService = new Map<string, number>();

  constructor(options: RecordRewritesOptions) {
    this.#options = options;
  }

  /** Returns the lost records that are to be written now. */
  listDue(
    unwritten: readonly ports.RolloutRecord[],
  ): readonly ports.RolloutRecord[] {
    const { clock, random, countProcesses } = this.#options;
    const nowMs = clock.monotonicMs();
    const services = new Set(unwritten.map(({ service }) => service));
    for (const service of this.#dueAtMsByService.keys()) {
      if (!services.has(service)) this.#dueAtMsByService.delete(service);
    }
    return unwritten.filter(({ service }) => {
      const spreadMs = Math.min(
        MAX_SPREAD_MS,
        countProcesses() * SPREAD_PER_PROCESS_MS,
      );
      const dueAtMs = this.#dueAtMsByService.get(service) ??
        nowMs + random() * spreadMs;
      const isDue = nowMs >= dueAtMs;
      this.#dueAtMsByService.set(service, isDue ? nowMs + RETRY_MS : dueAtMs);
      return isDue;
    });
  }
}
