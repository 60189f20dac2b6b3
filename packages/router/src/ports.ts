/**
 * Interfaces between the router and its environment: settings, a control plane
 * that stores configuration and membership, and a codec for request headers.
 */
import type * as bundle from "@jackdawbank/bundle";
import type * as kernel from "@jackdawbank/kernel";
import type * as decisions from "@jackdawbank/decisions";
import type * as peers from "@jackdawbank/peers";

/** An IP address with a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Settings of one router process. */
export interface RouterSettings {
  readonly vmName: string;
  readonly ip: string;
  readonly dataCentre: string;
  /** Region of each data centre of the installation; empty if the settings name none. */
  readonly regionByDataCentre: ReadonlyMap<string, string>;
  /** Listen address for callers' requests. */
  readonly callers: Address;
  /** Listen address for readiness probes. */
  readonly readiness: Address;
  /** Port for peer reports between router processes; absent where none is configured. */
  readonly peerPort: number | undefined;
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: number;
  /** Time after which a change of configuration or membership must be in force. */
  readonly changeBoundMs: number;
  /** Time after its revocation by which a key must no longer be accepted. */
  readonly revocationBoundMs: number;
  /** Retries allowed per request within the retry window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries allowed in each window in addition to the ratio. */
  readonly retrySlack: number;
  /** Largest share of a service's requests that an unproven version may receive. */
  readonly exposureShare: number;
  /** Longest pause between two requests of one session. */
  readonly sessionGapMs: number;
  /** Time for which a replica's cached prompt prefix is expected to be reusable. */
  readonly prefixReuseWindowMs: number;
  /** How far all processes together may exceed the rate of a cold replica; absent without a bound. */
  readonly coldRateBound: ColdRateBound | undefined;
  /** Memory at which this process is ended; absent if the settings name none. */
  readonly memoryBytes: number | undefined;
  /** File descriptors of this process; absent if the settings name none. */
  readonly fileDescriptors: number | undefined;
}

/** Requests in one second that a cold replica bears: its rate times the factor, and some more. */
export interface ColdRateBound {
  readonly factor: number;
  readonly extraRequests: number;
}

/** A replica's registration in the control plane. */
export interface ReplicaEntry {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly dataCentre: string;
  readonly version: string;
  /** Requests that the replica runs at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which the replica stays cold, as of its entry; 0 if it is warm. */
  readonly coldForMs: number;
  /** Start of the replica's process, which tells restarts under the same ID apart. */
  readonly startedAtMs: number | undefined;
}

export type PeerEntry = peers.PeerEndpoint;
export type RolloutOrder = decisions.RolloutOrder;
export type NamedRate = decisions.NamedRate;
export type RolloutRecord = decisions.RolloutRecord;

/** One decoded entry, or the removal of one, from the control plane. */
export type ControlItem =
  | { readonly type: "route-table"; readonly table: bundle.RouteTable }
  | { readonly type: "replica"; readonly replica: ReplicaEntry }
  | { readonly type: "replica-gone"; readonly id: string }
  | {
    readonly type: "unreadable-replica";
    readonly id: string;
    readonly reason: string;
  }
  | { readonly type: "peer"; readonly peer: PeerEntry }
  | { readonly type: "peer-gone"; readonly name: string }
  | { readonly type: "rollout-order"; readonly order: RolloutOrder }
  | { readonly type: "rollout-record"; readonly record: RolloutRecord }
  /** A part of prompts on which replicas crash. */
  | { readonly type: "quarantined-part"; readonly partId: string }
  | { readonly type: "quarantined-part-gone"; readonly partId: string }
  /** Nothing may be sent to the replicas of a data centre until the order is removed. */
  | { readonly type: "evacuation"; readonly dataCentre: string }
  | { readonly type: "evacuation-gone"; readonly dataCentre: string }
  | { readonly type: "unreadable"; readonly reason: string }
  | { readonly type: "other" };

/** Items in order of change, with the revision at which the next watch resumes. */
export interface ControlUpdate {
  readonly items: readonly ControlItem[];
  readonly revision: number;
  /** It came from another process, and says nothing about how current it is. */
  readonly isRelayed?: boolean;
  /** Length of the values from which it was decoded, in characters; absent if unknown. */
  readonly storedChars?: number;
  /** Time for which decoding the values held the event loop; absent if unknown. */
  readonly decodeMs?: number;
}

/** Result of a conditional write: `changed` if the stored revision differed. */
export type RolloutWriteResult =
  | {
    readonly type: "written";
    readonly revision: number;
    readonly writeId: string;
  }
  | { readonly type: "changed" };

/** Lease of a peer announcement; the entry expires unless it is renewed. */
export interface PeerLease {
  readonly id: string;
  readonly ttlMs: number;
}

/** Stores configuration, replicas, roll-outs and router processes. */
export interface ControlPlane {
  /** Whether the next changes will come from another process, which confirms nothing. */
  readonly isRelayed?: boolean;
  /** Reads all items. */
  readAll(): Promise<kernel.Outcome<ControlUpdate>>;
  /**
   * Long poll: resolves at the first change, or without items after `waitMs`. The
   * signal ends the wait; an answer that has begun is read to its end.
   */
  waitForChanges(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
    /** The wait is to confirm the view, which only the control plane itself can do. */
    isConfirmation?: boolean,
  ): Promise<kernel.Outcome<ControlUpdate>>;
  /** Writes a record if the stored revision still equals the record's revision. */
  writeRollout(
    record: RolloutRecord,
  ): Promise<kernel.Outcome<RolloutWriteResult>>;
  /** Stores that a part of prompts is quarantined for a time; succeeds also if it was stored before. */
  writeQuarantine(
    partId: string,
    durationMs: number,
  ): Promise<kernel.Outcome<void>>;
  /** Announces this process to its peers. */
  announcePeer(peer: PeerEntry): Promise<kernel.Outcome<PeerLease>>;
  /** Resolves to false if the lease has expired. */
  renewPeer(leaseId: string): Promise<kernel.Outcome<boolean>>;
  /** Removes the announcement before its lease expires. */
  withdrawPeer(leaseId: string): Promise<kernel.Outcome<void>>;
  close(): Promise<void>;
}

/** Header values by lower-case name; repeated headers are joined with commas. */
export type HeaderMap = Readonly<Record<string, string | undefined>>;

/** Part of a prompt; inference engines reuse cached leading parts that requests share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Fields decoded from the headers of a caller's request. */
export interface RequestFields {
  /** The caller's ID for this request. */
  readonly attemptId: string | undefined;
  /** Time that the caller waits, counted from when it sent the request. */
  readonly deadlineMs: number | undefined;
  readonly keySha256: string | undefined;
  readonly session: string | undefined;
  /** The requested model; absent if the router may choose. */
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate, often far off, or else the maximum. */
  readonly expectedOutputTokens: number;
  readonly promptParts: readonly PromptPart[];
  /** ID of the last event received, from which a stream resumes. */
  readonly lastEventId: string | undefined;
  /** Headers that are forwarded unchanged; names and values alternate. */
  readonly forwardedHeaders: readonly string[];
}

/** Fields that the router adds to a request to a replica. */
export interface ReplicaRequestFields {
  /** Remaining time in which the caller waits. */
  readonly deadlineMs: number;
  readonly replicaId: string;
  readonly account: string | undefined;
  readonly model: string | undefined;
  /** Scheduling priority at the engine; 0 is scheduled first. */
  readonly enginePriority: number | undefined;
  readonly lastEventId: string | undefined;
}

/** Fields decoded from the headers of a replica's response. */
export interface ResponseFields {
  /** ID of the request that the replica answered. */
  readonly attemptId: string | undefined;
  /** The replica signed the response. */
  readonly hasSignature: boolean;
  /** The replica states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** The model's confidence in its own response, 0 to 100. */
  readonly confidence: number | undefined;
  readonly hasContentEncoding: boolean;
  /** What the replica asks of its callers; a pause counts only in a refusal. */
  readonly demands: decisions.ReplicaDemands;
}

/** Converts between headers and the router's fields. */
export interface MessageCodec {
  /** Path of the platform's readiness probe. */
  readonly readinessPath: string;
  decodeRequest(
    headers: HeaderMap,
    rawHeaders: readonly string[],
  ): RequestFields;
  /** Headers of a request to a replica; names and values alternate. */
  encodeReplicaRequest(
    fields: RequestFields,
    added: ReplicaRequestFields,
  ): readonly string[];
  decodeResponse(headers: HeaderMap): ResponseFields;
  encodeRetryAfter(delayMs: number): readonly [string, string];
}
