/** What was seen in a play, as read-only data; all times are of one monotonic clock. */
import type * as fakes from "@jackdawbank/fakes";
import type * as contents from "./content.ts";

export interface SignalFact {
  readonly signal: "SIGTERM" | "SIGKILL" | "SIGHUP";
  readonly atMs: number;
}

/** One life of an entry's process. */
export interface ProcessFact {
  readonly serial: number;
  readonly entry: number;
  readonly startedAtMs: number;
  /** Absent if it was running at the end of the play. */
  readonly exit: {
    readonly atMs: number;
    readonly code: number | null;
    readonly signal: string | null;
  } | undefined;
  readonly signals: readonly SignalFact[];
  readonly log: readonly string[];
}

/** A span in which a process did not run, or the store was in trouble. */
export interface DisturbanceFact {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Absent for the store. */
  readonly serial: number | undefined;
  readonly reason: string;
}

export interface RequestFact extends fakes.CallerExchange {
  readonly requestId: string;
  readonly client: number;
  /** Process that accepted the connection. */
  readonly serial: number;
  readonly connection: number;
  /** Requests of its connection that had no answer when it was sent. */
  readonly requestsBefore: number;
  readonly content: contents.Content;
  readonly deadlineMs: number;
  /** Whether its caller closed the connection, for this request or another one. */
  readonly wasClosedByCaller: boolean;
  /** Whether its caller did so because this request had no answer. */
  readonly hasGivenUp: boolean;
}

/** A request as a replica received it. */
export interface RunFact {
  readonly requestId: string;
  readonly replica: string;
  readonly model: string;
  readonly behaviour: fakes.ReplicaBehaviour["type"];
  readonly hasRun: boolean;
  readonly startedAtMs: number;
  /** Absent if it still ran at the end of the play. */
  readonly endedAtMs: number | undefined;
  /** When the answer is or would be whole; infinite if the replica falls silent for good. */
  readonly dueAtMs: number;
  readonly end: "whole" | "cancelled" | "broken-off";
  /** Whether its answer has neither length nor chunks. */
  readonly endsByClose: boolean;
}

export interface SoakFacts {
  readonly seed: number;
  readonly graceMs: number;
  /** Shortest and longest share of the usual time-outs that was configured. */
  readonly timeoutFactors: readonly [number, number];
  readonly processes: readonly ProcessFact[];
  readonly disturbances: readonly DisturbanceFact[];
  readonly requests: readonly RequestFact[];
  readonly runs: readonly RunFact[];
  /** Connections on which bytes came that belong to no request. */
  readonly strayConnections: readonly string[];
  /** Longest time for which the soak's own process did not run. */
  readonly ownLagMs: number;
}
