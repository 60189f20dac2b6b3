/**
 * Runs all tests with ava. Failures that KNOWN-RED.txt lists are printed and
 * passed over; any other failure, or a run without tests, fails.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as url from "node:url";
import * as tapParser from "tap-parser";

const ROOT = url.fileURLToPath(new URL("../../../", import.meta.url));
const AVA = "node_modules/ava/entrypoints/cli.mjs";
const ENTRY_PREFIX = "test: ";
const ALL_TESTS = [
  "packages/*/dist/**/*_test.js",
  "platform/dist/**/*_test.js",
];
const STRESS_TESTS = "packages/bench/dist/stress_test.js";

/** Test names in KNOWN-RED.txt, one `test: <name>` line each. */
function readKnownRed(): ReadonlySet<string> {
  const text = fs.readFileSync(`${ROOT}KNOWN-RED.txt`, "utf8");
  return new Set(
    text.split("\n")
      .filter((line) => line.startsWith(ENTRY_PREFIX))
      .map((line) => line.slice(ENTRY_PREFIX.length).trim()),
  );
}

interface Counts {
  passed: number;
  failed: number;
  skipped: number;
  readonly known: string[];
}

function renderDiagnosis(result: tapParser.Result): string {
  const { diag } = result;
  return diag === undefined || diag === null
    ? ""
    : `\n${JSON.stringify(diag, null, 2)}`;
}

function takeResult(
  result: tapParser.Result,
  counts: Counts,
  knownRed: ReadonlySet<string>,
): void {
  const name = result.name.trim();
  if (Boolean(result.skip) || Boolean(result.todo)) {
    counts.skipped += 1;
    return;
  }
  if (result.ok) {
    counts.passed += 1;
    process.stdout.write(`ok ${name}\n`);
    return;
  }
  if (knownRed.has(name)) {
    counts.known.push(name);
    process.stdout.write(`known red: ${name}\n`);
    return;
  }
  counts.failed += 1;
  process.stdout.write(`FAILED ${name}${renderDiagnosis(result)}\n`);
}

/** Runs test files and adds their results to the counts. */
function runFiles(
  files: readonly string[],
  counts: Counts,
  knownRed: ReadonlySet<string>,
): Promise<void> {
  const child = childProcess.spawn(process.execPath, [AVA, "--tap", ...files], {
    cwd: ROOT,
    stdio: ["ignore", "pipe", "inherit"],
  });
  const parser = new tapParser.Parser();
  parser.on(
    "assert",
    (result: tapParser.Result) => takeResult(result, counts, knownRed),
  );
  child.stdout.pipe(parser);
  return new Promise((resolve) => {
    parser.on("complete", () => resolve());
  });
}

async function run(): Promise<number> {
  const knownRed = readKnownRed();
  const counts: Counts = { passed: 0, failed: 0, skipped: 0, known: [] };
  // What compares loads must not share the machine with other tests.
  await runFiles([...ALL_TESTS, `!${STRESS_TESTS}`], counts, knownRed);
  await runFiles([STRESS_TESTS], counts, knownRed);
  for (const name of counts.known) {
    process.stdout.write(`passed over (KNOWN-RED.txt): ${name}\n`);
  }
  process.stdout.write(`${counts.passed} passed, ${counts.failed} failed\n`);
  const hasRun = counts.passed + counts.failed + counts.known.length > 0;
  return counts.failed === 0 && counts.skipped === 0 && hasRun ? 0 : 1;
}

process.exitCode = await run();
