/**
 * Plan of a roll-out that an operator ordered. In a trial during the first half, a
 * small share of new sessions uses the new version. Then all requests move to it,
 * and the roll-out is completed once requests on the old version had time to end and
 * the new one has answered.
 * A verdict against the version rolls it back at any time. All processes derive
 * the same step from the stored record. A record is only replaced if its revision
 * is unchanged, so that a late writer cannot undo a verdict.
 */

/** A roll-out ordered by an operator. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly durationMs: number;
  /** Revision of the order itself; a new revision starts another roll-out. */
  readonly revision: number;
  /** Revisions under which this process knew the same order in earlier eras of the store. */
  readonly formerRevisions?: readonly number[] | undefined;
}

export type RolloutState = "in-progress" | "completed" | "rolled-back";

/** Stored state of a service's roll-out, common to all processes. */
export interface RolloutRecord {
  readonly service: string;
  /** Revision of the record; 0 while it is not stored. */
  readonly revision: number;
  /**
   * Id of the write that stored the record, which no other write has. A restored store gives
   * out revisions again. Absent if a build without ids wrote it.
   */
  readonly writeId?: string | undefined;
  /** Revision of the order that the record belongs to. */
  readonly orderRevision: number;
  readonly targetVersion: string;
  readonly state: RolloutState;
  /** Wall-clock time at which the roll-out started. */
  readonly startedAtMs: number;
  readonly durationMs: number;
  /** Why the state was entered. */
  readonly reason: string;
  /** Versions of this service that were rolled back and not ordered again. */
  readonly bannedVersions: readonly string[];
}

/**
 * Part of the duration at which the trial starts. By then all processes know the
 * order and have told each other which sessions run on the old version.
 */
const TRIAL_START = 0.12;
/** Part of the duration at which the trial ends; until then only new sessions use the version. */
const TRIAL_END = 0.51;
/** Part of the duration at which all requests have moved to the new version. */
const SHIFT_END = 0.58;
/** Part of the duration at which the roll-out is completed. */
const COMPLETION = 0.81;
/** Part of the duration at which a version that cannot be completed is rolled back. */
const LATEST_END = 0.93;
/** Share of the allowed exposure that the trial uses. */
const TRIAL_EXPOSURE_SHARE = 0.25;

/** Returns the first record of an order. */
export function createRolloutRecord(
  order: RolloutOrder,
  previous: RolloutRecord | undefined,
  wallMs: number,
): RolloutRecord {
  return {
    service: order.service,
    revision: previous?.revision ?? 0,
    writeId: previous?.writeId,
    orderRevision: order.revision,
    targetVersion: order.targetVersion,
    state: "in-progress",
    startedAtMs: wallMs,
    durationMs: order.durationMs,
    reason: "ordered",
    bannedVersions: (previous?.bannedVersions ?? []).filter((version) =>
      version !== order.targetVersion
    ),
  };
}

/** Elapsed times above this many durations are implausible. */
const MAX_PLAUSIBLE_DURATIONS = 2;

/**
 * Estimates how long a roll-out has been in progress, for a process that finds its
 * record when it starts. Returns 0 if the wall clock gives an implausible result,
 * which happens when it was set.
 */
export function estimateElapsedMs(
  record: RolloutRecord,
  wallMs: number,
): number {
  const elapsedMs = wallMs - record.startedAtMs;
  const isPlausible = elapsedMs >= 0 &&
    elapsedMs <= MAX_PLAUSIBLE_DURATIONS * record.durationMs;
  return isPlausible ? elapsedMs : 0;
}

/** Whether all requests prefer the new version. */
export function isShifted(elapsedMs: number, durationMs: number): boolean {
  return elapsedMs >= SHIFT_END * durationMs;
}

/** Whether new sessions with this fraction use the new version during the trial. */
export function isTrialSession(
  fraction: number,
  exposureShare: number,
): boolean {
  return fraction < exposureShare * TRIAL_EXPOSURE_SHARE;
}

/** Returns the record that should replace the current one now, if any. */
export function advanceRollout(
  order: RolloutOrder | undefined,
  current: RolloutRecord | undefined,
  evidence: {
    /** Why the version should be rolled back, if it should. */
    readonly verdict: string | undefined;
    /** Whether the version has shown that it can take over. */
    readonly isProven: boolean;
    /** Monotonic time since the order, as far as this process knows. */
    readonly elapsedMs: number;
    readonly wallMs: number;
  },
): RolloutRecord | undefined {
  if (order === undefined) return undefined;
  if (current === undefined || current.orderRevision < order.revision) {
    return createRolloutRecord(
      order,
      current,
      evidence.wallMs - evidence.elapsedMs,
    );
  }
  if (
    current.orderRevision > order.revision || current.state !== "in-progress"
  ) {
    return undefined;
  }
  if (evidence.verdict !== undefined) {
    return rollBack(current, evidence.verdict);
  }
  const progress = evidence.elapsedMs / current.durationMs;
  if (progress >= COMPLETION && evidence.isProven) {
    return { ...current, state: "completed", reason: "no verdict against it" };
  }
  return progress >= LATEST_END
    ? rollBack(current, "it has no replicas or has answered nothing")
    : undefined;
}

function rollBack(record: RolloutRecord, reason: string): RolloutRecord {
  return {
    ...record,
    state: "rolled-back",
    reason,
    bannedVersions: [...record.bannedVersions, record.targetVersion],
  };
}

/** Version that a session runs on; `undefined` for a new or unknown session. */
export type SessionVersion = "old" | "new" | undefined;

/** State that the version of one request depends on. */
export interface VersionPreferenceInput {
  readonly order: RolloutOrder | undefined;
  readonly record: RolloutRecord | undefined;
  readonly session: SessionVersion;
  /** Hash of the session as a fraction in [0, 1). */
  readonly fraction: number;
  /** Monotonic time since the order, as far as this process knows. */
  readonly elapsedMs: number;
  /** Largest share of sessions that may use an unproven version. */
  readonly exposureShare: number;
  /** Whether this process has a verdict against the version that is not on record yet. */
  readonly isStoppedLocally: boolean;
}

/** Which versions a request may use, and which of them it should use if one is available. */
export interface VersionPreference {
  /** Version that is being rolled out. */
  readonly target: string | undefined;
  /** Whether the target is preferred to the other versions, or the others to the target. */
  readonly prefersTarget: boolean;
  readonly banned: readonly string[];
}

const ANY_VERSION: VersionPreference = {
  target: undefined,
  prefersTarget: false,
  banned: [],
};

/** Chooses the preferred version for one request. */
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
  return { target, prefersTarget: shouldPreferTarget(record, input), banned };
}

function shouldPreferTarget(
  record: RolloutRecord,
  input: VersionPreferenceInput,
): boolean {
  const progress = input.elapsedMs / record.durationMs;
  if (input.session === "new") return true;
  if (isShifted(input.elapsedMs, record.durationMs)) return true;
  if (progress < TRIAL_END) {
    return progress >= TRIAL_START && input.session === undefined &&
      isTrialSession(input.fraction, input.exposureShare);
  }
  const trialShare = input.exposureShare * TRIAL_EXPOSURE_SHARE;
  // Sessions move gradually, which limits the load that reaches the new version at once.
  const ramp = (progress - TRIAL_END) / (SHIFT_END - TRIAL_END);
  return input.fraction < trialShare + (1 - trialShare) * ramp;
}
