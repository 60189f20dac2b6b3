/**
 * Runs all tests with ava. Failures that KNOWN-RED.txt lists are printed and
 * ignored. Any other failure, a skipped test or a run without tests makes the
 * exit code 1.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as url from "node:url";
import * as tapParser from "tap-parser";

const ROOT = url.fileURLToPath(new URL("../../../", import.meta.url));
const AVA_CLI = "node_modules/ava/entrypoints/cli.mjs";
const TEST_NAME_PREFIX = "test: ";
const ALL_TESTS = [
  "packages/*/dist/**/*_test.js",
  "platform/dist/**/*_test.js",
];
/** Tests that measure or play with processes, each in a run of its own. */
const ISOLATED_TESTS = [
  "packages/bench/dist/memory_fault_test.js",
  "packages/bench/dist/own_memory_fault_test.js",
  "packages/bench/dist/stress_test.js",
  "packages/bench/dist/soak/soak_test.js",
];

/** Reads the names of tests in KNOWN-RED.txt, one `test: <name>` line each. */
function readKnownFailingTests(): ReadonlySet<string> {
  const text = fs.readFileSync(`${ROOT}KNOWN-RED.txt`, "utf8");
  return new Set(
    text.split("\n")
      .filter((line) => line.startsWith(TEST_NAME_PREFIX))
      .map((line) => line.slice(TEST_NAME_PREFIX.length).trim()),
  );
}

interface TestCounts {
  passed: number;
  failed: number;
  skipped: number;
  readonly knownFailures: string[];
}

function renderDiagnostics(result: tapParser.Result): string {
  const { diag } = result;
  return diag === undefined || diag === null
    ? ""
    : `\n${JSON.stringify(diag, null, 2)}`;
}

/** Counts the result of a test, and prints it unless the test was skipped. */
function countResult(
  result: tapParser.Result,
  counts: TestCounts,
  knownFailingTests: ReadonlySet<string>,
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
  if (knownFailingTests.has(name)) {
    counts.knownFailures.push(name);
    process.stdout.write(`known red: ${name}\n`);
    return;
  }
  counts.failed += 1;
  process.stdout.write(`FAILED ${name}${renderDiagnostics(result)}\n`);
}

/** Runs test files and adds their results to the counts. */
function runFiles(
  files: readonly string[],
  counts: TestCounts,
  knownFailingTests: ReadonlySet<string>,
): Promise<void> {
  const child = childProcess.spawn(process.execPath, [
    AVA_CLI,
    "--tap",
    ...files,
  ], {
    cwd: ROOT,
    stdio: ["ignore", "pipe", "inherit"],
  });
  const parser = new tapParser.Parser();
  parser.on(
    "assert",
    (result: tapParser.Result) =>
      countResult(result, counts, knownFailingTests),
  );
  child.stdout.pipe(parser);
  return new Promise((resolve) => {
    parser.on("complete", () => resolve());
  });
}

async function runAllTests(): Promise<number> {
  const knownFailingTests = readKnownFailingTests();
  const counts: TestCounts = {
    passed: 0,
    failed: 0,
    skipped: 0,
    knownFailures: [],
  };
  const others = [...ALL_TESTS, ...ISOLATED_TESTS.map((file) => `!${file}`)];
  await runFiles(others, counts, knownFailingTests);
  for (const file of ISOLATED_TESTS) {
    await runFiles([file], counts, knownFailingTests);
  }
  for (const name of counts.knownFailures) {
    process.stdout.write(`passed over (KNOWN-RED.txt): ${name}\n`);
  }
  process.stdout.write(`${counts.passed} passed, ${counts.failed} failed\n`);
  const hasRun =
    counts.passed + counts.failed + counts.knownFailures.length > 0;
  return counts.failed === 0 && counts.skipped === 0 && hasRun ? 0 : 1;
}

process.exitCode = await runAllTests();
