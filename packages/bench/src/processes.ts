/** Starts and ends the processes of a test deployment, each by its own pid. */
import * as childProcess from "node:child_process";
import * as readline from "node:readline";
import * as url from "node:url";

/** Programs by their name. */
const PROGRAMS = {
  jackdawd: "../../jackdawd/dist/main.js",
  jackdawctl: "../../jackdawctl/dist/main.js",
  fakes: "../../fakes/dist/main.js",
} as const;

export type ProgramName = keyof typeof PROGRAMS;

const START_TIMEOUT_MS = 15_000;

function findProgram(name: ProgramName): string {
  return url.fileURLToPath(new URL(PROGRAMS[name], import.meta.url));
}

/** A running process. */
export class TestProcess {
  readonly name: string;
  readonly ports: Readonly<Record<string, number>>;
  readonly #child: childProcess.ChildProcess;
  readonly #ended: Promise<number>;
  readonly #log: string[];

  private constructor(
    name: string,
    child: childProcess.ChildProcess,
    state: {
      readonly ports: Readonly<Record<string, number>>;
      readonly ended: Promise<number>;
      readonly log: string[];
    },
  ) {
    this.name = name;
    this.#child = child;
    this.ports = state.ports;
    this.#ended = state.ended;
    this.#log = state.log;
  }

  /** Starts a program and waits for the line that names its ports. */
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
    const ended = new Promise<number>((resolve) => {
      child.once(
        "exit",
        (code, signal) => resolve(code ?? (signal === null ? 1 : 128)),
      );
    });
    const ready = new Promise<string>((resolve) => {
      readline.createInterface({ input: child.stdout }).once("line", resolve);
    });
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_, reject) => {
      timer = setTimeout(
        () => reject(new Error(`${name} did not start`)),
        START_TIMEOUT_MS,
      );
    });
    const failed = ended.then((code) => {
      throw new Error(`${name} ended with ${code}: ${log.join("; ")}`);
    });
    failed.catch(() => {});
    const line = await Promise.race([ready, failed, late]);
    clearTimeout(timer);
    const { isReady: _, ...ports } = JSON.parse(line) as Record<string, number>;
    return new TestProcess(name, child, { ports, ended, log });
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get log(): readonly string[] {
    return this.#log;
  }

  /** A port by its name; fails when the process has none of it. */
  port(name: string): number {
    const port = this.ports[name];
    if (port === undefined) throw new Error(`${this.name} has no ${name}`);
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

  /** Waits for the end; resolves with the exit code. */
  waitForExit(): Promise<number> {
    return this.#ended;
  }

  async kill(): Promise<void> {
    if (!this.isRunning) return;
    this.sendSignal("SIGKILL");
    await this.#ended;
  }

  /** Ends it in order. */
  async stop(): Promise<number> {
    if (this.isRunning) this.sendSignal("SIGTERM");
    return await this.#ended;
  }
}

/** Output of a program that ran to its end. */
export interface ProgramOutput {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a program to its end. */
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

/** Waits for a condition; fails with its name when the time is over. */
export async function waitFor(
  what: string,
  isMet: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const endAtMs = performance.now() + timeoutMs;
  while (!await isMet()) {
    if (performance.now() >= endAtMs) {
      throw new Error(`waited ${timeoutMs} ms in vain: ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}
