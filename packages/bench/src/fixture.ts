/** Helpers of the tests that start real processes. */
import type * as bundle from "@jackdawbank/bundle";
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";
import * as gates from "./start_gate.ts";

/** Deployments of one test file that start at the same time. */
const MAX_STARTING = 2;
const startGate = new gates.StartGate(MAX_STARTING);

/** The part of a test context that the helpers use. */
export interface TearDownContext {
  readonly teardown: (run: () => Promise<void>) => void;
}

/** Starts a deployment that is closed at the end of the test. */
export async function deploy(
  t: TearDownContext,
  plan: deployments.DeploymentPlan = deployments.buildStandardPlan(),
): Promise<deployments.Deployment> {
  const deployment = await startGate.run(() =>
    deployments.Deployment.start(plan)
  );
  t.teardown(() => deployment.close());
  return deployment;
}

/** Creates a caller of one entry that is closed at the end of the test. */
export function createCaller(
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

/** Returns the bundle with a version withdrawn, and all of the model's share on its successor. */
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

/** Returns the bundle with one more roll-out step for a model. */
export function addRolloutStep(
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

/** Builds a plan that by default has one entry and one model upstream. */
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
