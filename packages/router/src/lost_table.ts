/**
 * A route table that peers have and the control plane has lost. A process that
 * started since would serve an older one, with keys that were revoked.
 */
import type * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";

/** Time for which a peer's report is believed. */
const BELIEVED_MS = 3_000;

/** The newest such table, by its revision. */
export class LostTable {
  readonly #clock: kernel.Clock;
  readonly #log: logs.DecisionLog;
  #revision = -Infinity;
  #reportedAtMs = -Infinity;

  constructor(clock: kernel.Clock, log: logs.DecisionLog) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Records the table of a peer that knows no more of the control plane than this process. */
  record(peerRevision: number, heldRevision: number): void {
    if (peerRevision <= heldRevision) return;
    if (!this.isNewerThan(heldRevision)) {
      this.#log.addNotable("config.missing", { peerRevision, heldRevision });
    }
    this.#revision = peerRevision;
    this.#reportedAtMs = this.#clock.monotonicMs();
  }

  /** Whether the table is newer than the one that is held. */
  isNewerThan(heldRevision: number): boolean {
    return this.#revision > heldRevision &&
      this.#clock.monotonicMs() - this.#reportedAtMs < BELIEVED_MS;
  }
}
