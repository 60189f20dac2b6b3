/** Describes a deployment, and builds the standard one of the tests. */
import * as bundle from "@jackdawbank/bundle";
import type * as fakes from "@jackdawbank/fakes";
import type * as processes from "./processes.ts";

/** An upstream process with the settings of its stand-in: an engine or an order service. */
export interface UpstreamPlan {
  readonly id: string;
  readonly dataCentre: string;
  readonly engine?: Partial<fakes.EngineSettings>;
  readonly orders?: Partial<fakes.OrderSettings>;
  /** Uses the store's second port, whose faults are set separately. */
  readonly usesSecondStorePort?: boolean;
}

export interface EntryPlan {
  readonly id: string;
  readonly dataCentre: string;
  readonly usesSecondStorePort?: boolean;
}

/** An upstream process and the stand-in behind it. */
export interface RunningUpstream {
  readonly plan: UpstreamPlan;
  readonly backend: processes.TestProcess;
  process: processes.TestProcess;
}

export interface DeploymentPlan {
  readonly entries: readonly EntryPlan[];
  readonly upstreams: readonly UpstreamPlan[];
  readonly bundle: bundle.Bundle;
  readonly vmListLagMs?: number;
}

/** Bearer keys of the standard accounts. */
export const ACCOUNT_KEYS = {
  counter: "key-of-the-counter-account",
  hr: "key-of-the-hr-account",
  narrow: "key-of-the-narrow-account",
} as const;

export const MESH_SECRET = "a-secret-for-tests-only";
export const ORDER_SERVICE = "orders";

/** Builds the standard bundle: two models, one with two versions, and an order service. */
export function buildStandardBundle(
  changes: Partial<bundle.Bundle> = {},
): bundle.Bundle {
  const prices = {
    promptPriceMilliPerMillion: 100_000,
    completionPriceMilliPerMillion: 400_000,
  };
  return bundle.bundleSchema.parse({
    format: 1,
    revision: 1,
    baseRevision: 0,
    limits: { defaultDeadlineMs: 20_000, freshnessBoundMs: 10_000 },
    models: [
      {
        name: "verse-small",
        ...prices,
        versions: [{ version: "v1", state: "serving" }],
        rollout: [{ sinceRevision: 1, sharesPercent: { v1: 100 } }],
      },
      {
        name: "verse-large",
        ...prices,
        versions: [
          { version: "v1", state: "serving" },
          { version: "v2", state: "rolling" },
        ],
        rollout: [{ sinceRevision: 1, sharesPercent: { v1: 50, v2: 50 } }],
      },
    ],
    cascades: [{
      name: "verse",
      cheap: "verse-small",
      large: "verse-large",
      cheapMaxPromptChars: 200,
    }],
    services: [{
      name: ORDER_SERVICE,
      repeats: "claim",
      partitions: 4,
      pricePerCallMilli: 50,
    }],
    accounts: [
      {
        name: "counter",
        keysSha256: [bundle.computeDigest(ACCOUNT_KEYS.counter)],
        models: [{ model: "verse-small" }, { model: "verse-large" }],
        services: [ORDER_SERVICE],
      },
      {
        name: "hr",
        keysSha256: [bundle.computeDigest(ACCOUNT_KEYS.hr)],
        models: [{ model: "verse-small" }, { model: "verse-large" }],
        services: [ORDER_SERVICE],
      },
      {
        name: "narrow",
        keysSha256: [bundle.computeDigest(ACCOUNT_KEYS.narrow)],
        models: [{ model: "verse-small" }],
      },
    ],
    ...changes,
  });
}

/** Builds the standard plan: two entries, three model upstreams, two order upstreams. */
export function buildStandardPlan(
  changes: Partial<DeploymentPlan> = {},
): DeploymentPlan {
  const large = { serves: ["verse-large@v1", "verse-large@v2"] };
  return {
    entries: [
      { id: "entry-a", dataCentre: "bkk-a" },
      { id: "entry-b", dataCentre: "bkk-b" },
    ],
    upstreams: [
      {
        id: "model-a",
        dataCentre: "bkk-a",
        engine: { serves: ["verse-small@v1"] },
      },
      { id: "model-b", dataCentre: "bkk-b", engine: large },
      { id: "model-c", dataCentre: "bkk-c", engine: large },
      { id: "order-a", dataCentre: "bkk-a", orders: {} },
      { id: "order-b", dataCentre: "bkk-b", orders: {} },
    ],
    bundle: buildStandardBundle(),
    ...changes,
  };
}

/** Builds the flags that entries and upstream processes share. */
export function buildDaemonArgs(
  plan: EntryPlan,
  options: { readonly signerKey: string; readonly storeUrl: string },
): readonly string[] {
  return [
    "--process-id",
    plan.id,
    "--data-centre",
    plan.dataCentre,
    "--store",
    options.storeUrl,
    "--signers",
    options.signerKey,
    "--mesh-secret",
    MESH_SECRET,
  ];
}
