/** Checks of a bundle that the schema alone cannot make: names that refer to others. */
import type { Bundle, Model } from "./schema.ts";

/** One fault: the path to the field and the reason. */
export interface ValidationIssue {
  readonly path: readonly (string | number)[];
  readonly reason: string;
}

const PERCENT_TOTAL = 100;
const PERCENT_TOLERANCE = 0.001;

function findRepeated(names: readonly string[]): readonly number[] {
  return names.flatMap((name, index) =>
    names.indexOf(name) === index ? [] : [index]
  );
}

function checkUnique(
  path: string,
  field: string,
  names: readonly string[],
): readonly ValidationIssue[] {
  return findRepeated(names).map((index) => ({
    path: [path, index, field],
    reason: `'${names[index]}' is named twice`,
  }));
}

function checkSuccessors(model: Model, at: number): readonly ValidationIssue[] {
  return model.versions.flatMap((version, index) => {
    const path = ["models", at, "versions", index, "successor"];
    if (version.state !== "withdrawn") {
      if (version.successor === undefined) return [];
      return [{ path, reason: "only a withdrawn version has a successor" }];
    }
    if (version.successor === undefined) return [];
    const successor = model.versions.find((other) =>
      other.version === version.successor
    );
    if (successor === undefined) {
      return [{ path, reason: `unknown version '${version.successor}'` }];
    }
    if (successor.state === "withdrawn") {
      return [{
        path,
        reason: `successor '${version.successor}' is withdrawn itself`,
      }];
    }
    return [];
  });
}

function checkShares(model: Model, at: number): readonly ValidationIssue[] {
  const known = new Set(model.versions.map((version) => version.version));
  return model.rollout.flatMap((step, index) => {
    const path = ["models", at, "rollout", index, "sharesPercent"];
    const faults: ValidationIssue[] = Object.keys(step.sharesPercent)
      .filter((name) => !known.has(name))
      .map((name) => ({
        path: [...path, name],
        reason: `unknown version '${name}'`,
      }));
    const total = Object.values(step.sharesPercent).reduce(
      (sum, share) => sum + share,
      0,
    );
    if (Math.abs(total - PERCENT_TOTAL) > PERCENT_TOLERANCE) {
      faults.push({
        path,
        reason: `shares sum to ${total}, not to ${PERCENT_TOTAL}`,
      });
    }
    return faults;
  });
}

function checkStepOrder(
  model: Model,
  at: number,
  revision: number,
): readonly ValidationIssue[] {
  return model.rollout.flatMap((step, index) => {
    const path = ["models", at, "rollout", index, "sinceRevision"];
    if (step.sinceRevision > revision) {
      return [{
        path,
        reason: `is after the bundle's own revision ${revision}`,
      }];
    }
    const previous = model.rollout[index - 1];
    if (
      previous !== undefined && previous.sinceRevision >= step.sinceRevision
    ) {
      return [{ path, reason: "steps must go up in revision" }];
    }
    return [];
  });
}

function checkModel(
  bundle: Bundle,
  model: Model,
  at: number,
): readonly ValidationIssue[] {
  const names = model.versions.map((version) => version.version);
  const repeated = findRepeated(names).map((index) => ({
    path: ["models", at, "versions", index, "version"],
    reason: `'${names[index]}' is named twice`,
  }));
  return [
    ...repeated,
    ...checkSuccessors(model, at),
    ...checkShares(model, at),
    ...checkStepOrder(model, at, bundle.revision),
  ];
}

function checkCascades(bundle: Bundle): readonly ValidationIssue[] {
  const models = new Set(bundle.models.map((model) => model.name));
  return bundle.cascades.flatMap((cascade, at) => {
    const faults: ValidationIssue[] = [];
    for (const tier of ["cheap", "large"] as const) {
      if (models.has(cascade[tier])) continue;
      faults.push({
        path: ["cascades", at, tier],
        reason: `unknown model '${cascade[tier]}'`,
      });
    }
    if (models.has(cascade.name)) {
      faults.push({
        path: ["cascades", at, "name"],
        reason: `'${cascade.name}' is a model's name already`,
      });
    }
    return faults;
  });
}

function checkAccounts(bundle: Bundle): readonly ValidationIssue[] {
  const services = new Set(bundle.services.map((service) => service.name));
  return bundle.accounts.flatMap((account, at) => {
    const faults: ValidationIssue[] = [];
    account.models.forEach((grant, index) => {
      const path = ["accounts", at, "models", index];
      const model = bundle.models.find((other) => other.name === grant.model);
      if (model === undefined) {
        faults.push({
          path: [...path, "model"],
          reason: `unknown model '${grant.model}'`,
        });
        return;
      }
      grant.versions?.forEach((name, position) => {
        if (model.versions.some((version) => version.version === name)) return;
        faults.push({
          path: [...path, "versions", position],
          reason: `unknown version '${name}' of '${grant.model}'`,
        });
      });
    });
    account.services.forEach((name, index) => {
      if (services.has(name)) return;
      faults.push({
        path: ["accounts", at, "services", index],
        reason: `unknown service '${name}'`,
      });
    });
    return faults;
  });
}

function checkKeys(bundle: Bundle): readonly ValidationIssue[] {
  const seen = new Map<string, string>();
  return bundle.accounts.flatMap((account, at) =>
    account.keysSha256.flatMap((digest, index) => {
      const holder = seen.get(digest);
      seen.set(digest, account.name);
      if (holder === undefined) return [];
      return [{
        path: ["accounts", at, "keysSha256", index],
        reason: `the same key belongs to '${holder}' already`,
      }];
    })
  );
}

/** Lists the faults of a bundle that has the right shape. */
export function validateBundle(bundle: Bundle): readonly ValidationIssue[] {
  const faults: ValidationIssue[] = [];
  if (bundle.revision !== bundle.baseRevision + 1) {
    faults.push({
      path: ["revision"],
      reason: `must be baseRevision + 1, which is ${bundle.baseRevision + 1}`,
    });
  }
  if (bundle.baseRevision > 0 && bundle.baseDigest === undefined) {
    faults.push({
      path: ["baseDigest"],
      reason: "is needed when baseRevision is above 0",
    });
  }
  return [
    ...faults,
    ...checkUnique("models", "name", bundle.models.map((model) => model.name)),
    ...checkUnique(
      "cascades",
      "name",
      bundle.cascades.map((cascade) => cascade.name),
    ),
    ...checkUnique(
      "services",
      "name",
      bundle.services.map((service) => service.name),
    ),
    ...checkUnique(
      "accounts",
      "name",
      bundle.accounts.map((account) => account.name),
    ),
    ...bundle.models.flatMap((model, at) => checkModel(bundle, model, at)),
    ...checkCascades(bundle),
    ...checkAccounts(bundle),
    ...checkKeys(bundle),
  ];
}
