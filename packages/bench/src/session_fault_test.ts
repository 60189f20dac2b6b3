/** Tests that a session keeps its version across roll-out steps, entries and replaced processes. */
import * as ava from "ava";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";

const test = ava.default;

const LARGE_VERSIONS = ["verse-large@v1", "verse-large@v2"];
const SESSION_COUNT = 16;

function buildPlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      {
        id: "model-b",
        dataCentre: "bkk-b",
        engine: { serves: LARGE_VERSIONS, firstTokenMs: 1, tokenMs: 0 },
      },
      {
        id: "model-c",
        dataCentre: "bkk-c",
        engine: { serves: LARGE_VERSIONS, firstTokenMs: 1, tokenMs: 0 },
      },
    ],
  });
}

interface StartedSession {
  readonly header: string;
  readonly version: string;
}

const VERSION_HEADER = "x-jackdaw-version";
const SESSION_HEADER = "x-jackdaw-session";

type ChatCaller = ReturnType<typeof fixtures.createCaller>;

async function startSessions(
  caller: ChatCaller,
  buildHeader: (index: number) => string | undefined,
): Promise<readonly StartedSession[]> {
  return await Promise.all(
    Array.from({ length: SESSION_COUNT }, async (_, index) => {
      const session = buildHeader(index);
      const result = await caller.chat({
        model: "verse-large",
        ...(session === undefined ? {} : { session }),
      });
      return {
        header: session ?? result.headers[SESSION_HEADER] ?? "",
        version: result.headers[VERSION_HEADER] ?? "",
      };
    }),
  );
}

async function countChangedVersions(
  caller: ChatCaller,
  sessions: readonly StartedSession[],
): Promise<number> {
  return (await listChangedVersions(caller, sessions)).length;
}

/** Lists the sessions whose version changed, with the response's status. */
async function listChangedVersions(
  caller: ChatCaller,
  sessions: readonly StartedSession[],
): Promise<readonly string[]> {
  const results = await Promise.all(
    sessions.map(({ header }) =>
      caller.chat({ model: "verse-large", session: header })
    ),
  );
  return results.flatMap((result, index) => {
    const expected = sessions[index]?.version;
    const seen = result.headers[VERSION_HEADER];
    return seen === expected ? [] : [
      `${sessions[index]?.header}: ${expected} to ${seen}, ${result.status}`,
    ];
  });
}

async function rollStep(
  deployment: deployments.Deployment,
  shares: Readonly<Record<string, number>>,
): Promise<void> {
  const next = await deployment.buildNextBundle((content) =>
    fixtures.addRolloutStep(content, "verse-large", shares)
  );
  (await deployment.roll(next))._unsafeUnwrap();
  await deployment.waitForRevision(next.revision);
}

test("sessions with a token issued by an entry keep their version at every roll-out step", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  const sessions = await startSessions(callerA, () => undefined);
  t.is(new Set(sessions.map(({ version }) => version)).size, 2);
  for (const shares of [{ v1: 20, v2: 80 }, { v2: 100 }, { v1: 100 }]) {
    await rollStep(deployment, shares);
    t.is(await countChangedVersions(callerA, sessions), 0);
    t.is(await countChangedVersions(callerB, sessions), 0);
  }
  await deployment.entry("entry-a").kill();
  t.is(await countChangedVersions(callerB, sessions), 0);
  await deployment.upstream("model-b").process.kill();
  await deployment.startUpstream(
    deployment.plan.upstreams[0] as deployments.UpstreamPlan,
  );
  await deployment.publishVmList();
  t.is(await countChangedVersions(callerB, sessions), 0);
});

test("sessions with an id chosen by the caller keep their version through another entry", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  const sessions = await startSessions(callerA, (index) => `shopper-${index}`);
  t.is(new Set(sessions.map(({ version }) => version)).size, 2);
  await rollStep(deployment, { v2: 100 });
  t.deepEqual(await listChangedVersions(callerB, sessions), []);
  await deployment.entry("entry-a").kill();
  await deployment.upstream("model-b").process.kill();
  await deployment.startEntry(
    deployment.plan.entries[0] as deployments.EntryPlan,
  );
  await deployment.publishVmList(new Set());
  await deployment.waitForRevision(2, ["entry-a"]);
  const callerOfReplacedEntry = fixtures.createCaller(t, deployment);
  await deployment.waitUntilServed("entry-a", "verse-large@v1");
  t.deepEqual(await listChangedVersions(callerOfReplacedEntry, sessions), []);
});

test("sessions with an id chosen by the caller keep their version while the processes that hold their pins are suspended", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const callerA = fixtures.createCaller(t, deployment);
  const callerB = fixtures.createCaller(t, deployment, { entry: "entry-b" });
  const sessions = await startSessions(callerA, (index) => `shopper-${index}`);
  await rollStep(deployment, { v2: 100 });
  const pinHolders = ["model-b", "model-c"].map((id) =>
    deployment.upstream(id).process
  );
  for (const pinHolder of pinHolders) pinHolder.suspend();
  const changed = listChangedVersions(callerB, sessions);
  await new Promise((resolve) => setTimeout(resolve, 500));
  for (const pinHolder of pinHolders) pinHolder.resume();
  t.deepEqual(await changed, []);
});

test("a withdrawal moves a session to the named successor, and a header says so", async (t) => {
  const deployment = await fixtures.deploy(t, buildPlan());
  const caller = fixtures.createCaller(t, deployment);
  const sessions = await startSessions(caller, () => undefined);
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, {
      model: "verse-large",
      version: "v2",
      successor: "v1",
    })
  );
  (await deployment.roll(next))._unsafeUnwrap();
  await deployment.waitForRevision(2);
  for (const { header, version } of sessions) {
    const result = await caller.chat({ model: "verse-large", session: header });
    t.is(result.headers[VERSION_HEADER], "verse-large@v1");
    t.is(
      result.headers["x-jackdaw-moved-from"],
      version === "verse-large@v2" ? "v2" : undefined,
    );
  }
});
