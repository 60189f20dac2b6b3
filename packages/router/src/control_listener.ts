/** What the task that follows the control plane needs, and what it tells of each change of its view. */
import type * as bundle from "@jackdawbank/bundle";
import type * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as telemetry from "./telemetry.ts";

/** Called for each change of the view. */
export interface ControlListener {
  onReplica(replica: ports.ReplicaEntry): void;
  /** The replica's entry is missing, perhaps only because its lease expired in an outage. */
  onReplicaDoubtful(id: string): void;
  onReplicaRemoved(id: string): void;
  onRouteTable(index: bundle.RouteIndex): void;
  onPeer(peer: ports.PeerEntry): void;
  onPeerRemoved(name: string): void;
  onQuarantinedPart(partId: string): void;
  onQuarantinedPartRemoved(partId: string): void;
  onEvacuation(dataCentre: string): void;
  onEvacuationRemoved(dataCentre: string): void;
  /**
   * Called with all items of a full read, after each was applied; `isRestored` if the
   * control plane was restored from an older copy since the read before.
   */
  onFullRead(items: readonly ports.ControlItem[], isRestored: boolean): void;
}

/** Dependencies of the task. */
export interface ControlTaskOptions {
  readonly clock: kernel.Clock;
  readonly controlPlane: ports.ControlPlane;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly listener: ControlListener;
  readonly random: () => number;
  /** Number of peers that recently reported the age of their view. */
  readonly countConfirmingPeers: () => number;
  /** Time after which a change must be in force. */
  readonly changeBoundMs: number;
}
