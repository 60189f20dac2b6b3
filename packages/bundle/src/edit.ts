/** Builds the next bundle from the one in force. */
import * as kernel from "@jackdawbank/kernel";
import microdiff from "microdiff";
import * as neverthrow from "neverthrow";
import type { Bundle } from "./schema.ts";
import type { VerifiedBundle } from "./sign.ts";

/** Names a version of a model. */
export interface VersionRef {
  readonly model: string;
  readonly version: string;
}

/** One changed field. */
export interface BundleChange {
  readonly kind: "CREATE" | "REMOVE" | "CHANGE";
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** The first bundle of a deployment, with a comment on what to fill in. */
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

/** A copy of the bundle in force that replaces it when rolled. */
export function createNextBundle(current: VerifiedBundle): Bundle {
  return {
    ...current.bundle,
    revision: current.bundle.revision + 1,
    baseRevision: current.bundle.revision,
    baseDigest: current.digest,
  };
}

/** Marks a version withdrawn and takes it out of the shares of new sessions. */
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
  const heir = successor ??
    model.versions.find((other) =>
      other.state === "serving" && other.version !== target.version
    )
      ?.version;
  if (heir === undefined) {
    return kernel.fail(
      "bundle-invalid",
      "no serving version is left to succeed it",
    );
  }
  const versions = model.versions.map((version) =>
    version.version === target.version
      ? {
        version: version.version,
        state: "withdrawn" as const,
        successor: heir,
      }
      : version.successor === target.version
      ? { ...version, successor: heir }
      : version
  );
  const step = {
    sinceRevision: bundle.revision,
    sharesPercent: moveShare(
      model.rollout.at(-1)?.sharesPercent ?? {},
      target.version,
      heir,
    ),
  };
  const earlier = model.rollout.filter((other) =>
    other.sinceRevision < bundle.revision
  );
  const next = { ...model, versions, rollout: [...earlier, step] };
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

/** Lists the fields that differ. */
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
