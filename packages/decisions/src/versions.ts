/**
 * Chooses the version that serves a session. The choice depends only on the
 * session, the roll-out step in force when it was created and the account's grant,
 * so it is the same on every process. Only a withdrawal overrides it.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as access from "./access.ts";
import * as hash from "./hash.ts";

/** A session as its token carries it. */
export interface SessionPin {
  readonly sessionId: string;
  /** Revision of the bundle in force when the session was created. */
  readonly birthRevision: number;
  /** `model@version` names excluded for this session when it was created. */
  readonly excluded: readonly string[];
}

export interface VersionChoice {
  readonly version: string;
  /** The withdrawn version that the session would otherwise use. */
  readonly movedFrom: string | undefined;
}

/** Returns `model@version`. */
export function formatVersionName(model: string, version: string): string {
  return `${model}@${version}`;
}

/** Returns the roll-out step that applies to a session created at a revision. */
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
  let remaining = fraction * total;
  for (const [version, share] of shares) {
    if (remaining < share) return version;
    remaining -= share;
  }
  return shares.at(-1)?.[0];
}

function listAllowedShares(
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

/** Follows the successors of a withdrawn version to the first that is not withdrawn. */
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

/** Chooses the version of a session; `undefined` if there is none that it may use. */
export function chooseVersion(
  model: bundle.Model,
  grant: bundle.ModelGrant,
  pin: SessionPin,
): VersionChoice | undefined {
  const fraction = hash.hashFraction(`${model.name}\u0000${pin.sessionId}`);
  const drawn = drawVersion(listAllowedShares(model, grant, pin), fraction) ??
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

/**
 * Lists the versions to exclude for new sessions: rolling versions that a guard has
 * stopped, and all rolling versions while the configuration is stale.
 */
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
