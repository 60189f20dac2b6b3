/** Starts and stops the processes of a test deployment. Each is signalled by its own pid. */
import * as childProcess from "node:child_process";
import * as readline from "node:readline";
import * as url from "node:url";

/** Programs that tests start; `bundle_programs.ts` bundles them. */
export const PROGRAM_NAMES = ["jackdawd", "jackdawctl", "fakes"] as const;

export type ProgramName = typeof PROGRAM_NAMES[number];

const START_TIMEOUT_MS = 15_000;

/** Folder of the programs' bundles. */
export const PROGRAM_FOLDER = url.fileURLToPath(
  new URL("programs", import.meta.url),
);

function findProgram(name: ProgramName): string {
  return `${PROGRAM_FOLDER}/${name}.mjs`;
}

export class TestProcess {
  readonly name: string;
  readonly ports: Readonly<Record<string, number>>;
  readonly #child: childProcess.ChildProcess;
  readonly #exitCode: Promise<number>;
  readonly #log: string[];

  private constructor(
    name: string,
    child: childProcess.ChildProcess,
    state: {
      readonly ports: Readonly<Record<string, number>>;
      readonly exitCode: Promise<number>;
      readonly log: string[];
    },
  ) {
    this.name = name;
    this.#child = child;
    this.ports = state.ports;
    this.#exitCode = state.exitCode;
    this.#log = state.log;
  }

  /** Starts a program and waits for the line of output with its ports. */
  static async start(
    name: string,
    program: ProgramName,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<TestProcess> {
    const child = childProcess.spawn(process.execPath, [
      findProgram(program),
      ...args,
    ], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, NODE_ENV: "production", ...environment },
    });
    const log: string[] = [];
    readline.createInterface({ input: child.stderr }).on(
      "line",
      (line) => log.push(line),
    );
    const exitCode = new Promise<number>((resolve) => {
      child.once(
        "exit",
        (code, signal) => resolve(code ?? (signal === null ? 1 : 128)),
      );
    });
    const firstLine = new Promise<string>((resolve) => {
      readline.createInterface({ input: child.stdout }).once("line", resolve);
    });
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(
        () => reject(new Error(`${name} printed no ports in time`)),
        START_TIMEOUT_MS,
      );
    });
    const failure = exitCode.then((code) => {
      throw new Error(`${name} exited with code ${code}: ${log.join("; ")}`);
    });
    failure.catch(() => {});
    let line: string;
    try {
      line = await Promise.race([firstLine, failure, timeout]);
    } catch (thrown) {
      child.kill("SIGKILL");
      throw thrown;
    } finally {
      clearTimeout(timer);
    }
    const { isReady: _, ...ports } = JSON.parse(line) as Record<string, number>;
    return new TestProcess(name, child, { ports, exitCode, log });
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Lines of standard error. */
  get log(): readonly string[] {
    return this.#log;
  }

  /** Returns a port by its name; throws if the process has no such port. */
  port(name: string): number {
    const port = this.ports[name];
    if (port === undefined) throw new Error(`${this.name} has no port ${name}`);
    return port;
  }

  sendSignal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  suspend(): void {
    this.sendSignal("SIGSTOP");
  }

  resume(): void {
    this.sendSignal("SIGCONT");
  }

  /** Waits until the process exits; resolves with the exit code, 128 after a signal. */
  waitForExit(): Promise<number> {
    return this.#exitCode;
  }

  async kill(): Promise<void> {
    if (!this.isRunning) return;
    this.sendSignal("SIGKILL");
    await this.#exitCode;
  }

  /** Sends SIGTERM for a graceful shutdown; resolves with the exit code. */
  async stop(): Promise<number> {
    if (this.isRunning) this.sendSignal("SIGTERM");
    return await this.#exitCode;
  }
}

/** Exit code and output of a program. */
export interface ProgramOutput {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a program until it exits. */
export function runProgram(
  program: ProgramName,
  args: readonly string[],
): Promise<ProgramOutput> {
  return new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      [findProgram(program), ...args],
      { maxBuffer: 64 * 1_048_576 },
      (error, stdout, stderr) => {
        const code = error === null
          ? 0
          : typeof error.code === "number"
          ? error.code
          : 1;
        resolve({ code, stdout, stderr });
      },
    );
  });
}

/** Waits for a condition; throws with its description after the time-out. */
export async function waitFor(
  condition: string,
  isMet: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!await isMet()) {
    if (performance.now() >= deadlineMs) {
      throw new Error(`condition not met within ${timeoutMs} ms: ${condition}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}
