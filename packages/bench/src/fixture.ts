/** Common means of the process tests. */
import type * as bundle from "@jackdawbank/bundle";
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";

/** The part of a test context that fixtures use. */
export interface TearDownContext {
  readonly teardown: (run: () => Promise<void>) => void;
}

/** Starts a deployment that ends with its test. */
export async function startFor(
  t: TearDownContext,
  plan: deployments.DeploymentPlan = deployments.buildStandardPlan(),
): Promise<deployments.Deployment> {
  const deployment = await deployments.Deployment.start(plan);
  t.teardown(() => deployment.close());
  return deployment;
}

/** A caller of an entry that ends with its test. */
export function callFor(
  t: TearDownContext,
  deployment: deployments.Deployment,
  options: { readonly entry?: string; readonly key?: string } = {},
): callers.Caller {
  const url = deployment.entryUrl(options.entry ?? "entry-a");
  const caller = new callers.Caller(
    url,
    options.key ?? deployments.ACCOUNT_KEYS.counter,
  );
  t.teardown(() => caller.close());
  return caller;
}

/** Marks a version withdrawn in favour of another. */
export function markWithdrawn(
  content: bundle.Bundle,
  target: {
    readonly model: string;
    readonly version: string;
    readonly successor: string;
  },
): bundle.Bundle {
  return {
    ...content,
    models: content.models.map((model) =>
      model.name !== target.model ? model : {
        ...model,
        versions: model.versions.map((version) =>
          version.version === target.version
            ? {
              version: version.version,
              state: "withdrawn" as const,
              successor: target.successor,
            }
            : version
        ),
        rollout: [...model.rollout, {
          sinceRevision: content.revision,
          sharesPercent: { [target.successor]: 100 },
        }],
      }
    ),
  };
}

/** Adds a roll-out step. */
export function addStep(
  content: bundle.Bundle,
  modelName: string,
  sharesPercent: Readonly<Record<string, number>>,
): bundle.Bundle {
  return {
    ...content,
    models: content.models.map((model) =>
      model.name !== modelName ? model : {
        ...model,
        rollout: [...model.rollout, {
          sinceRevision: content.revision,
          sharesPercent,
        }],
      }
    ),
  };
}

/** A plan of one entry and the given upstreams. */
export function buildSmallPlan(
  changes: Partial<deployments.DeploymentPlan> = {},
): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    entries: [{ id: "entry-a", dataCentre: "bkk-a" }],
    upstreams: [
      {
        id: "model-a",
        dataCentre: "bkk-a",
        engine: { serves: ["verse-small@v1"] },
      },
    ],
    ...changes,
  });
}
