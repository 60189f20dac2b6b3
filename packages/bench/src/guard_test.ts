/** Tests the guard, which stops rolling versions without an operator, and the cascade learner. */
import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as undici from "undici";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

function buildPlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      {
        id: "model-b",
        dataCentre: "bkk-b",
        engine: { serves: ["verse-large@v1"], tokenMs: 0 },
      },
      {
        id: "model-c",
        dataCentre: "bkk-c",
        engine: { serves: ["verse-large@v2"], tokenMs: 0, status: 500 },
      },
    ],
  });
}

async function readStoppedRollouts(
  deployment: deployments.Deployment,
  id: string,
): Promise<readonly string[]> {
  const status = await deployment.readStatus(id) as {
    readonly entry?: { readonly stoppedRollouts: readonly string[] };
  };
  return status.entry?.stoppedRollouts ?? [];
}

test("the guard stops a failing version for new sessions on all entries, until the next roll-out step", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const caller = fixtures.createCaller(t, deployment);
  const otherEntryCaller = fixtures.createCaller(t, deployment, {
    entry: "entry-b",
  });
  await processes.waitFor("the guard stops the version", async () => {
    await Promise.all(
      Array.from({ length: 10 }, () => caller.chat({ model: "verse-large" })),
    );
    return (await readStoppedRollouts(deployment, "entry-a")).length === 1;
  });
  await processes.waitFor(
    "the other entry knows of the stop",
    async () => (await readStoppedRollouts(deployment, "entry-b")).length === 1,
  );
  const results = await Promise.all(
    Array.from(
      { length: 30 },
      () => otherEntryCaller.chat({ model: "verse-large" }),
    ),
  );
  t.true(
    results.every((result) =>
      result.headers["x-jackdaw-version"] === "verse-large@v1"
    ),
  );
  const next = await deployment.buildNextBundle((content) =>
    fixtures.addRolloutStep(content, "verse-large", { v1: 90, v2: 10 })
  );
  (await deployment.roll(next))._unsafeUnwrap();
  await deployment.waitForRevision(2);
  t.deepEqual(await readStoppedRollouts(deployment, "entry-b"), []);
});

test("the guard stops a rolling version with bad ratings", async (t) => {
  const plan = buildPlan();
  const deployment = await fixtures.deploy(t, {
    ...plan,
    upstreams: plan.upstreams.map((upstream) => ({
      ...upstream,
      engine: { ...upstream.engine, status: 200 },
    })),
  });
  const caller = fixtures.createCaller(t, deployment);
  await processes.waitFor("the guard stops the version", async () => {
    const results = await Promise.all(
      Array.from({ length: 20 }, () => caller.chat({ model: "verse-large" })),
    );
    await Promise.all(results.map(async (result) => {
      const isRolling =
        result.headers["x-jackdaw-version"] === "verse-large@v2";
      const requestId = result.headers["x-jackdaw-request-id"];
      const response = await undici.request(`${deployment.vmListUrl}/ratings`, {
        method: "POST",
        body: JSON.stringify({ requestId, score: isRolling ? 0.5 : 0.9 }),
      });
      await response.body.dump();
    }));
    return (await readStoppedRollouts(deployment, "entry-a")).length === 1;
  }, 30_000);
  const events = await deployment.readTimeline();
  const stopped = events.find((event) => event.name === "guard.stopped");
  t.is(stopped?.detail, "ratings");
});

test("the cascade learner sends classes with good ratings to the cheap model, and others to the large one", (t) => {
  const settings = { qualityTarget: 0.9, costWeight: 1, latencyWeight: 0 };
  const learner = new decisions.CascadeLearner(settings);
  const easy = { account: "lodge", kind: "tags" };
  const hard = { account: "lodge", kind: "plans" };
  let state = 1;
  const random = () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
  for (let step = 0; step < 4_000; step += 1) {
    const requestClass = step % 2 === 0 ? easy : hard;
    const tier = learner.chooseTier(requestClass, {
      staticTier: "large",
      nowMs: step,
      random,
    });
    learner.recordCost(requestClass, tier, {
      cost: tier === "cheap" ? 1 : 10,
      latencyMs: 1,
    });
    const score = tier === "large" ? 0.95 : requestClass === easy ? 0.94 : 0.4;
    learner.recordRating(requestClass, tier, { score, nowMs: step });
    if (step % 100 === 0) learner.updatePlan();
  }
  t.true(learner.getCheapShare(easy) > 0.9);
  t.true(learner.getCheapShare(hard) < 0.2);
});
