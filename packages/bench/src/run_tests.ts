/**
 * Runs all tests with ava. Failures that KNOWN-RED.txt lists are printed and
 * ignored. Any other failure, a skipped test, a run whose results are not all
 * known or a run without tests makes the exit code 1.
 */
import * as fs from "node:fs";
import * as url from "node:url";
import * as testRuns from "./test_run.ts";

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
  "packages/bench/dist/sent_ahead_fault_test.js",
  "packages/bench/dist/kept_memory_fault_test.js",
  "packages/bench/dist/change_memory_fault_test.js",
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
  /** Why runs may lack results. */
  readonly incompleteRuns: string[];
}

function renderDiagnostics({ diagnostics }: testRuns.TestResult): string {
  return diagnostics === undefined
    ? ""
    : `\n${JSON.stringify(diagnostics, null, 2)}`;
}

/** Counts the result of a test, and prints it unless the test was skipped. */
function countResult(
  result: testRuns.TestResult,
  counts: TestCounts,
  knownFailingTests: ReadonlySet<string>,
): void {
  const { name, type } = result;
  if (type === "skipped") {
    counts.skipped += 1;
    return;
  }
  if (type === "passed") {
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
async function runFiles(
  files: readonly string[],
  counts: TestCounts,
  knownFailingTests: ReadonlySet<string>,
): Promise<void> {
  const incompleteness = await testRuns.runTests(
    {
      program: process.execPath,
      args: [AVA_CLI, "--tap", ...files],
      cwd: ROOT,
    },
    (result) => countResult(result, counts, knownFailingTests),
  );
  if (incompleteness === undefined) return;
  counts.incompleteRuns.push(`${files[0]}: ${incompleteness}`);
}

async function runAllTests(): Promise<number> {
  const knownFailingTests = readKnownFailingTests();
  const counts: TestCounts = {
    passed: 0,
    failed: 0,
    skipped: 0,
    knownFailures: [],
    incompleteRuns: [],
  };
  const others = [...ALL_TESTS, ...ISOLATED_TESTS.map((file) => `!${file}`)];
  await runFiles(others, counts, knownFailingTests);
  for (const file of ISOLATED_TESTS) {
    await runFiles([file], counts, knownFailingTests);
  }
  for (const name of counts.knownFailures) {
    process.stdout.write(`passed over (KNOWN-RED.txt): ${name}\n`);
  }
  for (const run of counts.incompleteRuns) {
    process.stdout.write(`FAILED results are missing: ${run}\n`);
  }
  const failed = counts.failed + counts.incompleteRuns.length;
  process.stdout.write(`${counts.passed} passed, ${failed} failed\n`);
  const hasRun = counts.passed + failed + counts.knownFailures.length > 0;
  return failed === 0 && counts.skipped === 0 && hasRun ? 0 : 1;
}

process.exitCode = await runAllTests();
