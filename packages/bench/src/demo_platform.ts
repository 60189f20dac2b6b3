/**
 * Second part of the demonstration: an entry process as it runs on the users'
 * platform, with stand-ins for the platform's store and replicas.
 */
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as fakes from "@jackdawbank/fakes";
import * as processes from "./processes.ts";

const ROUNDS = 20;
const EVENTS_PER_DRAFT = 6;
/** Time within which a revoked key must be refused; includes the pause between two watches. */
const REVOCATION_LIMIT_MS = 2_000;

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

/** Runs this part and returns the checks that failed. */
export async function runPlatformDemo(
  printLine: (text: string) => void,
): Promise<readonly string[]> {
  const violations: string[] = [];
  const check = (isMet: boolean, description: string) => {
    if (!isMet) violations.push(`platform: ${description}`);
  };
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "jackdaw-platform-"));
  const store = new fakes.FakePlatformStore();
  const storePort = await store.listen();
  const desks = [1, 2].map((number) =>
    new fakes.FakeReplica(`desk-${number}`, () => ({ type: "ok" }))
  );
  const engines = [1, 2].map((number) =>
    new fakes.FakeReplica(`engine-${number}`, (request, count) => ({
      type: "stream",
      events: EVENTS_PER_DRAFT,
      confidence: fakes.samples.isSmallModel(request) && count % 2 === 0
        ? 10
        : 90,
      ...(count === 3 ? { disconnectAfterEvents: 2 } : {}),
    }))
  );
  const register = async (service: string, replica: fakes.FakeReplica) => {
    await replica.listen();
    store.putReplica(replica.id, replica.buildEntry(service));
  };
  for (const replica of desks) await register("desk", replica);
  for (const replica of engines) await register("llm", replica);
  store.putConfiguration(fakes.samples.buildConfiguration());
  const ports = {
    callers: await findFreePort(),
    readiness: await findFreePort(),
  };
  const settingsPath = path.join(folder, "settings.toml");
  fs.writeFileSync(
    settingsPath,
    fakes.samples.renderSettings({ ...ports, store: storePort }),
  );
  const entry = await processes.TestProcess.start(
    "platform-entry",
    "jackdawd",
    ["platform-entry"],
    fakes.samples.buildEnvironment(settingsPath),
  );
  try {
    const caller = new fakes.PlatformCaller(() => ports.callers);
    await processes.waitFor("the platform entry is ready", async () => {
      const response = await caller.call(fakes.samples.ROUTES.check).catch(() =>
        undefined
      );
      return response?.status === 200;
    });
    let escalated = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      const order = await caller.call(fakes.samples.ROUTES.order, {
        method: "POST",
        body: "1",
      });
      check(order.status === 200, `an order got status ${order.status}`);
      const draft = await caller.call(
        fakes.samples.ROUTES.draft,
        fakes.samples.DRAFT,
      );
      const ids = fakes.listEventIds(draft.body);
      check(
        !draft.isTruncated && ids.length === EVENTS_PER_DRAFT,
        `a draft was truncated or had events ${ids.join()}`,
      );
    }
    escalated = engines.flatMap((engine) => engine.received)
      .filter((request) => !fakes.samples.isSmallModel(request)).length;
    check(escalated > 0, "no draft was escalated to the larger model");
    const orders = desks.flatMap((desk) => desk.received)
      .filter((request) => request.method === "POST").length;
    check(orders === ROUNDS, `${ROUNDS} orders ran ${orders} times`);
    store.putConfiguration(fakes.samples.buildRevokedConfiguration(2));
    const revokedAtMs = Date.now();
    await processes.waitFor(
      "the revoked key is refused",
      async () =>
        (await caller.call(fakes.samples.ROUTES.check)).status === 401,
    );
    check(
      Date.now() - revokedAtMs < REVOCATION_LIMIT_MS,
      "a revoked key was accepted for too long",
    );
    const code = await entry.stop();
    check(code === 0, `the entry exited with code ${code}`);
    printLine(
      `on the platform: ${ROUNDS} orders ran once each, ${ROUNDS} drafts complete ` +
        `(${escalated} by the larger model), a key revoked, the entry stopped`,
    );
  } finally {
    await entry.kill();
    for (const replica of [...desks, ...engines]) await replica.close();
    await store.close();
    fs.rmSync(folder, { recursive: true });
  }
  return violations;
}
