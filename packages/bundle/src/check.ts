/** Validates what the schema cannot express: unique names, references, sums of shares and revisions. */
import type { Bundle, Model } from "./schema.ts";

/** An invalid field: the path to it and the reason. */
export interface ValidationIssue {
  readonly path: readonly (string | number)[];
  readonly reason: string;
}

const PERCENT_TOTAL = 100;
const PERCENT_TOLERANCE = 0.001;

/** Returns the indexes of names that occur earlier in the list. */
function findDuplicates(names: readonly string[]): readonly number[] {
  return names.flatMap((name, index) =>
    names.indexOf(name) === index ? [] : [index]
  );
}

function checkUnique(
  listName: string,
  field: string,
  names: readonly string[],
): readonly ValidationIssue[] {
  return findDuplicates(names).map((index) => ({
    path: [listName, index, field],
    reason: `'${names[index]}' occurs more than once`,
  }));
}

function checkSuccessors(
  model: Model,
  modelIndex: number,
): readonly ValidationIssue[] {
  return model.versions.flatMap((version, index) => {
    const path = ["models", modelIndex, "versions", index, "successor"];
    if (version.state !== "withdrawn") {
      if (version.successor === undefined) return [];
      return [{
        path,
        reason: "only a withdrawn version may have a successor",
      }];
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
        reason: `successor '${version.successor}' is itself withdrawn`,
      }];
    }
    return [];
  });
}

function checkShares(
  model: Model,
  modelIndex: number,
): readonly ValidationIssue[] {
  const known = new Set(model.versions.map((version) => version.version));
  return model.rollout.flatMap((step, index) => {
    const path = ["models", modelIndex, "rollout", index, "sharesPercent"];
    const issues: ValidationIssue[] = Object.keys(step.sharesPercent)
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
      issues.push({
        path,
        reason: `shares sum to ${total}, not to ${PERCENT_TOTAL}`,
      });
    }
    return issues;
  });
}

function checkStepOrder(
  model: Model,
  modelIndex: number,
  revision: number,
): readonly ValidationIssue[] {
  return model.rollout.flatMap((step, index) => {
    const path = ["models", modelIndex, "rollout", index, "sinceRevision"];
    if (step.sinceRevision > revision) {
      return [{
        path,
        reason: `must not be greater than the bundle's revision ${revision}`,
      }];
    }
    const previous = model.rollout[index - 1];
    if (
      previous !== undefined && previous.sinceRevision >= step.sinceRevision
    ) {
      return [{ path, reason: "steps must have ascending revisions" }];
    }
    return [];
  });
}

function checkModel(
  bundle: Bundle,
  model: Model,
  modelIndex: number,
): readonly ValidationIssue[] {
  const names = model.versions.map((version) => version.version);
  const duplicates = findDuplicates(names).map((index) => ({
    path: ["models", modelIndex, "versions", index, "version"],
    reason: `'${names[index]}' occurs more than once`,
  }));
  return [
    ...duplicates,
    ...checkSuccessors(model, modelIndex),
    ...checkShares(model, modelIndex),
    ...checkStepOrder(model, modelIndex, bundle.revision),
  ];
}

function checkCascades(bundle: Bundle): readonly ValidationIssue[] {
  const models = new Set(bundle.models.map((model) => model.name));
  return bundle.cascades.flatMap((cascade, cascadeIndex) => {
    const issues: ValidationIssue[] = [];
    for (const tier of ["cheap", "large"] as const) {
      if (models.has(cascade[tier])) continue;
      issues.push({
        path: ["cascades", cascadeIndex, tier],
        reason: `unknown model '${cascade[tier]}'`,
      });
    }
    if (models.has(cascade.name)) {
      issues.push({
        path: ["cascades", cascadeIndex, "name"],
        reason: `'${cascade.name}' is already the name of a model`,
      });
    }
    return issues;
  });
}

function checkAccounts(bundle: Bundle): readonly ValidationIssue[] {
  const services = new Set(bundle.services.map((service) => service.name));
  return bundle.accounts.flatMap((account, accountIndex) => {
    const issues: ValidationIssue[] = [];
    account.models.forEach((grant, index) => {
      const path = ["accounts", accountIndex, "models", index];
      const model = bundle.models.find((other) => other.name === grant.model);
      if (model === undefined) {
        issues.push({
          path: [...path, "model"],
          reason: `unknown model '${grant.model}'`,
        });
        return;
      }
      grant.versions?.forEach((name, position) => {
        if (model.versions.some((version) => version.version === name)) return;
        issues.push({
          path: [...path, "versions", position],
          reason: `unknown version '${name}' of '${grant.model}'`,
        });
      });
    });
    account.services.forEach((name, index) => {
      if (services.has(name)) return;
      issues.push({
        path: ["accounts", accountIndex, "services", index],
        reason: `unknown service '${name}'`,
      });
    });
    return issues;
  });
}

function checkKeys(bundle: Bundle): readonly ValidationIssue[] {
  const seen = new Map<string, string>();
  return bundle.accounts.flatMap((account, accountIndex) =>
    account.keysSha256.flatMap((digest, index) => {
      const owner = seen.get(digest);
      seen.set(digest, account.name);
      if (owner === undefined) return [];
      return [{
        path: ["accounts", accountIndex, "keysSha256", index],
        reason: `the key already belongs to account '${owner}'`,
      }];
    })
  );
}

/** Lists the issues of a bundle that matches the schema. */
export function validateBundle(bundle: Bundle): readonly ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  if (bundle.revision !== bundle.baseRevision + 1) {
    issues.push({
      path: ["revision"],
      reason: `must be baseRevision + 1, which is ${bundle.baseRevision + 1}`,
    });
  }
  if (bundle.baseRevision > 0 && bundle.baseDigest === undefined) {
    issues.push({
      path: ["baseDigest"],
      reason: "is required when baseRevision is above 0",
    });
  }
  return [
    ...issues,
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
    ...bundle.models.flatMap((model, index) =>
      checkModel(bundle, model, index)
    ),
    ...checkCascades(bundle),
    ...checkAccounts(bundle),
    ...checkKeys(bundle),
  ];
}
