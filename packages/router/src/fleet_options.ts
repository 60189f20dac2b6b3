/** What the exchange with peers needs of the other parts of its process. */
import type * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as telemetry from "./telemetry.ts";

/** State of this process that its peers are told. */
export interface FleetSource
  extends Omit<peers.ReportSource, "listLoads" | "listRunning"> {
  /** Keys of the replicas at which this process has requests. */
  listBusyKeys(): readonly number[];
  /** What peers should know of suspected parts of prompts. */
  listPromptTallies(): readonly peers.PartTally[];
  /** What this process has at a replica. */
  readOwnLoad(replicaKey: number): decisions.ReplicaLoadState;
}

/** Receives what peers tell. */
export interface FleetListener extends peers.ReportListener {
  onPromptTallies(message: peers.PromptMessage): void;
}

/** Dependencies of the fleet. */
export interface FleetOptions {
  readonly settings: ports.RouterSettings;
  readonly clock: kernel.Clock;
  readonly controlPlane: ports.ControlPlane;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly random: () => number;
  readonly source: FleetSource;
  readonly listener: FleetListener;
  /** Called when the number of announced processes changes. */
  readonly onSizeChange: (processes: number) => void;
  /** What replicas bear while they are cold, and who is told. */
  readonly cold: Pick<peers.ColdGrantsOptions, "findLimit" | "onLearnt">;
}
