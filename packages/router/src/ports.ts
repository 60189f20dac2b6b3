/**
 * What the router needs of the world around it, in its own words: settings, a
 * control plane that holds what must last, and a codec of callers' requests.
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
  readonly callers: Address;
  readonly readiness: Address;
  /** Where processes of the installation send each other reports; absent where they have no port for it. */
  readonly peerPort: number | undefined;
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: number;
  /** A key taken away longer ago than this must not be served. */
  readonly revocationBoundMs: number;
  /** Retries allowed for each request, and beside them, in any window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  /** Share of a service's requests that a bad version may get. */
  readonly exposureShare: number;
  /** Requests of a session follow each other within this. */
  readonly sessionGapMs: number;
  /** A shared part of a prompt is worth finding again within this. */
  readonly prefixReuseWindowMs: number;
}

/** A replica as it registered itself. */
export interface ReplicaEntry {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly dataCentre: string;
  readonly version: string;
  readonly slots: number;
  readonly isDraining: boolean;
  readonly startedAtMs: number | undefined;
}

export type PeerEntry = peers.PeerEndpoint;
export type RolloutOrder = decisions.RolloutOrder;
export type RolloutRecord = decisions.RolloutRecord;

/** One thing read from the control plane. */
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
  | { readonly type: "unreadable"; readonly reason: string }
  | { readonly type: "other" };

/** Items in the order of their changes, and the revision that a watch goes on from. */
export interface ControlUpdate {
  readonly items: readonly ControlItem[];
  readonly revision: number;
}

/** Result of a conditional write. */
export type RolloutWriteResult =
  | { readonly type: "written"; readonly revision: number }
  | { readonly type: "changed" };

/** An announcement that ends unless it is renewed. */
export interface PeerLease {
  readonly id: string;
  readonly ttlMs: number;
}

/** Holds configuration, replicas, roll-outs and the processes of the installation. */
export interface ControlPlane {
  readAll(): Promise<kernel.Outcome<ControlUpdate>>;
  /** Resolves with changes as soon as there are any, or with none after the wait. */
  waitForChanges(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<kernel.Outcome<ControlUpdate>>;
  /** Writes a record if its revision is still the stored one. */
  writeRollout(
    record: RolloutRecord,
  ): Promise<kernel.Outcome<RolloutWriteResult>>;
  /** Announces this process to the others. */
  announcePeer(peer: PeerEntry): Promise<kernel.Outcome<PeerLease>>;
  /** Resolves with whether the announcement still stands. */
  renewPeer(leaseId: string): Promise<kernel.Outcome<boolean>>;
  /** Ends the announcement. */
  withdrawPeer(leaseId: string): Promise<kernel.Outcome<void>>;
  close(): Promise<void>;
}

/** Headers by lower-case name; repeated ones are joined. */
export type HeaderMap = Readonly<Record<string, string | undefined>>;

/** One part of a prompt; requests that share it share what engines cached. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller's headers say. */
export interface RequestFields {
  readonly attemptId: string | undefined;
  /** How long the caller waits, from the moment of sending. */
  readonly deadlineMs: number | undefined;
  readonly keySha256: string | undefined;
  readonly session: string | undefined;
  /** The model asked for; absent where the choice is left to the system. */
  readonly model: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly promptParts: readonly PromptPart[];
  readonly lastEventId: string | undefined;
  /** Names and values that are passed on unchanged, alternating. */
  readonly forwardedHeaders: readonly string[];
}

/** What the system adds to one send. */
export interface ReplicaRequestFields {
  readonly deadlineMs: number;
  readonly replicaId: string;
  readonly account: string | undefined;
  readonly model: string | undefined;
  /** 0 is admitted first. */
  readonly enginePriority: number | undefined;
  readonly lastEventId: string | undefined;
}

/** What a replica's answer says of itself. */
export interface ResponseFields {
  readonly attemptId: string | undefined;
  /** The replica vouches for the answer. */
  readonly hasSignature: boolean;
  /** The replica states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** The model's opinion of its own answer, 0 to 100. */
  readonly confidence: number | undefined;
  readonly hasContentEncoding: boolean;
}

/** Translates headers in both directions. */
export interface MessageCodec {
  /** Path by which the platform asks whether this process takes callers. */
  readonly readinessPath: string;
  decodeRequest(
    headers: HeaderMap,
    rawHeaders: readonly string[],
  ): RequestFields;
  /** Names and values, alternating, of a request to a replica. */
  encodeReplicaRequest(
    fields: RequestFields,
    send: ReplicaRequestFields,
  ): readonly string[];
  decodeResponse(headers: HeaderMap): ResponseFields;
  encodeRetryAfter(delayMs: number): readonly [string, string];
}
