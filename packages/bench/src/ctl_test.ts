/** Tests jackdawctl as a program: output, exit codes, key files. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as ava from "ava";
import type * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

function createTempFolder(t: fixtures.TearDownContext): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "jackdaw-ctl-"));
  t.teardown(() => Promise.resolve(fs.rmSync(folder, { recursive: true })));
  return folder;
}

function runCtl(...args: readonly string[]): Promise<processes.ProgramOutput> {
  return processes.runProgram("jackdawctl", args);
}

function buildStoreArgs(deployment: deployments.Deployment): readonly string[] {
  return ["--store", deployment.storeUrl, "--signers", deployment.signerKey];
}

function writeKeyFile(
  deployment: deployments.Deployment,
  folder: string,
): string {
  const file = path.join(folder, "key.pem");
  fs.writeFileSync(file, deployment.privateKeyPem, { mode: 0o600 });
  return file;
}

test("key files are created with mode 600, overwrite no file, and are refused if others may read them", async (t) => {
  const folder = createTempFolder(t);
  const file = path.join(folder, "key.pem");
  const created = await runCtl("key", "new", file, "--json");
  t.is(created.code, 0);
  const { publicKey } = JSON.parse(created.stdout) as { publicKey: string };
  t.true(publicKey.length > 40);
  t.is(fs.statSync(file).mode & 0o777, 0o600);
  t.is((await runCtl("key", "new", file)).code, 2);
  const bundleFile = path.join(folder, "bundle.yaml");
  fs.writeFileSync(bundleFile, "format: 1\nrevision: 1\nbaseRevision: 0\n");
  fs.chmodSync(file, 0o644);
  const refused = await runCtl("bundle", "sign", bundleFile, "--key", file);
  t.is(refused.code, 2);
  t.regex(refused.stderr, /mode to 600/);
  fs.chmodSync(file, 0o600);
  t.is((await runCtl("bundle", "sign", bundleFile, "--key", file)).code, 0);
});

test("bundle check reports the position and the reason of every error", async (t) => {
  const file = path.join(createTempFolder(t), "bundle.yaml");
  fs.writeFileSync(
    file,
    [
      "format: 1",
      "revision: 5",
      "baseRevision: 1",
      "models:",
      "  - name: small",
      "    versions:",
      "      - { version: v1, state: serving }",
      "    rollout:",
      "      - { sinceRevision: 1, sharesPercent: { v1: 40, v9: 20 } }",
      "accounts:",
      "  - name: lodge",
      `    keysSha256: [${"a".repeat(64)}]`,
      "    models: [{ model: other }]",
    ].join("\n"),
  );
  const checked = await runCtl("bundle", "check", file);
  t.is(checked.code, 2);
  const errors = checked.stderr.trim().split("\n").map((line) =>
    line.replace(/.*bundle\.yaml:/, "")
  );
  t.deepEqual(errors, [
    "2:11 revision: must be baseRevision + 1, which is 2",
    "1:1 baseDigest: is required when baseRevision is above 0",
    "9:58 models.0.rollout.0.sharesPercent.v9: unknown version 'v9'",
    "9:44 models.0.rollout.0.sharesPercent: shares sum to 60, not to 100",
    "13:23 accounts.0.models.0.model: unknown model 'other'",
  ]);
  fs.writeFileSync(file, "format: [1\nrevision: x");
  t.is((await runCtl("bundle", "check", file)).code, 2);
  t.is((await runCtl("bundle", "check", path.join(file, "none"))).code, 2);
});

test("new, diff, sign, roll, withdraw, status, timeline and usage work on a running deployment", async (t) => {
  const deployment = await fixtures.deploy(
    t,
    fixtures.buildSmallPlan({
      upstreams: [{
        id: "model-b",
        dataCentre: "bkk-b",
        engine: { serves: ["verse-large@v1", "verse-large@v2"] },
      }],
    }),
  );
  const folder = createTempFolder(t);
  const keyFile = writeKeyFile(deployment, folder);
  const storeArgs = buildStoreArgs(deployment);
  const bundleFile = path.join(folder, "bundle.yaml");
  const signedFile = path.join(folder, "signed.json");
  t.is(
    (await runCtl("bundle", "new", ...storeArgs, "--out", bundleFile)).code,
    0,
  );
  fs.appendFileSync(bundleFile, "comment: by hand\n");
  const diff = await runCtl(
    "bundle",
    "diff",
    bundleFile,
    ...storeArgs,
    "--json",
  );
  const changes = JSON.parse(diff.stdout) as readonly { path: string }[];
  t.true(changes.some((change) => change.path === "comment"));
  t.is(
    (await runCtl(
      "bundle",
      "sign",
      bundleFile,
      "--key",
      keyFile,
      "--out",
      signedFile,
    ))
      .code,
    0,
  );
  const vmListArgs = ["--vm-list", deployment.vmListUrl];
  const rolled = await runCtl(
    "bundle",
    "roll",
    signedFile,
    ...storeArgs,
    ...vmListArgs,
    "--json",
  );
  t.is(rolled.code, 0);
  t.is((JSON.parse(rolled.stdout) as { revision: number }).revision, 2);
  t.is(
    (await runCtl("bundle", "roll", signedFile, ...storeArgs)).code,
    0,
    "rolling it again changes nothing",
  );
  const withdrawn = await runCtl(
    "version",
    "withdraw",
    "verse-large",
    "v2",
    "--key",
    keyFile,
    ...storeArgs,
    ...vmListArgs,
  );
  t.is(withdrawn.code, 0);
  const repeatedRoll = await runCtl("bundle", "roll", signedFile, ...storeArgs);
  t.is(
    repeatedRoll.code,
    0,
    "it was accepted, and the bundle in force is based on it",
  );
  await deployment.waitForRevision(3);
  const status = await runCtl("bundle", "status", ...vmListArgs, "--json");
  const rows = JSON.parse(status.stdout) as readonly { revision: number }[];
  t.deepEqual(rows.map((row) => row.revision), [3, 3]);
  const caller = fixtures.createCaller(t, deployment);
  const answer = await caller.chat({ model: "verse-large" });
  t.is(answer.headers["x-jackdaw-version"], "verse-large@v1");
  const requestId = answer.headers["x-jackdaw-request-id"] ?? "";
  const timeline = await runCtl(
    "timeline",
    ...vmListArgs,
    "--request",
    requestId,
  );
  t.is(timeline.stdout.trim().split("\n").length, 4);
  await processes.waitFor(
    "the request is billed",
    async () => await deployment.countBilled() === 1,
  );
  const usage = await runCtl("usage", "--store", deployment.storeUrl, "--json");
  t.is((JSON.parse(usage.stdout) as readonly unknown[]).length, 1);
});

test("a conflict exits with code 3 and names the winner, an unreachable store with 4", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  const folder = createTempFolder(t);
  const storeArgs = buildStoreArgs(deployment);
  const loser = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "loser",
  }));
  const winner = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "winner",
  }));
  (await deployment.roll(winner))._unsafeUnwrap();
  const signedFile = path.join(folder, "loser.json");
  fs.writeFileSync(signedFile, JSON.stringify(deployment.sign(loser)));
  const conflict = await runCtl("bundle", "roll", signedFile, ...storeArgs);
  t.is(conflict.code, 3);
  t.regex(conflict.stderr, /in force is revision 2, signed by/);
  await deployment.setStoreFaults({ mode: "down" });
  const unreachable = await runCtl(
    "bundle",
    "roll",
    signedFile,
    ...storeArgs,
    "--timeout-ms",
    "700",
  );
  t.is(unreachable.code, 4);
  t.regex(unreachable.stderr, /nothing was written/);
  t.is((await runCtl("usage", "--store", deployment.storeUrl)).code, 4);
  t.is(
    (await runCtl("bundle", "status", "--vm-list", "http://127.0.0.1:9")).code,
    4,
  );
});
