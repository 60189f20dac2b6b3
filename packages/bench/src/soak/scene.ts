/** Plays a schedule: starts entries and stand-ins, plays the events, and gathers the facts. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as kernel from "@jackdawbank/kernel";
import * as clients from "./client.ts";
import type * as facts from "./facts.ts";
import * as machines from "./entry_machine.ts";
import type * as plans from "./plan.ts";
import * as standIns from "./stand_ins.ts";

const START_TIMEOUT_MS = 60_000;
const PROBE_INTERVAL_MS = 1_000;
const LAG_INTERVAL_MS = 20;
/** Machines in each /24 network of the loopback range. */
const NETWORK_SIZE = 250;
const FIRST_NETWORK = 10;
const NETWORKS = 200;

export interface PlayOptions {
  /** Folder with the program of the entries. */
  readonly programFolder: string;
  readonly killSlackMs: number;
}

/** Plays a schedule to its end. */
export async function play(
  plan: plans.SoakPlan,
  options: PlayOptions,
): Promise<facts.SoakFacts> {
  const scene = new Scene(plan, options);
  try {
    return await scene.run();
  } finally {
    await scene.close();
  }
}

class Scene {
  readonly #plan: plans.SoakPlan;
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "jackdaw-soak-"));
  readonly #standIns: standIns.StandIns;
  readonly #options: PlayOptions;
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #work = new Set<Promise<void>>();
  readonly #requests: facts.RequestFact[] = [];
  readonly #strayConnections: string[] = [];
  #machines: readonly machines.EntryMachine[] = [];
  #serials = 0;
  #connections = 0;
  #ownLagMs = 0;

  constructor(plan: plans.SoakPlan, options: PlayOptions) {
    this.#plan = plan;
    this.#options = options;
    this.#standIns = new standIns.StandIns(plan);
  }

  async run(): Promise<facts.SoakFacts> {
    const plan = this.#plan;
    await this.#standIns.start(plan.replicas);
    this.#machines = Array.from(
      { length: plan.entries },
      (_, index) => this.#createMachine(index),
    );
    for (const machine of this.#machines) machine.start();
    await machines.waitUntilReady(this.#machines, START_TIMEOUT_MS);
    this.#watchOwnLag();
    this.#timers.push(setInterval(() => {
      for (const machine of this.#machines) void machine.probe();
    }, PROBE_INTERVAL_MS));
    const callers = plan.clients.map((client) =>
      new clients.SoakClient(client, {
        seed: plan.seed,
        machines: this.#machines,
        nextConnection: () => this.#connections += 1,
        onRequest: (request) => this.#requests.push(request),
        onStray: (text) => this.#strayConnections.push(text),
      })
    );
    const calls = Promise.all(callers.map((caller) => caller.run()));
    for (const event of plan.events) {
      this.#timers.push(setTimeout(() => this.#begin(event), event.atMs));
    }
    // The last stop has its grace period, too.
    await kernel.sleep(plan.durationMs + plan.graceMs);
    for (const caller of callers) caller.stop();
    await calls;
    return this.#readFacts();
  }

  async close(): Promise<void> {
    for (const timer of this.#timers) clearTimeout(timer);
    await Promise.all(this.#machines.map((machine) => machine.close()));
    await Promise.all(this.#work);
    await this.#standIns.close();
    fs.rmSync(this.#folder, { recursive: true });
  }

  #createMachine(index: number): machines.EntryMachine {
    const { dataCentres, graceMs } = this.#plan;
    const network = process.pid % (NETWORKS * NETWORK_SIZE);
    return new machines.EntryMachine({
      index,
      // Plays at the same time must not meet.
      ip: `127.${FIRST_NETWORK + Math.floor(network / NETWORK_SIZE)}.${
        network % NETWORK_SIZE
      }.${index + 1}`,
      dataCentre: dataCentres[index % dataCentres.length] as string,
      graceMs,
      killSlackMs: this.#options.killSlackMs,
      storePort: this.#standIns.store.port,
      settingsPath: path.join(this.#folder, `settings-${index}.toml`),
      program: path.join(this.#options.programFolder, "jackdawd.mjs"),
      nextSerial: () => this.#serials += 1,
    });
  }

  #watchOwnLag(): void {
    let lastMs = performance.now();
    this.#timers.push(setInterval(() => {
      const nowMs = performance.now();
      this.#ownLagMs = Math.max(
        this.#ownLagMs,
        nowMs - lastMs - LAG_INTERVAL_MS,
      );
      lastMs = nowMs;
    }, LAG_INTERVAL_MS));
  }

  #begin(event: plans.SoakEvent): void {
    const work = this.#apply(event);
    this.#work.add(work);
    void work.finally(() => this.#work.delete(work));
  }

  async #apply(event: plans.SoakEvent): Promise<void> {
    const machine = "entry" in event ? this.#machines[event.entry] : undefined;
    switch (event.type) {
      case "terminate":
        return machine?.terminate();
      case "kill":
        return machine?.kill();
      case "reload":
        return machine?.reload();
      case "pause":
        return machine?.pause(event.durationMs);
      case "throttle":
        return machine?.throttle(event.durationMs);
      case "add-route":
        return this.#standIns.addRoute();
      case "change-timeouts":
        return this.#standIns.changeTimeouts(event.factor);
      case "replace-replica":
        return await this.#standIns.replace(event.replica, event.leaveAfterMs);
      case "replica-fault":
        return this.#standIns.setFault(
          event.replica,
          event.fault,
          event.share,
          event.durationMs,
        );
      case "store-trouble":
        return await this.#standIns.disturbStore(event.mode, event.durationMs);
      case "compact-store":
        return this.#standIns.store.compact();
    }
  }

  #readFacts(): facts.SoakFacts {
    return {
      seed: this.#plan.seed,
      graceMs: this.#plan.graceMs,
      timeoutFactors: this.#standIns.timeoutFactors,
      processes: this.#machines.flatMap((machine) => machine.readFacts()),
      disturbances: [
        ...this.#standIns.disturbances,
        ...this.#machines.flatMap((machine) => machine.disturbances),
      ],
      requests: this.#requests,
      runs: this.#standIns.readRuns(),
      strayConnections: this.#strayConnections,
      ownLagMs: this.#ownLagMs,
    };
  }
}
