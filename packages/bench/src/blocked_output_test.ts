/** Tests that a process whose output nobody reads, or reads late, exits and loses no line. */
import * as ava from "ava";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as kernel from "@jackdawbank/kernel";

const test = ava.default;

/** Far more than a pipe holds. */
const LINES = 20_000;
const LINE = "x".repeat(79);
const MAX_EXIT_MS = 10_000;

/** Starts a process that writes lines to its standard output and exits, at once or when they are written. */
function startWriter(
  exitsAtOnce: boolean,
  output: "pipe" | number,
): childProcess.ChildProcess {
  const code = `
    import * as router from "@jackdawbank/router";
    const text = ${JSON.stringify(`${LINE}\n`)}.repeat(${LINES});
    new router.DescriptorSink().write(text, () => process.exit(0));
    if (${exitsAtOnce}) setTimeout(() => process.exit(0), 200);
  `;
  return childProcess.spawn(
    process.execPath,
    ["--input-type=module", "--eval", code],
    {
      stdio: ["ignore", output, "inherit"],
      cwd: new URL(".", import.meta.url),
    },
  );
}

function waitForExit(
  child: childProcess.ChildProcess,
): Promise<number | null | "still there"> {
  return Promise.race([
    new Promise<number | null>((resolve) =>
      child.once("exit", (code) => resolve(code))
    ),
    kernel.sleep(MAX_EXIT_MS).then(() => "still there" as const),
  ]);
}

// A thread that waits to write to a blocking pipe would keep the process from its exit.
test("a process whose output nobody reads exits", async (t) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "jackdaw-output-"));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  // The pipes that are opened for a child are sockets, which block no thread.
  const pipe = path.join(folder, "pipe");
  childProcess.execFileSync("mkfifo", [pipe]);
  const { O_RDONLY, O_NONBLOCK, O_WRONLY } = fs.constants;
  const reader = fs.openSync(pipe, O_RDONLY | O_NONBLOCK);
  t.teardown(() => fs.closeSync(reader));
  const writer = fs.openSync(pipe, O_WRONLY);
  const child = startWriter(true, writer);
  fs.closeSync(writer);
  t.is(await waitForExit(child), 0);
  child.kill("SIGKILL");
});

// Guards against lost lines: a pipe took a part of a write, and the rest was not written again.
test("lines that are read late arrive whole", async (t) => {
  const child = startWriter(false, "pipe");
  const exited = waitForExit(child);
  const closed = new Promise((resolve) => child.once("close", resolve));
  await kernel.sleep(300);
  let text = "";
  child.stdout?.setEncoding("utf8").on("data", (part) => text += part);
  t.is(await exited, 0);
  await closed;
  t.is(text.length, LINES * (LINE.length + 1));
});
