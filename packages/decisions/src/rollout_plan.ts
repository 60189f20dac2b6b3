/**
 * The steps of a roll-out that an operator ordered. A small share of new
 * sessions tries the new version through the first half; then all requests
 * move, and the order is completed once the old version's runs had time to
 * end. A verdict against the version ends it at any step. Each process works
 * out the same step from the same record, and a record is only replaced on
 * condition of its revision, so that a late writer cannot undo a verdict.
 */

/** What an operator ordered. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** Revision of the order itself: a new one is another roll-out. */
  readonly revision: number;
}

export type RolloutState = "in-progress" | "completed" | "rolled-back";

/** What the fleet decided so far. */
export interface RolloutRecord {
  readonly service: string;
  /** Revision of the record; 0 while it is not stored. */
  readonly revision: number;
  readonly orderRevision: number;
  readonly targetVersion: string;
  readonly state: RolloutState;
  /** Time of day at the first record. */
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly reason: string;
  /** Versions of this service that were rolled back. */
  readonly bannedVersions: readonly string[];
}

/**
 * Part of the duration after which the trial begins: by then all processes know
 * the order, and have told each other which sessions run on the old version.
 */
const TRIAL_FROM = 0.12;
/** Part of the duration through which only new sessions try the version. */
const TRIAL_UNTIL = 0.51;
/** Part of the duration at which every request has moved. */
const MOVED_AT = 0.58;
/** Part of the duration at which the old version is given up. */
const COMPLETED_AT = 0.81;
/** Share of the exposure bound that the trial uses. */
const TRIAL_EXPOSURE = 0.25;

/** The first record of an order. */
export function createRolloutRecord(
  order: RolloutOrder,
  held: RolloutRecord | undefined,
  wallMs: number,
): RolloutRecord {
  return {
    service: order.service,
    revision: held?.revision ?? 0,
    orderRevision: order.revision,
    targetVersion: order.targetVersion,
    state: "in-progress",
    startedAtMs: wallMs,
    durationMs: order.durationMs,
    reason: "ordered",
    bannedVersions: (held?.bannedVersions ?? []).filter((version) =>
      version !== order.targetVersion
    ),
  };
}

/** A record may be taken up again this many durations after its start. */
const MAX_RESUMED_DURATIONS = 2;

/**
 * How long a roll-out has been under way, for a process that finds it on
 * record. A time of day that jumped makes no sense here and counts as no time.
 */
export function estimateElapsedMs(
  record: RolloutRecord,
  wallMs: number,
): number {
  const elapsedMs = wallMs - record.startedAtMs;
  const isLikely = elapsedMs >= 0 &&
    elapsedMs <= MAX_RESUMED_DURATIONS * record.durationMs;
  return isLikely ? elapsedMs : 0;
}

/** Whether new sessions with this fraction try the version in the first half. */
export function isTrialSession(
  fraction: number,
  exposureShare: number,
): boolean {
  return fraction < exposureShare * TRIAL_EXPOSURE;
}

/** The record that should replace the held one now, if any. */
export function advanceRollout(
  order: RolloutOrder | undefined,
  held: RolloutRecord | undefined,
  evidence: {
    readonly verdict: string | undefined;
    /** Steady time since the order, as far as this process knows. */
    readonly elapsedMs: number;
    readonly wallMs: number;
  },
): RolloutRecord | undefined {
  if (order === undefined) return undefined;
  if (held === undefined || held.orderRevision < order.revision) {
    return createRolloutRecord(
      order,
      held,
      evidence.wallMs - evidence.elapsedMs,
    );
  }
  if (held.orderRevision > order.revision || held.state !== "in-progress") {
    return undefined;
  }
  if (evidence.verdict !== undefined) {
    return {
      ...held,
      state: "rolled-back",
      reason: evidence.verdict,
      bannedVersions: [...held.bannedVersions, held.targetVersion],
    };
  }
  if (evidence.elapsedMs >= COMPLETED_AT * held.durationMs) {
    return { ...held, state: "completed", reason: "no verdict against it" };
  }
  return undefined;
}

/** A session's version where it is known. */
export type SessionVersion = "old" | "new" | undefined;

/** What decides the version of one request. */
export interface VersionPreferenceInput {
  readonly order: RolloutOrder | undefined;
  readonly record: RolloutRecord | undefined;
  readonly session: SessionVersion;
  /** Stable fraction of the session in [0, 1). */
  readonly fraction: number;
  /** Steady time since the order, as far as this process knows. */
  readonly elapsedMs: number;
  readonly exposureShare: number;
  /** This process has seen enough to stop the version itself. */
  readonly isStoppedLocally: boolean;
}

/** Which versions a request may use: those named first, the others if none is left. */
export interface VersionPreference {
  readonly target: string | undefined;
  readonly prefersTarget: boolean;
  readonly banned: readonly string[];
}

const ANY_VERSION: VersionPreference = {
  target: undefined,
  prefersTarget: false,
  banned: [],
};

/** Chooses the side of a roll-out for one request. */
export function chooseVersionPreference(
  input: VersionPreferenceInput,
): VersionPreference {
  const { order, record } = input;
  if (order === undefined) {
    return record === undefined
      ? ANY_VERSION
      : { ...ANY_VERSION, banned: record.bannedVersions };
  }
  const target = order.targetVersion;
  if (record === undefined || record.orderRevision < order.revision) {
    const banned = record?.bannedVersions ?? [];
    return { target, prefersTarget: false, banned };
  }
  const banned = record.bannedVersions;
  if (record.state === "rolled-back" || input.isStoppedLocally) {
    return {
      target,
      prefersTarget: false,
      banned: banned.includes(target) ? banned : [...banned, target],
    };
  }
  if (record.state === "completed") {
    return { target, prefersTarget: true, banned };
  }
  return { target, prefersTarget: isMoved(record, input), banned };
}

function isMoved(
  record: RolloutRecord,
  input: VersionPreferenceInput,
): boolean {
  const progress = input.elapsedMs / record.durationMs;
  if (input.session === "new") return true;
  if (progress >= MOVED_AT) return true;
  if (progress < TRIAL_UNTIL) {
    return progress >= TRIAL_FROM && input.session === undefined &&
      isTrialSession(input.fraction, input.exposureShare);
  }
  const trial = input.exposureShare * TRIAL_EXPOSURE;
  // A ramp bounds the load that a version meets at once.
  const ramp = (progress - TRIAL_UNTIL) / (MOVED_AT - TRIAL_UNTIL);
  return input.fraction < trial + (1 - trial) * ramp;
}
