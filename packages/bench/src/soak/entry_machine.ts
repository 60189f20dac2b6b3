/** One VM of the soak: its address and settings file, and the lives of its process. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as readline from "node:readline";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import type * as facts from "./facts.ts";

/** The same on all VMs, which differ in their IP addresses. */
export const CALLERS_PORT = 8_227;
const READINESS_PORT = 8_220;
const INTERNAL_PORTS = [7_340, 7_355] as const;
const READINESS_TIMEOUT_MS = 900;
const HEAP_LIMIT_MB = 96;
const STARTED_EVENT = '"event":"process.started"';
const RESTART_DELAY_MS = 300;
/** Time of which a throttled process runs for a part. */
const QUOTA_PERIOD_MS = 100;
const QUOTA_RUN_MS = 20;
const STARVATION_CHECK_MS = 200;
/** A process that waits for a processor for this share of the time counts as slowed down. */
const STARVATION_SHARE = 0.25;
const NS_PER_MS = 1_000_000;

/** Of a disturbance by lack of processor time. */
export const BUSY_REASON = "the machine was busy";

export interface EntryMachineOptions {
  readonly index: number;
  readonly ip: string;
  readonly dataCentre: string;
  readonly graceMs: number;
  /** Time beyond the grace period after which a stopping process is killed. */
  readonly killSlackMs: number;
  readonly storePort: number;
  readonly settingsPath: string;
  /** Program that is run as `platform-entry`. */
  readonly program: string;
  readonly nextSerial: () => number;
}

/** Time for which a process has waited for a processor so far. */
function readRunDelayMs(pid: number): number {
  try {
    const text = fs.readFileSync(`/proc/${pid}/schedstat`, "utf8");
    return Number(text.split(" ")[1]) / NS_PER_MS;
  } catch {
    return 0;
  }
}

class Life {
  readonly serial: number;
  readonly startedAtMs = performance.now();
  readonly child: childProcess.ChildProcess;
  readonly signals: facts.SignalFact[] = [];
  readonly log: string[] = [];
  exit: facts.ProcessFact["exit"];

  constructor(serial: number, program: string, settingsPath: string) {
    this.serial = serial;
    this.child = childProcess.spawn(
      process.execPath,
      [program, "platform-entry"],
      {
        stdio: ["ignore", "pipe", "pipe"],
        env: {
          ...process.env,
          NODE_ENV: "production",
          NODE_OPTIONS: `--max-old-space-size=${HEAP_LIMIT_MB}`,
          ...fakes.samples.buildEnvironment(settingsPath),
        },
      },
    );
    for (const stream of [this.child.stdout, this.child.stderr]) {
      if (stream === null) continue;
      readline.createInterface({ input: stream }).on(
        "line",
        (line) => this.log.push(line),
      );
    }
  }
}

export class EntryMachine {
  readonly #options: EntryMachineOptions;
  readonly #lives: Life[] = [];
  readonly #disturbances: facts.DisturbanceFact[] = [];
  readonly #timers = new Set<NodeJS.Timeout>();
  #isClosed = false;
  #settingsVersion = 0;
  #misses = 2;

  constructor(options: EntryMachineOptions) {
    this.#options = options;
  }

  get ip(): string {
    return this.#options.ip;
  }

  get currentSerial(): number {
    return this.#lives.at(-1)?.serial ?? 0;
  }

  /** Whether the platform sends new connections here: it failed fewer than two probes in a row. */
  get isInRotation(): boolean {
    return this.#misses < 2;
  }

  get disturbances(): readonly facts.DisturbanceFact[] {
    return this.#disturbances;
  }

  start(): void {
    if (this.#isClosed) return;
    this.#writeSettings();
    const { nextSerial, program, settingsPath } = this.#options;
    const life = new Life(nextSerial(), program, settingsPath);
    this.#lives.push(life);
    this.#watchStarvation(life);
    life.child.once("exit", (code, signal) => {
      life.exit = { atMs: performance.now(), code, signal };
      this.#schedule(RESTART_DELAY_MS, () => this.start());
    });
  }

  /** Records a span in which the machine had no processor left for the process. */
  #watchStarvation(life: Life): void {
    let lastMs = performance.now();
    let lastDelayMs = 0;
    const check = () => {
      if (life.exit !== undefined) return;
      const nowMs = performance.now();
      const delayMs = readRunDelayMs(life.child.pid ?? 0);
      if (delayMs - lastDelayMs >= STARVATION_SHARE * STARVATION_CHECK_MS) {
        this.#disturbances.push({
          fromMs: lastMs,
          untilMs: nowMs,
          serial: life.serial,
          reason: BUSY_REASON,
        });
      }
      lastMs = nowMs;
      lastDelayMs = delayMs;
      this.#schedule(STARVATION_CHECK_MS, check);
    };
    check();
  }

  /** Sends SIGTERM; the process is killed at the end of its grace period. */
  terminate(): void {
    const life = this.#started;
    if (life === undefined) return;
    const isFirst = !life.signals.some(({ signal }) => signal === "SIGTERM");
    this.#signal(life, "SIGTERM");
    if (!isFirst) return;
    const { graceMs, killSlackMs } = this.#options;
    this.#schedule(graceMs + killSlackMs, () => {
      if (life.exit === undefined) this.#signal(life, "SIGKILL");
    });
  }

  kill(): void {
    const life = this.#running;
    if (life !== undefined) this.#signal(life, "SIGKILL");
  }

  reload(): void {
    const life = this.#started;
    this.#writeSettings();
    if (life !== undefined) this.#signal(life, "SIGHUP");
  }

  pause(durationMs: number): void {
    const life = this.#running;
    if (life === undefined) return;
    this.#recordDisturbance(life, durationMs, "pause");
    life.child.kill("SIGSTOP");
    this.#schedule(durationMs, () => life.child.kill("SIGCONT"));
  }

  throttle(durationMs: number): void {
    const life = this.#running;
    if (life === undefined) return;
    this.#recordDisturbance(life, durationMs, "throttle");
    const untilMs = performance.now() + durationMs;
    const repeat = () => {
      if (life.exit !== undefined || performance.now() >= untilMs) return;
      life.child.kill("SIGSTOP");
      this.#schedule(QUOTA_PERIOD_MS - QUOTA_RUN_MS, () => {
        life.child.kill("SIGCONT");
        this.#schedule(QUOTA_RUN_MS, repeat);
      });
    };
    repeat();
  }

  /** Asks for readiness once, as the platform does each second. */
  async probe(): Promise<void> {
    const isReady = await new Promise<boolean>((resolve) => {
      const request = http.get({
        host: this.ip,
        port: READINESS_PORT,
        path: fakes.samples.READINESS_PATH,
        agent: false,
        timeout: READINESS_TIMEOUT_MS,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
    });
    this.#misses = isReady ? 0 : this.#misses + 1;
  }

  readFacts(): readonly facts.ProcessFact[] {
    return this.#lives.map((
      { serial, startedAtMs, exit, signals, log },
    ) => ({
      serial,
      entry: this.#options.index,
      startedAtMs,
      exit,
      signals: [...signals],
      log: [...log],
    }));
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    for (const timer of this.#timers) clearTimeout(timer);
    const life = this.#running;
    if (life === undefined) return;
    const exited = new Promise((resolve) => life.child.once("exit", resolve));
    life.child.kill("SIGKILL");
    await exited;
  }

  get #running(): Life | undefined {
    const life = this.#lives.at(-1);
    return life?.exit === undefined ? life : undefined;
  }

  /** The process, if it is far enough to handle signals. */
  get #started(): Life | undefined {
    const life = this.#running;
    const isStarted = life?.log.some((line) => line.includes(STARTED_EVENT));
    return isStarted === true ? life : undefined;
  }

  #signal(life: Life, signal: facts.SignalFact["signal"]): void {
    life.signals.push({ signal, atMs: performance.now() });
    life.child.kill(signal);
  }

  #recordDisturbance(life: Life, durationMs: number, reason: string): void {
    const fromMs = performance.now();
    const untilMs = fromMs + durationMs;
    this.#disturbances.push({ fromMs, untilMs, serial: life.serial, reason });
  }

  #writeSettings(): void {
    const { index, ip, dataCentre, graceMs, storePort, settingsPath } =
      this.#options;
    this.#settingsVersion += 1;
    const settings = fakes.samples.renderSettings(
      { callers: CALLERS_PORT, readiness: READINESS_PORT, store: storePort },
      {
        name: `edge-${index}`,
        ip,
        dataCentre,
        graceMs,
        internalPorts: INTERNAL_PORTS,
      },
    );
    fs.writeFileSync(settingsPath, `# ${this.#settingsVersion}\n${settings}`);
  }

  #schedule(delayMs: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      run();
    }, delayMs);
    this.#timers.add(timer);
  }
}

/** Waits until all machines are in rotation. */
export async function waitUntilReady(
  machines: readonly EntryMachine[],
  timeoutMs: number,
): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  for (;;) {
    await Promise.all(machines.map((machine) => machine.probe()));
    if (machines.every((machine) => machine.isInRotation)) return;
    if (performance.now() > untilMs) throw new Error("entries are not ready");
    await kernel.sleep(100);
  }
}
