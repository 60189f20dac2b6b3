/** What the table of replicas needs of the other parts of the router. */
import type * as decisions from "@jackdawbank/decisions";
import type * as peers from "@jackdawbank/peers";
import type * as groups from "./replica_group.ts";

/** Dependencies and settings of the table. */
export interface ReplicaTableOptions {
  readonly dataCentre: string;
  readonly prefixReuseWindowMs: number;
  readonly random: () => number;
  readonly onConnectionOpened: () => void;
  readonly rates: groups.ReplicaRates;
  readonly bodies: groups.ReplicaBodies;
  /** Whether nothing may be sent to a data centre's replicas; absent if all are in use. */
  readonly isEvacuated?: (dataCentre: string) => boolean;
  /** Load that peers have in flight at a replica. */
  readonly readPeerLoad: (replicaKey: number) => decisions.ReplicaLoadState;
  /** Called when all of many replicas were looked at, as too few of a sample were usable. */
  readonly onFullScan?: () => void;
  /** Called when this process's load at a replica, or its evidence, has changed. */
  readonly onLoadChanged: (
    replicaKey: number,
    change: peers.LoadChange,
  ) => void;
}
