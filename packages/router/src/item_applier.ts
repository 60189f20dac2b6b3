/** Hands each item of the control plane to the part of the view that it belongs to. */
import type * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import type * as listeners from "./control_listener.ts";
import type * as ports from "./ports.ts";
import type * as entries from "./replica_entries.ts";
import type * as rollouts from "./rollout_states.ts";

/** Parts of the view to which items belong. */
export interface ItemApplierOptions
  extends Pick<listeners.ControlTaskOptions, "log" | "listener"> {
  readonly replicas: entries.ReplicaEntries;
  readonly rollouts: rollouts.RolloutStates;
  readonly applyRouteTable: (table: bundle.RouteTable) => void;
}

/** Applies items one by one. */
export class ItemApplier {
  readonly #options: ItemApplierOptions;

  constructor(options: ItemApplierOptions) {
    this.#options = options;
  }

  /**
   * Applies an item; one that cannot be applied does not affect the others.
   * `isRestored` if it is of the first read since the control plane was restored.
   */
  apply(item: ports.ControlItem, isRestored: boolean): void {
    try {
      this.#apply(item, isRestored);
    } catch (thrown) {
      this.#options.log.addNotable("control.item-refused", {
        type: item.type,
        reason: kernel.describeThrown(thrown),
      });
    }
  }

  #apply(item: ports.ControlItem, isRestored: boolean): void {
    const { log, listener, replicas, rollouts } = this.#options;
    switch (item.type) {
      case "route-table":
        return this.#options.applyRouteTable(item.table);
      case "replica":
        return replicas.apply(item.replica, isRestored);
      case "replica-gone":
        return replicas.remove(item.id, "its entry was removed");
      case "unreadable-replica":
        log.addNotable("replica.unreadable", {
          replica: item.id,
          reason: item.reason,
        });
        return replicas.remove(item.id, "its entry is unreadable");
      case "peer":
        return listener.onPeer(item.peer);
      case "peer-gone":
        return listener.onPeerRemoved(item.name);
      case "rollout-order":
        return rollouts.applyOrder(item.order, isRestored);
      case "rollout-record":
        return rollouts.applyRecord(item.record);
      case "quarantined-part":
        return listener.onQuarantinedPart(item.partId);
      case "quarantined-part-gone":
        return listener.onQuarantinedPartRemoved(item.partId);
      case "evacuation":
        return listener.onEvacuation(item.dataCentre);
      case "evacuation-gone":
        return listener.onEvacuationRemoved(item.dataCentre);
      case "unreadable":
        log.addNotable("control.unreadable", { reason: item.reason });
        return;
      case "other":
        return;
    }
  }
}
