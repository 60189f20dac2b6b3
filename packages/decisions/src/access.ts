/** Access rights of client accounts, looked up in an index that is built once for each bundle. */
import type * as bundle from "@jackdawbank/bundle";

/** Look-up tables for one verified bundle. */
export interface BundleIndex {
  readonly bundle: bundle.Bundle;
  readonly digest: string;
  /** Accounts by the SHA-256 digest of each of their API keys. */
  readonly accountByKey: ReadonlyMap<string, bundle.Account>;
  readonly accountByName: ReadonlyMap<string, bundle.Account>;
  readonly modelByName: ReadonlyMap<string, bundle.Model>;
  readonly cascadeByName: ReadonlyMap<string, bundle.Cascade>;
  readonly serviceByName: ReadonlyMap<string, bundle.Service>;
}

export function indexBundle(verified: bundle.VerifiedBundle): BundleIndex {
  const content = verified.bundle;
  return {
    bundle: content,
    digest: verified.digest,
    accountByKey: new Map(
      content.accounts.flatMap((account) =>
        account.keysSha256.map((digest) => [digest, account] as const)
      ),
    ),
    accountByName: new Map(
      content.accounts.map((account) => [account.name, account]),
    ),
    modelByName: new Map(content.models.map((model) => [model.name, model])),
    cascadeByName: new Map(
      content.cascades.map((cascade) => [cascade.name, cascade]),
    ),
    serviceByName: new Map(
      content.services.map((service) => [service.name, service]),
    ),
  };
}

/** Returns an account's grant for a model, if it has one. */
export function findGrant(
  account: bundle.Account,
  modelName: string,
): bundle.ModelGrant | undefined {
  return account.models.find((grant) => grant.model === modelName);
}

/** Whether a grant covers a version; a grant that lists no versions covers all of them. */
export function isVersionGranted(
  grant: bundle.ModelGrant,
  version: string,
): boolean {
  return grant.versions === undefined || grant.versions.includes(version);
}

/** Returns the models that an account may request, and the cascades of which it may use both models. */
export function listUsableModels(
  index: BundleIndex,
  account: bundle.Account,
): readonly string[] {
  const models = account.models.map((grant) => grant.model);
  const granted = new Set(models);
  const cascades = index.bundle.cascades
    .filter((cascade) =>
      granted.has(cascade.cheap) && granted.has(cascade.large)
    )
    .map((cascade) => cascade.name);
  return [...models, ...cascades];
}
