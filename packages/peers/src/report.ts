/** The report that a process sends to its peers, and its msgpack encoding. */
import type * as decisions from "@jackdawbank/decisions";
import * as msgpackr from "msgpackr";
import * as packets from "./packet.ts";
import * as z from "zod";

/** Prompts of one process that a replica has not finished prefilling. */
export interface ReplicaLoad {
  readonly replicaKey: number;
  /** Predicted time until they are prefilled (processed up to the first token). */
  readonly pendingMs: number;
}

/** Version that a session last ran on. */
export interface SessionVersion {
  readonly service: string;
  readonly session: string;
  readonly version: string;
}

/** Answers and failures of a version under trial that one process has counted since it started. */
export interface VersionOutcomes extends decisions.RouteOutcomes {
  readonly service: string;
  /** Control-plane revision of the roll-out order that deployed the version. */
  readonly orderRevision: number;
}

/** How current a process's view of the control plane is. */
export interface ControlPlaneView {
  /** Newest revision that the process has applied. */
  readonly revision: number;
  /** Time since the revision was last known to be the newest. */
  readonly confirmedAgeMs: number;
  /** Revision of the route table that is in force at the process. */
  readonly tableRevision?: number | undefined;
}

/** One report. It is encoded as a list, so field names are not on the wire. */
export interface PeerReport {
  readonly name: string;
  /** Wall-clock time at which the sender started; distinguishes its restarts. */
  readonly startedAtMs: number;
  /** Sequence number since the sender's start, by which late datagrams are dropped. */
  readonly number: number;
  readonly view: ControlPlaneView | undefined;
  /** Replicas that are still prefilling prompts of the sender. */
  readonly loads: readonly ReplicaLoad[];
  /** Requests in flight by replica; only in full reports, since they change slowly. */
  readonly running: readonly decisions.ReplicaCount[] | undefined;
  readonly sessions: readonly SessionVersion[];
  readonly versionOutcomes: readonly VersionOutcomes[];
}

/** Fits into one packet on any common link without fragmentation. */
export const MAX_REPORT_BYTES = 1_200;
/** Limits per list, low enough for a typical report to fit into `MAX_REPORT_BYTES`. */
const MAX_LOADS = 24;
const MAX_RUNNING = 48;
const MAX_SESSIONS = 8;
const MAX_VERSION_OUTCOMES = 4;
const MAX_FAILING_REPLICAS = 16;
/** Must change with the layout below; reports of other versions are dropped. */
const FORMAT_VERSION = 4;
/** The same without the revision of the route table. */
const PREVIOUS_FORMAT_VERSION = 3;

const MAX_TEXT_CHARS = 128;
const textSchema = z.string().min(1).max(MAX_TEXT_CHARS);
const unsignedIntSchema = z.int().min(0);
/** Pairs of a replica key and a number, flattened into one list. */
const createPairsSchema = (maxPairs: number) =>
  z.array(unsignedIntSchema).max(2 * maxPairs).refine(
    (list) => list.length % 2 === 0,
    "is not a list of pairs",
  );
const layoutSchema = z.tuple([
  z.literal([FORMAT_VERSION, PREVIOUS_FORMAT_VERSION]),
  textSchema,
  unsignedIntSchema,
  unsignedIntSchema,
  z.tuple([unsignedIntSchema, unsignedIntSchema]).rest(z.int()).nullable(),
  createPairsSchema(MAX_LOADS),
  createPairsSchema(MAX_RUNNING).nullable(),
  z.array(z.tuple([textSchema, textSchema, textSchema])).max(MAX_SESSIONS),
  z.array(
    z.tuple([
      textSchema,
      unsignedIntSchema,
      textSchema,
      unsignedIntSchema,
      createPairsSchema(MAX_FAILING_REPLICAS),
    ]),
  ).max(MAX_VERSION_OUTCOMES),
]);

const packer = new msgpackr.Packr({ useRecords: false });

/** Whether receivers accept these texts; they drop a report with others as a whole. */
function areAccepted(...texts: readonly string[]): boolean {
  return texts.every((text) => text !== "" && text.length <= MAX_TEXT_CHARS);
}

/** Whether receivers accept a session in a report. */
export function isSessionAccepted(
  { service, session, version }: SessionVersion,
): boolean {
  return areAccepted(service, session, version);
}

/**
 * Moves version outcomes to the front that the previous turn's report had no room for.
 * Totals are reported, so that what was left out is made up for.
 */
export function rotateOutcomes(
  outcomes: readonly VersionOutcomes[],
  turn: number,
): readonly VersionOutcomes[] {
  if (outcomes.length <= MAX_VERSION_OUTCOMES) return outcomes;
  const first = turn * MAX_VERSION_OUTCOMES % outcomes.length;
  return [...outcomes.slice(first), ...outcomes.slice(0, first)];
}

/**
 * Cuts the lists of a report to their limits; the largest loads and counts are kept.
 * Sessions and routes that receivers would not accept are left out.
 */
export function trimReport(report: PeerReport): PeerReport {
  return {
    ...report,
    loads: report.loads.toSorted((a, b) => b.pendingMs - a.pendingMs)
      .slice(0, MAX_LOADS),
    running: report.running?.toSorted((a, b) => b.count - a.count)
      .slice(0, MAX_RUNNING),
    sessions: report.sessions.filter(isSessionAccepted).slice(0, MAX_SESSIONS),
    versionOutcomes: report.versionOutcomes.filter(({ service, route }) =>
      areAccepted(service, route)
    ).slice(0, MAX_VERSION_OUTCOMES),
  };
}

/** Encodes a report; if it is too large, with fewer sessions, or without version outcomes. */
export function encodeReport(report: PeerReport): Uint8Array {
  const trimmed = trimReport(report);
  for (let count = trimmed.sessions.length; count >= 0; count -= 1) {
    const sessions = trimmed.sessions.slice(0, count);
    const bytes = encodeLayout({ ...trimmed, sessions });
    if (bytes.byteLength <= MAX_REPORT_BYTES) return bytes;
  }
  return encodeLayout({ ...trimmed, sessions: [], versionOutcomes: [] });
}

function encodeLayout(report: PeerReport): Uint8Array {
  return packer.pack([
    FORMAT_VERSION,
    report.name,
    report.startedAtMs,
    report.number,
    report.view === undefined ? null : [
      report.view.revision,
      Math.ceil(report.view.confirmedAgeMs),
      ...(report.view.tableRevision === undefined
        ? []
        : [report.view.tableRevision]),
    ],
    report.loads.flatMap(({ replicaKey, pendingMs }) => [
      replicaKey,
      Math.round(pendingMs),
    ]),
    report.running?.flatMap(toPair) ?? null,
    report.sessions.map((item) => [item.service, item.session, item.version]),
    report.versionOutcomes.map((item) => [
      item.service,
      item.orderRevision,
      item.route,
      item.answers,
      item.failures.slice(0, MAX_FAILING_REPLICAS).flatMap(toPair),
    ]),
  ]);
}

/** Decodes and validates a report; `undefined` if the bytes are not a valid report. */
export function decodeReport(bytes: Uint8Array): PeerReport | undefined {
  const data = packets.unpackPacket(bytes, MAX_REPORT_BYTES);
  const parsed = layoutSchema.safeParse(data);
  if (!parsed.success) return undefined;
  const [
    ,
    name,
    startedAtMs,
    number,
    view,
    loads,
    running,
    sessions,
    outcomes,
  ] = parsed.data;
  return {
    name,
    startedAtMs,
    number,
    view: view === null ? undefined : {
      revision: view[0],
      confirmedAgeMs: view[1],
      ...(view[2] === undefined ? {} : { tableRevision: view[2] }),
    },
    loads: parsePairs(loads).map(([replicaKey, pendingMs]) => ({
      replicaKey,
      pendingMs,
    })),
    running: running === null ? undefined : parseReplicaCounts(running),
    sessions: sessions.map(([service, session, version]) => ({
      service,
      session,
      version,
    })),
    versionOutcomes: outcomes.map((
      [service, orderRevision, route, answers, failures],
    ) => ({
      service,
      orderRevision,
      route,
      answers,
      failures: parseReplicaCounts(failures),
    })),
  };
}

function toPair(
  { replicaKey, count }: decisions.ReplicaCount,
): readonly number[] {
  return [replicaKey, count];
}

function parseReplicaCounts(
  list: readonly number[],
): readonly decisions.ReplicaCount[] {
  return parsePairs(list).map(([replicaKey, count]) => ({ replicaKey, count }));
}

function parsePairs(list: readonly number[]): readonly [number, number][] {
  return Array.from({ length: list.length / 2 }, (_, at) => [
    list[2 * at] as number,
    list[2 * at + 1] as number,
  ]);
}
