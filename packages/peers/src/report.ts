/** The report that a process sends to its peers, and its encoding. */
import type * as decisions from "@jackdawbank/decisions";
import * as msgpackr from "msgpackr";
import * as z from "zod";

/** Prompts of one process that a replica has still to read. */
export interface ReplicaLoad {
  readonly replicaKey: number;
  /** Time that reading its prompts is still expected to take. */
  readonly pendingMs: number;
}

/** The version that a session last ran on. */
export interface SessionVersion {
  readonly service: string;
  readonly session: string;
  readonly version: string;
}

/** What one process saw of a version under trial, since its start. */
export interface VersionOutcomes extends decisions.RouteEvidence {
  readonly service: string;
  /** Revision of the order that brought the version. */
  readonly orderRevision: number;
}

/** How current a process's view of the control plane is. */
export interface ControlPlaneView {
  /** Newest revision that it has taken. */
  readonly revision: number;
  /** Age of the last moment at which that was surely the newest there is. */
  readonly confirmedAgeMs: number;
}

/** All that a process tells. */
export interface PeerReport {
  readonly name: string;
  /** Time of day at which the sender started: tells its lives apart. */
  readonly startedAtMs: number;
  /** Counts up within one life; late datagrams are dropped by it. */
  readonly sequence: number;
  /** How current the sender's view of the control plane is. */
  readonly view: ControlPlaneView | undefined;
  /** Replicas with prompts to read. */
  readonly loads: readonly ReplicaLoad[];
  /** Requests at all replicas; only in some reports, since they change slowly. */
  readonly running: readonly decisions.ReplicaCount[] | undefined;
  readonly sessions: readonly SessionVersion[];
  readonly versionOutcomes: readonly VersionOutcomes[];
}

/** Fits one packet on any link. */
export const MAX_REPORT_BYTES = 1_200;
/** Entries of each kind that fit with room to spare. */
const MAX_LOADS = 24;
const MAX_RUNNING = 48;
const MAX_SESSIONS = 8;
const MAX_COUNTS = 4;
const MAX_FAILING = 16;
/** Changes with the layout below; others are dropped. */
const FORMAT = 3;

const textSchema = z.string().min(1).max(128);
const countSchema = z.int().min(0);
/** Pairs of a replica's key and a number, in one flat list. */
const pairsSchema = (most: number) =>
  z.array(countSchema).max(2 * most).refine(
    (list) => list.length % 2 === 0,
    "is not a list of pairs",
  );
const layoutSchema = z.tuple([
  z.literal(FORMAT),
  textSchema,
  countSchema,
  countSchema,
  z.tuple([countSchema, countSchema]).nullable(),
  pairsSchema(MAX_LOADS),
  pairsSchema(MAX_RUNNING).nullable(),
  z.array(z.tuple([textSchema, textSchema, textSchema])).max(MAX_SESSIONS),
  z.array(
    z.tuple([
      textSchema,
      countSchema,
      textSchema,
      countSchema,
      pairsSchema(MAX_FAILING),
    ]),
  ).max(MAX_COUNTS),
]);

const packer = new msgpackr.Packr({ useRecords: false });

/** The parts of a report that fit; the largest loads go first. */
export function trimReport(report: PeerReport): PeerReport {
  return {
    ...report,
    loads: report.loads.toSorted((a, b) => b.pendingMs - a.pendingMs)
      .slice(0, MAX_LOADS),
    running: report.running?.toSorted((a, b) => b.count - a.count)
      .slice(0, MAX_RUNNING),
    sessions: report.sessions.slice(0, MAX_SESSIONS),
    versionOutcomes: report.versionOutcomes.slice(0, MAX_COUNTS),
  };
}

/** Encodes a report; one that is too large loses its sessions and counts. */
export function encodeReport(report: PeerReport): Uint8Array {
  const trimmed = trimReport(report);
  const bytes = pack(trimmed);
  return bytes.byteLength <= MAX_REPORT_BYTES
    ? bytes
    : pack({ ...trimmed, sessions: [], versionOutcomes: [] });
}

function pack(report: PeerReport): Uint8Array {
  return packer.pack([
    FORMAT,
    report.name,
    report.startedAtMs,
    report.sequence,
    report.view === undefined
      ? null
      : [report.view.revision, Math.ceil(report.view.confirmedAgeMs)],
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
      item.failures.slice(0, MAX_FAILING).flatMap(toPair),
    ]),
  ]);
}

/** Decodes and checks a report; `undefined` when it is none. */
export function decodeReport(bytes: Uint8Array): PeerReport | undefined {
  if (bytes.byteLength > MAX_REPORT_BYTES) return undefined;
  let data: unknown;
  try {
    data = packer.unpack(bytes);
  } catch {
    // Bytes of another sender; the caller counts them.
    return undefined;
  }
  const parsed = layoutSchema.safeParse(data);
  if (!parsed.success) return undefined;
  const [, name, startedAtMs, number, view, loads, running, sessions, counts] =
    parsed.data;
  return {
    name,
    startedAtMs,
    sequence: number,
    view: view === null
      ? undefined
      : { revision: view[0], confirmedAgeMs: view[1] },
    loads: readPairs(loads).map(([replicaKey, pendingMs]) => ({
      replicaKey,
      pendingMs,
    })),
    running: running === null ? undefined : readCounts(running),
    sessions: sessions.map(([service, session, version]) => ({
      service,
      session,
      version,
    })),
    versionOutcomes: counts.map((
      [service, orderRevision, route, answers, failures],
    ) => ({
      service,
      orderRevision,
      route,
      answers,
      failures: readCounts(failures),
    })),
  };
}

function toPair(
  { replicaKey, count }: decisions.ReplicaCount,
): readonly number[] {
  return [replicaKey, count];
}

function readCounts(
  list: readonly number[],
): readonly decisions.ReplicaCount[] {
  return readPairs(list).map(([replicaKey, count]) => ({ replicaKey, count }));
}

function readPairs(list: readonly number[]): readonly [number, number][] {
  return Array.from({ length: list.length / 2 }, (_, at) => [
    list[2 * at] as number,
    list[2 * at + 1] as number,
  ]);
}
