/**
 * Finds what replicas crash on: parts of prompts, or whole requests. A crash ends every request at
 * its replica, so a count of crashes alone would blame parts that many requests
 * share. A part is blamed only for crashes that came before its answer began, at
 * several replicas, and since its last answer that did begin; recent answers raise
 * the number of crashes that it takes. Evidence of several processes is pooled.
 */
import * as bounded from "./bounded_map.ts";

/** A crash that a request with the part may have caused. */
export interface BlamedCrash {
  /** Hash of the ID of the replica that crashed. */
  readonly replicaKey: number;
  readonly atMs: number;
  /** The head of the response had arrived, so the answer was about to begin. */
  readonly hadHead: boolean;
}

/** What one process knows of a part. Times are monotonic times of the reader. */
export interface CrashEvidence {
  readonly crashes: readonly BlamedCrash[];
  /** Decayed number of answers that began. */
  readonly begun: number;
  readonly lastBegunAtMs: number;
}

/** What suffices to blame something that has no recent answers. */
export interface BlameLimits {
  /** Crashes since the last answer that began. */
  readonly crashes: number;
  /** Number of them that must have come between the head and the first event. */
  readonly crashesAfterHead: number;
  /** Crashes that suffice if no head arrived before them, as when responses are held back. */
  readonly crashesWithoutHead: number;
}

/** Limits for parts of prompts, which many sound requests share. */
export const PART_LIMITS: BlameLimits = {
  crashes: 3,
  crashesAfterHead: 2,
  crashesWithoutHead: 5,
};
/** Limits for whole requests, which have no answer at all if replicas crash on them. */
export const REQUEST_LIMITS: BlameLimits = {
  crashes: 3,
  crashesAfterHead: 0,
  crashesWithoutHead: 3,
};
/** Reports of one replica's crash by several processes, or requests, lie within this time. */
const SAME_CRASH_MS = 1_500;
/** Time constant of the decay of answers that began. */
const DECAY_MS = 4_000;
/** Older crashes are forgotten. */
const CRASH_TTL_MS = 60_000;
const MAX_CRASHES = 16;
const MAX_EXPLAINED = 256;
/** Bounds the memory for parts, which callers choose. */
const MAX_PARTS = 8_192;
const MAX_PEERS = 4_096;

const NO_EVIDENCE: CrashEvidence = {
  crashes: [],
  begun: 0,
  lastBegunAtMs: -Infinity,
};

interface PartRecord {
  crashes: readonly BlamedCrash[];
  begun: number;
  lastBegunAtMs: number;
}

function decay(count: number, ageMs: number): number {
  return count * Math.exp(-Math.max(0, ageMs) / DECAY_MS);
}

function isSameCrash(a: BlamedCrash, b: BlamedCrash): boolean {
  return a.replicaKey === b.replicaKey &&
    Math.abs(a.atMs - b.atMs) <= SAME_CRASH_MS;
}

/** Merges records of the same crash; the earliest time of each is kept. */
function mergeCrashes(
  crashes: readonly BlamedCrash[],
): readonly BlamedCrash[] {
  const merged: BlamedCrash[] = [];
  for (const crash of crashes.toSorted((a, b) => a.atMs - b.atMs)) {
    const index = merged.findLastIndex((other) => isSameCrash(crash, other));
    const same = merged[index];
    if (same !== undefined) {
      merged[index] = { ...same, hadHead: same.hadHead || crash.hadHead };
    } else merged.push(crash);
  }
  return merged;
}

/** Whether pooled evidence shows that replicas crash on something. */
function isDeadly(
  evidence: readonly CrashEvidence[],
  nowMs: number,
  { limits, isExplained }: {
    readonly limits: BlameLimits;
    readonly isExplained: (crash: BlamedCrash) => boolean;
  },
): boolean {
  const lastBegunAtMs = Math.max(
    ...evidence.map((each) => each.lastBegunAtMs),
  );
  const crashes = mergeCrashes(evidence.flatMap((each) => each.crashes))
    .filter(({ atMs }) => atMs > lastBegunAtMs && nowMs - atMs <= CRASH_TTL_MS);
  const begun = evidence.reduce((sum, each) => sum + each.begun, 0);
  const afterHead = crashes.filter(({ hadHead }) => hadHead).length;
  const needed = afterHead >= limits.crashesAfterHead
    ? limits.crashes
    : limits.crashesWithoutHead;
  return crashes.length >= needed + begun && !crashes.every(isExplained);
}

/** Evidence of one process, with what its peers told it. */
export class CrashBlame {
  readonly #limits: BlameLimits;
  /** Least recently used first. */
  readonly #records = new Map<string, PartRecord>();
  readonly #peerEvidence = new Map<string, Map<string, CrashEvidence>>();
  /** Crashes of condemned parts; they alone do not condemn the parts beside them. */
  #explained: readonly BlamedCrash[] = [];

  constructor(limits: BlameLimits = PART_LIMITS) {
    this.#limits = limits;
  }

  /** Records that the answer to a prompt with these shared parts began. */
  recordBegun(partIds: readonly string[], nowMs: number): void {
    for (const id of partIds) {
      const record = this.#touch(id);
      record.begun = decay(record.begun, nowMs - record.lastBegunAtMs) + 1;
      record.lastBegunAtMs = nowMs;
    }
  }

  /**
   * Records that a replica broke off a request before its answer began. Returns the
   * part on which replicas crash, if that is known now.
   */
  recordCrash(
    partIds: readonly string[],
    crash: BlamedCrash,
  ): string | undefined {
    for (const id of partIds) {
      const record = this.#touch(id);
      record.crashes = mergeCrashes([...record.crashes, crash])
        .slice(-MAX_CRASHES);
    }
    return this.findDeadly(partIds, crash.atMs);
  }

  /** The most specific of a prompt's shared parts on which replicas crash. */
  findDeadly(partIds: readonly string[], nowMs: number): string | undefined {
    const isExplained = (crash: BlamedCrash) =>
      this.#explained.some((other) => isSameCrash(crash, other));
    return partIds.findLast((id) =>
      isDeadly(this.#pool(id, nowMs), nowMs, {
        limits: this.#limits,
        isExplained,
      })
    );
  }

  /** Records that a part is condemned; its crashes, so far as they are known, are explained. */
  condemn(partId: string, nowMs: number): void {
    this.explain(this.listCrashes(partId, nowMs));
  }

  /**
   * Records crashes whose cause is known: they alone do not condemn anything else.
   * Called again when more of them become known.
   */
  explain(crashes: readonly BlamedCrash[]): void {
    this.#explained = mergeCrashes([...this.#explained, ...crashes])
      .slice(-MAX_EXPLAINED);
  }

  /** The crashes of something that are known here or from peers. */
  listCrashes(id: string, nowMs: number): readonly BlamedCrash[] {
    return this.#pool(id, nowMs).flatMap((each) => each.crashes);
  }

  /** Replaces what a peer knows of a part. */
  recordPeer(peer: string, partId: string, evidence: CrashEvidence): void {
    const byPeer = this.#peerEvidence.get(partId) ?? new Map();
    if (byPeer.size >= MAX_PEERS && !byPeer.has(peer)) return;
    byPeer.set(peer, evidence);
    this.#peerEvidence.delete(partId);
    this.#peerEvidence.set(partId, byPeer);
    bounded.trimOldest(this.#peerEvidence, MAX_PARTS);
  }

  /** What this process itself knows of a part. */
  readOwn(partId: string, nowMs: number): CrashEvidence {
    const record = this.#records.get(partId);
    return record === undefined ? NO_EVIDENCE : {
      crashes: record.crashes.filter(({ atMs }) =>
        nowMs - atMs <= CRASH_TTL_MS
      ),
      begun: decay(record.begun, nowMs - record.lastBegunAtMs),
      lastBegunAtMs: record.lastBegunAtMs,
    };
  }

  #pool(partId: string, nowMs: number): readonly CrashEvidence[] {
    const peers = [...this.#peerEvidence.get(partId)?.values() ?? []].map((
      each,
    ) => ({ ...each, begun: decay(each.begun, nowMs - each.lastBegunAtMs) }));
    return [this.readOwn(partId, nowMs), ...peers];
  }

  #touch(partId: string): PartRecord {
    const record = this.#records.get(partId) ?? { ...NO_EVIDENCE };
    this.#records.delete(partId);
    this.#records.set(partId, record);
    bounded.trimOldest(this.#records, MAX_PARTS);
    return record;
  }
}
