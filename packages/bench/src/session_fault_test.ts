/** A session keeps its version over roll-out steps, entries and replaced processes. */
import * as ava from "ava";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";

const test = ava.default;

const LARGE = ["verse-large@v1", "verse-large@v2"];
const SESSIONS = 16;

function buildPlan(): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    upstreams: [
      {
        id: "model-b",
        dataCentre: "bkk-b",
        engine: { serves: LARGE, firstTokenMs: 1, tokenMs: 0 },
      },
      {
        id: "model-c",
        dataCentre: "bkk-c",
        engine: { serves: LARGE, firstTokenMs: 1, tokenMs: 0 },
      },
    ],
  });
}

interface Born {
  readonly header: string;
  readonly version: string;
}

const VERSION = "x-jackdaw-version";
const SESSION = "x-jackdaw-session";

type Chat = ReturnType<typeof fixtures.callFor>;

async function bear(
  caller: Chat,
  header: (at: number) => string | undefined,
): Promise<readonly Born[]> {
  return await Promise.all(Array.from({ length: SESSIONS }, async (_, at) => {
    const session = header(at);
    const result = await caller.chat({
      model: "verse-large",
      ...(session === undefined ? {} : { session }),
    });
    return {
      header: session ?? result.headers[SESSION] ?? "",
      version: result.headers[VERSION] ?? "",
    };
  }));
}

async function countMoved(
  caller: Chat,
  born: readonly Born[],
): Promise<number> {
  return (await listMoved(caller, born)).length;
}

/** What changed, with the answer that showed it. */
async function listMoved(
  caller: Chat,
  born: readonly Born[],
): Promise<readonly string[]> {
  const results = await Promise.all(
    born.map(({ header }) =>
      caller.chat({ model: "verse-large", session: header })
    ),
  );
  return results.flatMap((result, at) => {
    const expected = born[at]?.version;
    const seen = result.headers[VERSION];
    return seen === expected
      ? []
      : [`${born[at]?.header}: ${expected} to ${seen}, ${result.status}`];
  });
}

async function roll(
  deployment: deployments.Deployment,
  shares: Readonly<Record<string, number>>,
): Promise<void> {
  const next = await deployment.buildNextBundle((content) =>
    fixtures.addStep(content, "verse-large", shares)
  );
  (await deployment.roll(next))._unsafeUnwrap();
  await deployment.waitForRevision(next.revision);
}

test("sessions with our token keep their version at every roll-out step", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const first = fixtures.callFor(t, deployment);
  const other = fixtures.callFor(t, deployment, { entry: "entry-b" });
  const born = await bear(first, () => undefined);
  t.is(new Set(born.map(({ version }) => version)).size, 2);
  for (const shares of [{ v1: 20, v2: 80 }, { v2: 100 }, { v1: 100 }]) {
    await roll(deployment, shares);
    t.is(await countMoved(first, born), 0);
    t.is(await countMoved(other, born), 0);
  }
  await deployment.entry("entry-a").kill();
  t.is(await countMoved(other, born), 0);
  await deployment.upstream("model-b").process.kill();
  await deployment.startUpstream(
    deployment.plan.upstreams[0] as deployments.UpstreamPlan,
  );
  await deployment.publishVmList();
  t.is(await countMoved(other, born), 0);
});

test("sessions with the caller's own id keep their version through another entry", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const first = fixtures.callFor(t, deployment);
  const other = fixtures.callFor(t, deployment, { entry: "entry-b" });
  const born = await bear(first, (at) => `shopper-${at}`);
  t.is(new Set(born.map(({ version }) => version)).size, 2);
  await roll(deployment, { v2: 100 });
  t.deepEqual(await listMoved(other, born), []);
  await deployment.entry("entry-a").kill();
  await deployment.upstream("model-b").process.kill();
  await deployment.startEntry(
    deployment.plan.entries[0] as deployments.EntryPlan,
  );
  await deployment.publishVmList(new Set());
  await deployment.waitForRevision(2, ["entry-a"]);
  const replaced = fixtures.callFor(t, deployment);
  await deployment.waitUntilServed("entry-a", "verse-large@v1");
  t.deepEqual(await listMoved(replaced, born), []);
});

test("sessions with the caller's own id keep their version while their homes stand still", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const first = fixtures.callFor(t, deployment);
  const other = fixtures.callFor(t, deployment, { entry: "entry-b" });
  const born = await bear(first, (at) => `shopper-${at}`);
  await roll(deployment, { v2: 100 });
  const homes = ["model-b", "model-c"].map((id) =>
    deployment.upstream(id).process
  );
  for (const home of homes) home.suspend();
  const moved = listMoved(other, born);
  await new Promise((resolve) => setTimeout(resolve, 500));
  for (const home of homes) home.resume();
  t.deepEqual(await moved, []);
});

test("a withdrawal moves a session once, to the named successor, and says so", async (t) => {
  const deployment = await fixtures.startFor(t, buildPlan());
  const caller = fixtures.callFor(t, deployment);
  const born = await bear(caller, () => undefined);
  const next = await deployment.buildNextBundle((content) =>
    fixtures.markWithdrawn(content, {
      model: "verse-large",
      version: "v2",
      successor: "v1",
    })
  );
  (await deployment.roll(next))._unsafeUnwrap();
  await deployment.waitForRevision(2);
  for (const { header, version } of born) {
    const result = await caller.chat({ model: "verse-large", session: header });
    t.is(result.headers[VERSION], "verse-large@v1");
    t.is(
      result.headers["x-jackdaw-moved-from"],
      version === "verse-large@v2" ? "v2" : undefined,
    );
  }
});
