/**
 * Runs one entry process as it runs on the platform, on a machine with small
 * limits, and a crowd of callers that keep to none. What is checked does not
 * depend on the machine's speed: whether the process lives, its peak memory,
 * its open descriptors and the answer to an ordinary request.
 */
import * as fs from "node:fs";
import type * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import type * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as crowds from "./crowd.ts";
import * as processes from "./processes.ts";
import * as usages from "./process_usage.ts";

const { ROUTES, buildConfiguration } = fakes.samples;
const { renderHead } = fakes;
export { renderHead, ROUTES };

export const KB = 1_024;
export const MB = 1_048_576;
/** Largest body that the configuration of these tests allows. */
export const MAX_BODY_BYTES = MB;
/** Heap limit that the deploy file gives an entry. */
const HEAP_LIMIT_MB = 96;
/** Requests that each replica serves at once, unless the test says otherwise. */
const SLOTS = 64;
/** Long enough that an answer does not depend on the machine's speed. */
const ROUTE_TIMEOUT_MS = 10_000;
export const METRICS_PATH = "/metrics";
const HOLD_SAMPLE_INTERVAL_MS = 20;
/** A crowd that causes no further request for this time has done its part. */
const SETTLE_MS = 1_500;

/** Limits of the machine, as its settings state them. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
  /** Requests that each replica serves at once; an entry opens a sixth of that many connections. */
  readonly replicaSlots?: number;
  /** Connections that each replica takes; those of the sample configuration if absent. */
  readonly replicaConnections?: number;
  /** Limit of the entry's heap; that of the deploy file if absent. */
  readonly heapLimitMb?: number;
  /** Whether replicas crash when the requests that they hold exceed their memory. */
  readonly hasReplicaMemoryLimit?: boolean;
}

/** The machine's configuration, as far as it differs from the sample. */
interface MachineConfiguration {
  readonly routes: readonly unknown[];
  readonly services: readonly unknown[];
  readonly limits: Readonly<Record<string, number>>;
}

export async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

/** Waits for what a crowd has caused. */
export function settle(): Promise<void> {
  return kernel.sleep(SETTLE_MS);
}

/** Chunks of a body in the chunked encoding, without the end of the body. */
export function renderChunks(count: number, bytesPerChunk: number): Buffer {
  const chunk = `${bytesPerChunk.toString(16)}\r\n${
    "x".repeat(bytesPerChunk)
  }\r\n`;
  return Buffer.from(chunk.repeat(count));
}

/** One entry process with its store and replicas; `close` stops all of them. */
export class SmallMachine {
  readonly entry: processes.TestProcess;
  readonly usage: usages.ProcessUsage;
  readonly crowd: crowds.Crowd;
  /** Crowds at the other listeners of the entry. */
  readonly metricsCrowd: crowds.Crowd;
  readonly readinessCrowd: crowds.Crowd;
  readonly desk: fakes.FakeReplica;
  readonly engine: fakes.FakeReplica;
  readonly #store: fakes.FakePlatformStore;
  readonly #folder: string;
  readonly #configuration: MachineConfiguration;
  #configurationVersion = 1;
  readonly #caller: fakes.PlatformCaller;
  readonly #metricsPort: number;
  readonly #holdTimer: NodeJS.Timeout;
  #peakHeldBytes = 0;

  private constructor(parts: {
    readonly entry: processes.TestProcess;
    readonly callersPort: number;
    readonly metricsPort: number;
    readonly readinessPort: number;
    readonly store: fakes.FakePlatformStore;
    readonly desk: fakes.FakeReplica;
    readonly engine: fakes.FakeReplica;
    readonly folder: string;
    readonly configuration: MachineConfiguration;
  }) {
    this.entry = parts.entry;
    this.usage = new usages.ProcessUsage(parts.entry.pid);
    this.crowd = new crowds.Crowd(parts.callersPort);
    this.metricsCrowd = new crowds.Crowd(parts.metricsPort);
    this.readinessCrowd = new crowds.Crowd(parts.readinessPort);
    this.desk = parts.desk;
    this.engine = parts.engine;
    this.#store = parts.store;
    this.#metricsPort = parts.metricsPort;
    this.#folder = parts.folder;
    this.#configuration = parts.configuration;
    this.#caller = new fakes.PlatformCaller(() => parts.callersPort);
    this.#holdTimer = setInterval(() => {
      const heldBytes = this.desk.received
        .filter(({ path, wasCancelled }) =>
          path === ROUTES.order && !wasCancelled
        ).reduce((sum, { body }) => sum + body.length, 0);
      this.#peakHeldBytes = Math.max(this.#peakHeldBytes, heldBytes);
    }, HOLD_SAMPLE_INTERVAL_MS);
  }

  static async start(limits: MachineLimits): Promise<SmallMachine> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "jackdaw-memory-"));
    const store = new fakes.FakePlatformStore();
    const storePort = await store.listen();
    const desk = new fakes.FakeReplica("desk-1", () => ({ type: "ok" }));
    const engine = new fakes.FakeReplica("engine-1", () => ({
      type: "stream",
      events: 3,
      confidence: 90,
    }));
    await desk.listen();
    await engine.listen();
    const slots = limits.replicaSlots ?? SLOTS;
    store.putReplica(desk.id, desk.buildEntry("desk", { slots }));
    store.putReplica(engine.id, engine.buildEntry("llm", { slots }));
    const { routes, services } = buildConfiguration() as {
      readonly routes: readonly Readonly<Record<string, unknown>>[];
      readonly services: readonly Readonly<Record<string, unknown>>[];
    };
    const configuration = {
      routes: routes.map((route) => ({
        ...route,
        timeoutMs: ROUTE_TIMEOUT_MS,
      })),
      services: services.map((service) => ({
        ...service,
        maxConnections: limits.replicaConnections ?? service["maxConnections"],
      })),
      limits: {
        maxHeaderBytes: 8_192,
        maxBodyBytes: MAX_BODY_BYTES,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    };
    store.putConfiguration(buildConfiguration(configuration));
    const callersPort = await findFreePort();
    const metricsPort = await findFreePort();
    const readinessPort = await findFreePort();
    const settingsPath = path.join(folder, "settings.toml");
    const contracts = limits.hasReplicaMemoryLimit === true
      ? 'contracts = ["pressure"]\n'
      : "";
    // How old a confirmed configuration may be would depend on the machine's speed.
    const settings = fakes.samples.renderSettings({
      callers: callersPort,
      readiness: readinessPort,
      store: storePort,
    }).replace("strictRevocation = true", "strictRevocation = false");
    fs.writeFileSync(
      settingsPath,
      contracts + settings + `[limits]\nmemoryMb = ${limits.memoryMb}\n` +
        `fileDescriptors = ${limits.fileDescriptors}\n`,
    );
    const entry = await processes.TestProcess.start(
      "platform-entry",
      "jackdawd",
      ["platform-entry", "--metrics", `${metricsPort}${METRICS_PATH}`],
      {
        ...fakes.samples.buildEnvironment(settingsPath),
        NODE_OPTIONS: `--max-old-space-size=${
          limits.heapLimitMb ?? HEAP_LIMIT_MB
        }`,
      },
    );
    const machine = new SmallMachine({
      entry,
      callersPort,
      metricsPort,
      readinessPort,
      store,
      desk,
      engine,
      folder,
      configuration,
    });
    await machine.waitUntilServing();
    return machine;
  }

  /** Waits until an ordinary request is answered, or fails after long. */
  async waitUntilServing(): Promise<void> {
    await processes.waitFor(
      "the entry serves requests",
      async () => await this.callOrdinary() === 200,
    );
  }

  /** Sends one small request; resolves with its status, or why there is none. */
  async callOrdinary(
    headers: Readonly<Record<string, string>> = fakes.PATIENT_HEADERS,
  ): Promise<number | string> {
    try {
      const response = await this.#caller.call(ROUTES.check, { headers });
      return response.status === 200
        ? 200
        : `${response.status} ${response.body}`;
    } catch (thrown) {
      return kernel.describeThrown(thrown);
    }
  }

  /** Stores the next version of the configuration, with further routes; returns the version. */
  putConfiguration(addedRoutes: readonly unknown[]): number {
    this.#configurationVersion += 1;
    const { routes } = this.#configuration;
    this.#store.putConfiguration(buildConfiguration({
      ...this.#configuration,
      version: this.#configurationVersion,
      routes: [...routes, ...addedRoutes],
    }));
    return this.#configurationVersion;
  }

  /** Reads one of the entry's gauges; `undefined` if it has no such gauge. */
  async readGauge(name: string): Promise<number | undefined> {
    const response = await fetch(
      `http://127.0.0.1:${this.#metricsPort}${METRICS_PATH}`,
    );
    const lines = (await response.text()).split("\n");
    const prefix = `jackdaw_state{name="${name}"} `;
    const line = lines.find((line) => line.startsWith(prefix));
    return line === undefined ? undefined : Number(line.slice(prefix.length));
  }

  /** Places one order; resolves with its status, or why there is none. */
  async placeOrder(agent: http.Agent): Promise<number | string> {
    try {
      const response = await this.#caller.call(ROUTES.order, {
        method: "POST",
        body: "crates",
        agent,
        headers: fakes.PATIENT_HEADERS,
      });
      return response.status;
    } catch (thrown) {
      return kernel.describeThrown(thrown);
    }
  }

  /** Sends a prompt with further headers; resolves with its status, or why there is none. */
  async sendPrompt(
    agent: http.Agent,
    headers: Readonly<Record<string, string>>,
  ): Promise<number | string> {
    try {
      const response = await this.#caller.call(ROUTES.draft, {
        ...fakes.samples.DRAFT,
        agent,
        headers: {
          ...fakes.PATIENT_HEADERS,
          ...fakes.samples.DRAFT.headers,
          ...headers,
        },
      });
      return response.status;
    } catch (thrown) {
      return kernel.describeThrown(thrown);
    }
  }

  /** Most that the plain replica held at one time of orders which it never answered, in bytes. */
  get peakHeldBytes(): number {
    return this.#peakHeldBytes;
  }

  /** Waits until a replica has received so many requests, or no more come for some time. */
  async waitForRequests(
    replica: fakes.FakeReplica,
    count: number,
  ): Promise<void> {
    let seen = -1;
    while (replica.received.length < count && replica.received.length > seen) {
      seen = replica.received.length;
      await kernel.sleep(SETTLE_MS);
    }
    await kernel.sleep(SETTLE_MS);
  }

  /** Sends one request with the largest body allowed; resolves with its status, or why there is none. */
  async callLargest(): Promise<number | string> {
    try {
      const response = await this.#caller.call(ROUTES.order, {
        method: "POST",
        body: "x".repeat(MAX_BODY_BYTES),
        headers: fakes.PATIENT_HEADERS,
      });
      return response.status;
    } catch (thrown) {
      return kernel.describeThrown(thrown);
    }
  }

  /** The last lines that the entry wrote to its error output. */
  describeEnd(): string {
    return this.entry.log.filter((line) => /FATAL|Error/.test(line)).join("; ");
  }

  async close(): Promise<void> {
    this.crowd.close();
    this.metricsCrowd.close();
    this.readinessCrowd.close();
    this.usage.close();
    clearInterval(this.#holdTimer);
    await this.entry.kill();
    await this.desk.close();
    await this.engine.close();
    await this.#store.close();
    fs.rmSync(this.#folder, { recursive: true });
  }
}

/** Runs a test with an entry on a small machine, then stops both. */
export async function withSmallMachine(
  limits: MachineLimits,
  run: (machine: SmallMachine) => Promise<void>,
): Promise<void> {
  const machine = await SmallMachine.start(limits);
  try {
    await run(machine);
  } finally {
    await machine.close();
  }
}

/** Checks that the entry lives, stayed within its machine's limits, and serves an ordinary request. */
export async function assertWithinLimits(
  t: ava.ExecutionContext,
  machine: SmallMachine,
  limits: MachineLimits,
): Promise<void> {
  t.true(machine.entry.isRunning, machine.entry.log.slice(-5).join("; "));
  t.is(await machine.callOrdinary(), 200);
  const { peakMb, peakDescriptors } = machine.usage;
  t.log(`peak: ${peakMb} MB, ${peakDescriptors} descriptors`);
  t.true(peakMb <= limits.memoryMb, `peak of ${peakMb} MB`);
  t.true(
    peakDescriptors <= limits.fileDescriptors,
    `peak of ${peakDescriptors} descriptors`,
  );
  t.true(machine.entry.isRunning, machine.entry.log.slice(-5).join("; "));
}
