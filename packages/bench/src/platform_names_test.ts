/** Tests that the platform's names occur only in its adapter, in the fakes and in tests. */
import * as ava from "ava";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as url from "node:url";

const ROOT = url.fileURLToPath(new URL("../../../", import.meta.url));

/** Headers, calls, keys and fields that only the platform uses. */
const PLATFORM_NAMES = new RegExp(
  [
    "x-jackdawbank-",
    "/-/kv-",
    "/-/readyz",
    "kv-from",
    "op/config",
    "op/rollout",
    "[\"'`]servers/",
    "status/rollout",
    "JACKDAWBANK_NODE_FILE",
    "trafficSplit",
    "hasMore",
    "expectedRevision\\b.*:.*\\[",
    "streamResume",
    "gapTargetMs",
    "apiKeys",
    "coldRemainingMs",
    "\\btenants?\\b",
  ].join("|"),
  "i",
);

function mayContainPlatformNames(path: string): boolean {
  return path.startsWith("platform/") || path.startsWith("packages/fakes/") ||
    path.endsWith("_test.ts");
}

ava.default(
  "no source file outside the adapter, the fakes and tests contains the platform's names",
  (t) => {
    const listed = childProcess.execFileSync(
      "git",
      ["ls-files", "--cached", "--others", "--exclude-standard", "*.ts"],
      { cwd: ROOT, encoding: "utf8" },
    );
    const files = listed.split("\n").filter((path) =>
      path !== "" && !mayContainPlatformNames(path) &&
      fs.existsSync(ROOT + path)
    );
    t.true(files.length > 50);
    const found = files.flatMap((path) =>
      fs.readFileSync(ROOT + path, "utf8").split("\n").flatMap((line, index) =>
        PLATFORM_NAMES.test(line) ? [`${path}:${index + 1} ${line.trim()}`] : []
      )
    );
    t.deepEqual(found, []);
  },
);
