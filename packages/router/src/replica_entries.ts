/**
 * Entries of replicas in the control plane. Entries that are missing after an outage
 * are removed with a delay. After the control plane was restored from an older copy,
 * a replica that was draining or gone is not taken for ready again by its old entry.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as listeners from "./control_listener.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as removals from "./removal_delay.ts";

/** Time after which an old entry of a replica that was draining before it was gone is believed. */
const DRAINED_HOLD_MS = 10_000;
const MAX_DEPARTED = 1_024;

/** Dependencies of the entries. */
export interface ReplicaEntriesOptions {
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly listener: Pick<
    listeners.ControlListener,
    "onReplica" | "onReplicaDoubtful" | "onReplicaRemoved"
  >;
}

/** Replicas with an entry, and those that lost theirs lately. */
export class ReplicaEntries {
  readonly #options: ReplicaEntriesOptions;
  readonly #replicas = new Map<string, ports.ReplicaEntry>();
  readonly #removals: removals.RemovalDelay;
  /** Last entries of replicas that are gone, the latest last. */
  readonly #departed = new Map<string, ports.ReplicaEntry>();
  /** Old entries of replicas that were gone, until they are believed. */
  readonly #held = new Map<string, NodeJS.Timeout>();

  constructor(options: ReplicaEntriesOptions) {
    this.#options = options;
    this.#removals = new removals.RemovalDelay(options.clock);
  }

  /** Number of replicas whose entries are missing and whose removal is delayed. */
  get doubtfulCount(): number {
    return this.#removals.pendingCount;
  }

  /** Records that the control plane is reachable again, perhaps without some entries. */
  recordRecovery(): void {
    this.#removals.recordRecovery();
  }

  /** Applies an entry; `isCopied` if it may come from an older copy. */
  apply(replica: ports.ReplicaEntry, isCopied: boolean): void {
    const { id } = replica;
    const departed = this.#departed.get(id);
    if (
      isCopied && departed !== undefined &&
      departed.startedAtMs === replica.startedAtMs
    ) {
      // One that was not draining may only have lost its entry, and has registered again.
      const holdMs = departed.isDraining
        ? DRAINED_HOLD_MS
        : removals.REREGISTRATION_PERIOD_MS;
      return this.#hold(replica, holdMs);
    }
    const existing = this.#replicas.get(id);
    const isSameProcess = existing?.startedAtMs === replica.startedAtMs;
    const isDraining = replica.isDraining ||
      (isCopied && isSameProcess && existing?.isDraining === true);
    this.#put({ ...replica, isDraining });
  }

  /** Removes an entry, after an outage with a delay. */
  remove(id: string, reason: string): void {
    this.#release(id);
    if (!this.#replicas.has(id) || this.#removals.isPending(id)) return;
    const { clock, log, listener } = this.#options;
    const knownAtMs = clock.monotonicMs();
    this.#removals.schedule(id, () => {
      this.#recordDeparture(id);
      log.addNotable("replica.gone", {
        replica: id,
        reason,
        heldBackMs: Math.round(clock.monotonicMs() - knownAtMs),
      });
      listener.onReplicaRemoved(id);
    });
    if (!this.#removals.isPending(id)) return;
    log.addNotable("replica.doubtful", { replica: id, reason });
    listener.onReplicaDoubtful(id);
  }

  /** Removes the entries that a full read did not find. */
  removeMissing(found: ReadonlySet<string>): void {
    for (const id of [...this.#replicas.keys(), ...this.#held.keys()]) {
      if (!found.has(id)) this.remove(id, "missing from a full read");
    }
  }

  close(): void {
    this.#removals.close();
    for (const timer of this.#held.values()) clearTimeout(timer);
    this.#held.clear();
  }

  #put(replica: ports.ReplicaEntry): void {
    const { id } = replica;
    const existing = this.#replicas.get(id);
    this.#release(id);
    this.#departed.delete(id);
    this.#removals.cancel(id);
    this.#replicas.set(id, replica);
    if (existing === undefined || existing.isDraining !== replica.isDraining) {
      this.#options.log.addNotable("replica.known", {
        replica: id,
        service: replica.service,
        version: replica.version,
        dataCentre: replica.dataCentre,
        isDraining: replica.isDraining,
      });
    }
    this.#options.listener.onReplica(replica);
  }

  #hold(replica: ports.ReplicaEntry, holdMs: number): void {
    const { id } = replica;
    this.#release(id);
    this.#options.log.addNotable("replica.held", {
      replica: id,
      reason: "it was gone before the control plane was restored",
    });
    const timer = setTimeout(() => this.#put(replica), holdMs);
    this.#held.set(id, timer);
  }

  #release(id: string): void {
    clearTimeout(this.#held.get(id));
    this.#held.delete(id);
  }

  #recordDeparture(id: string): void {
    const replica = this.#replicas.get(id);
    this.#replicas.delete(id);
    if (replica === undefined) return;
    this.#departed.delete(id);
    this.#departed.set(id, replica);
    decisions.trimOldest(this.#departed, MAX_DEPARTED);
  }
}
