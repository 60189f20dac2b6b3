/** The parts of a router that its dispatcher asks and tells. */
import type * as kernel from "@jackdawbank/kernel";
import type * as admissions from "./admission.ts";
import type * as control from "./control_task.ts";
import type * as fleets from "./fleet.ts";
import type * as logs from "./decision_log.ts";
import type * as places from "./places.ts";
import type * as ports from "./ports.ts";
import type * as quarantines from "./crash_quarantine.ts";
import type * as replicas from "./replica_table.ts";
import type * as rollouts from "./rollout_task.ts";
import type * as sessions from "./sessions.ts";
import type * as shutdowns from "./shutdown.ts";
import type * as telemetry from "./telemetry.ts";

/** Dependencies of the dispatcher. */
export interface DispatcherDependencies {
  readonly clock: kernel.Clock;
  readonly codec: ports.MessageCodec;
  readonly settings: ports.RouterSettings;
  readonly control: control.ControlTask;
  readonly admission: admissions.Admission;
  readonly table: replicas.ReplicaTable;
  readonly places: places.Places;
  readonly rollouts: rollouts.RolloutTask;
  readonly quarantine: quarantines.CrashQuarantine;
  readonly fleet: fleets.Fleet;
  readonly sessions: sessions.SessionTable;
  readonly shutdown: shutdowns.ShutdownSchedule;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly random: () => number;
}
