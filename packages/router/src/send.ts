/** One send of a request to a replica: its options, its state and its outcome. */
import type * as decisions from "@jackdawbank/decisions";
import type * as admissions from "./admission.ts";
import type * as attempts from "./attempt.ts";
import type * as groups from "./replica_group.ts";
import type * as speeds from "./speed_recorder.ts";
import type * as candidates from "./candidate.ts";
import type * as rooms from "./room_gate.ts";

/** Options of one attempt. */
export interface SendOptions {
  readonly model: string | undefined;
  readonly lastEventId: string | undefined;
  /** IDs of replicas that must not be used. */
  readonly excluded: ReadonlySet<string>;
  /** IDs of replicas that have refused this request, of which a late copy may arrive. */
  readonly refusedBy: ReadonlySet<string>;
  /** Number of earlier attempts of this request. */
  readonly earlierSends: number;
  /** Whether an earlier attempt ran, or may have run. */
  readonly hasRun: boolean;
}

/** Room for a large body at one replica. */
export interface BodyReservation {
  readonly replicaKey: number;
  readonly release: () => void;
}

/** What the other processes answered before the choice of a replica. */
export interface Preparation {
  /** Keys of the replicas whose load is known now. */
  readonly queriedKeys: ReadonlySet<number>;
  /** Replica with a rate that may get this request. */
  readonly grantedKey: number | undefined;
  /** Room for a large body at the replica that gets it; ended by the send. */
  readonly reservation?: BodyReservation | undefined;
  /** Why the request must not be sent; absent if it may be. */
  readonly refusal?: admissions.Refusal;
}

/** An attempt in flight at a replica. */
export interface SentAttempt extends groups.SentLoad {
  readonly attempt: attempts.Attempt;
  readonly state: groups.ReplicaState;
  readonly sentAtMs: number;
  readonly cachedTokens: number;
  /** Predicted prefill time of the prompts that were ahead of this one. */
  readonly queuedMs: number;
  readonly prediction: speeds.SpeedPrediction;
}

/** Outcome of an attempt that its replica ran, or may have run. */
export interface RunOutcome
  extends Pick<decisions.VersionOutcome, "model" | "result" | "paceMs"> {
  /** Time to the headers of a stream, or to the end of a buffered response; absent if none. */
  readonly latencyMs: number | undefined;
  /** Its pace was judged before its end; a whole answer is no further evidence. */
  readonly isPaceJudged: boolean;
  /** This process itself was short of CPU time, so its measurements may be too high. */
  readonly isLagging: boolean;
}

/** What decides a request that is not sent. */
export interface SendPreview {
  readonly placement: groups.PlacementRequest;
  readonly weighed: candidates.WeighedReplicas;
  /** Why it would be refused, whatever the replicas are. */
  readonly refusal: admissions.Refusal | undefined;
  /** Whether it would be held; absent if nothing competes for room. */
  readonly room: rooms.RoomPreview | undefined;
}
