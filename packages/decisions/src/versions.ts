/**
 * The version that serves a session: a function of the session, the roll-out
 * step in force at its birth and the account's grant, the same on every
 * process. Only withdrawal goes before it.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as access from "./access.ts";
import * as hash from "./hash.ts";

/** A session as its token carries it. */
export interface SessionPin {
  readonly sessionId: string;
  readonly birthRevision: number;
  /** `model@version` that this session was kept away from at its birth. */
  readonly excluded: readonly string[];
}

/** The chosen version, and the withdrawn one that the session had to leave. */
export interface VersionChoice {
  readonly version: string;
  readonly movedFrom: string | undefined;
}

/** Names a version in a session's exclusions. */
export function formatVersionName(model: string, version: string): string {
  return `${model}@${version}`;
}

/** The roll-out step that a session born at a revision belongs to. */
export function findRolloutStep(
  model: bundle.Model,
  birthRevision: number,
): bundle.RolloutStep {
  const step = model.rollout.findLast((other) =>
    other.sinceRevision <= birthRevision
  );
  return step ?? model.rollout[0] as bundle.RolloutStep;
}

function drawVersion(
  shares: readonly (readonly [string, number])[],
  fraction: number,
): string | undefined {
  const total = shares.reduce((sum, [, share]) => sum + share, 0);
  let rest = fraction * total;
  for (const [version, share] of shares) {
    if (rest < share) return version;
    rest -= share;
  }
  return shares.at(-1)?.[0];
}

function listShares(
  model: bundle.Model,
  grant: bundle.ModelGrant,
  pin: SessionPin,
): readonly (readonly [string, number])[] {
  const step = findRolloutStep(model, pin.birthRevision);
  return Object.entries(step.sharesPercent)
    .filter(([version, share]) =>
      share > 0 && access.isVersionGranted(grant, version)
    )
    .filter(([version]) =>
      !pin.excluded.includes(formatVersionName(model.name, version))
    )
    .toSorted(([a], [b]) => a.localeCompare(b));
}

/** Follows successors from a withdrawn version to one that serves. */
export function followSuccessors(
  model: bundle.Model,
  version: string,
): string | undefined {
  let current = version;
  for (let hops = 0; hops <= model.versions.length; hops += 1) {
    const entry = model.versions.find((other) => other.version === current);
    if (entry === undefined) return undefined;
    if (entry.state !== "withdrawn") return current;
    if (entry.successor === undefined) return undefined;
    current = entry.successor;
  }
  return undefined;
}

/** Chooses the version of a session; `undefined` when none is left that it may use. */
export function chooseVersion(
  model: bundle.Model,
  grant: bundle.ModelGrant,
  pin: SessionPin,
): VersionChoice | undefined {
  const fraction = hash.hashFraction(`${model.name}\u0000${pin.sessionId}`);
  const drawn = drawVersion(listShares(model, grant, pin), fraction) ??
    findFallback(model, grant);
  if (drawn === undefined) return undefined;
  const version = followSuccessors(model, drawn) ?? findFallback(model, grant);
  if (version === undefined || !access.isVersionGranted(grant, version)) {
    return undefined;
  }
  return { version, movedFrom: version === drawn ? undefined : drawn };
}

function findFallback(
  model: bundle.Model,
  grant: bundle.ModelGrant,
): string | undefined {
  return model.versions.find((version) =>
    version.state === "serving" &&
    access.isVersionGranted(grant, version.version)
  )?.version;
}

/** Versions that new sessions have to be kept away from. */
export function listExclusions(
  bundleContent: bundle.Bundle,
  options: { readonly isStale: boolean; readonly stopped: ReadonlySet<string> },
): readonly string[] {
  return bundleContent.models.flatMap((model) =>
    model.versions
      .filter((version) => version.state === "rolling")
      .map((version) => formatVersionName(model.name, version.version))
      .filter((name) => options.isStale || options.stopped.has(name))
  );
}
