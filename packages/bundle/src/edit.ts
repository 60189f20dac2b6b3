/** Builds the next bundle from the active one, and compares bundles. */
import * as kernel from "@jackdawbank/kernel";
import microdiff from "microdiff";
import * as neverthrow from "neverthrow";
import type { Bundle } from "./schema.ts";
import type { VerifiedBundle } from "./sign.ts";

export interface VersionRef {
  readonly model: string;
  readonly version: string;
}

/** A field that differs between two bundles. */
export interface BundleChange {
  readonly kind: "CREATE" | "REMOVE" | "CHANGE";
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Creates the first bundle of a deployment, with a comment on what to fill in. */
export function createInitialBundle(): Bundle {
  return {
    format: 1,
    revision: 1,
    baseRevision: 0,
    comment:
      "Fill in models, services and accounts; then check, sign and roll.",
    limits: {
      maxBodyBytes: 1_048_576,
      defaultDeadlineMs: 60_000,
      freshnessBoundMs: 15_000,
      retryRatio: 0.1,
    },
    policy: { costWeight: 0.5, latencyWeight: 0.5, qualityTarget: 0.9 },
    models: [],
    cascades: [],
    services: [],
    accounts: [],
  };
}

/** Creates the bundle that replaces the active one, with the same content. */
export function createNextBundle(current: VerifiedBundle): Bundle {
  return {
    ...current.bundle,
    revision: current.bundle.revision + 1,
    baseRevision: current.bundle.revision,
    baseDigest: current.digest,
  };
}

/**
 * Marks a version as withdrawn and moves its share of new sessions to its
 * successor: the given one, or else the first other serving version. Versions
 * whose successor it was get the new successor as well.
 */
export function withdrawVersion(
  bundle: Bundle,
  target: VersionRef,
  successor: string | undefined,
): kernel.Outcome<Bundle> {
  const model = bundle.models.find((other) => other.name === target.model);
  if (model === undefined) {
    return kernel.fail("unknown-model", `unknown model '${target.model}'`);
  }
  if (!model.versions.some((version) => version.version === target.version)) {
    return kernel.fail(
      "unknown-model",
      `model '${target.model}' has no version '${target.version}'`,
    );
  }
  const chosenSuccessor = successor ??
    model.versions.find((other) =>
      other.state === "serving" && other.version !== target.version
    )
      ?.version;
  if (chosenSuccessor === undefined) {
    return kernel.fail(
      "bundle-invalid",
      "the model has no other serving version that could be the successor",
    );
  }
  const versions = model.versions.map((version) =>
    version.version === target.version
      ? {
        version: version.version,
        state: "withdrawn" as const,
        successor: chosenSuccessor,
      }
      : version.successor === target.version
      ? { ...version, successor: chosenSuccessor }
      : version
  );
  const step = {
    sinceRevision: bundle.revision,
    sharesPercent: moveShare(
      model.rollout.at(-1)?.sharesPercent ?? {},
      target.version,
      chosenSuccessor,
    ),
  };
  const earlierSteps = model.rollout.filter((other) =>
    other.sinceRevision < bundle.revision
  );
  const next = { ...model, versions, rollout: [...earlierSteps, step] };
  return neverthrow.ok({
    ...bundle,
    models: bundle.models.map((other) => other === model ? next : other),
  });
}

function moveShare(
  shares: Readonly<Record<string, number>>,
  from: string,
  to: string,
): Readonly<Record<string, number>> {
  const { [from]: moved = 0, ...kept } = shares;
  return { ...kept, [to]: (kept[to] ?? 0) + moved };
}

export function diffBundles(
  before: Bundle,
  after: Bundle,
): readonly BundleChange[] {
  return microdiff(before, after).map((change) => ({
    kind: change.type,
    path: change.path.join("."),
    before: "oldValue" in change ? change.oldValue : undefined,
    after: "value" in change ? change.value : undefined,
  }));
}
