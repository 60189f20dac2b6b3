/** Runs a router in the test's process, with fakes of the platform's store and replicas. */
import * as net from "node:net";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as platform from "@jackdawbank/platform";
import * as router from "@jackdawbank/router";

export const {
  ACCOUNT,
  DRAFT,
  HOST,
  KEY,
  ROUTES,
  buildConfiguration,
  isSmallModel,
} = fakes.samples;

const BASE_SETTINGS: router.RouterSettings = {
  vmName: "edge-1",
  ip: "127.0.0.1",
  dataCentre: "a",
  callers: { host: "127.0.0.1", port: 0 },
  readiness: { host: "127.0.0.1", port: 0 },
  peerPort: 0,
  graceMs: 3_000,
  changeBoundMs: 1_500,
  revocationBoundMs: 5_000,
  retryRatio: 0.9,
  retryWindowMs: 10_000,
  retrySlack: 500,
  exposureShare: 0.15,
  sessionGapMs: 5_000,
  prefixReuseWindowMs: 10_000,
  regionByDataCentre: new Map(),
  coldRateBound: undefined,
  memoryBytes: undefined,
  fileDescriptors: undefined,
};

class MemorySink implements router.LineSink {
  text = "";
  isBlocked = false;

  write(text: string, onDone: (error: Error | null) => void): void {
    this.text += text;
    if (!this.isBlocked) onDone(null);
  }
}

/** Resolves with all that is received on a connection until it closes. */
export function readToEnd(socket: net.Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    let received = "";
    socket.on("data", (chunk: Buffer) => received += chunk.toString("utf8"));
    socket.on("close", () => resolve(received));
    socket.on("error", reject);
  });
}

/** A router with its fake store and replicas; `close` stops all of them. */
export class PlatformHarness {
  readonly store: fakes.FakePlatformStore;
  readonly replicas = new Map<string, fakes.FakeReplica>();
  readonly #caller = new fakes.PlatformCaller(() => this.ports.callers);
  readonly #sink = new MemorySink();
  #router: router.Router | undefined;
  #log: router.DecisionLog | undefined;
  ports: router.RouterPorts = {
    callers: 0,
    readiness: 0,
    metrics: undefined,
  };

  readonly #vmName: string;

  /** Entries of one installation share a store and have different VM names. */
  constructor(store = new fakes.FakePlatformStore(), vmName = "edge-1") {
    this.store = store;
    this.#vmName = vmName;
  }

  get router(): router.Router {
    return this.#router as router.Router;
  }

  /** Finds the log lines of an event, in order. */
  findLogLines(event: string): readonly Readonly<Record<string, unknown>>[] {
    return this.findLogLinesOfAny([event]);
  }

  /** Finds the log lines of any of the events, in order. */
  findLogLinesOfAny(
    events: readonly string[],
  ): readonly Readonly<Record<string, unknown>>[] {
    this.#log?.flush();
    return this.#sink.text.split("\n").filter((line) => line !== "")
      .map((line) => JSON.parse(line) as Record<string, unknown>)
      .filter((line) => events.includes(String(line["event"])));
  }

  /** From now on, no write of log lines ends. */
  blockLog(): void {
    this.#sink.isBlocked = true;
  }

  async startStore(): Promise<void> {
    await this.store.listen();
  }

  /** Starts a fake replica and registers it in the store; `answer` decides its answers. */
  async addReplica(
    id: string,
    service: string,
    answer: (
      request: fakes.ReceivedRequest,
      count: number,
    ) => fakes.ReplicaBehaviour,
    overrides: Readonly<Record<string, unknown>> = {},
  ): Promise<fakes.FakeReplica> {
    const replica = new fakes.FakeReplica(id, answer);
    await replica.listen();
    this.replicas.set(id, replica);
    this.store.putReplica(id, replica.buildEntry(service, overrides));
    return replica;
  }

  async startRouter(
    overrides: Partial<router.RouterSettings> = {},
    wrapControlPlane: (plane: router.ControlPlane) => router.ControlPlane = (
      plane,
    ) => plane,
  ): Promise<void> {
    const clock = new kernel.SystemClock();
    this.#log = new router.DecisionLog(clock, { vm: this.#vmName }, this.#sink);
    this.#router = new router.Router({
      settings: { ...BASE_SETTINGS, vmName: this.#vmName, ...overrides },
      controlPlane: wrapControlPlane(
        new platform.PlatformStore({
          host: "127.0.0.1",
          port: this.store.port,
        }),
      ),
      codec: new platform.PlatformCodec(),
      clock,
      log: this.#log,
      random: Math.random,
      metrics: { port: 0, path: "/metrics" },
    });
    this.ports = await this.#router.start();
  }

  /** Stores a configuration unless there is one, starts the router and waits until it is ready. */
  async start(
    overrides: Partial<router.RouterSettings> = {},
    wrapControlPlane?: (plane: router.ControlPlane) => router.ControlPlane,
  ): Promise<void> {
    if (!this.store.hasConfiguration) {
      this.store.putConfiguration(buildConfiguration());
    }
    await this.startRouter(overrides, wrapControlPlane);
    await this.waitFor(() => this.router.isReady);
  }

  async waitFor(condition: () => boolean, timeoutMs = 4_000): Promise<void> {
    const endAtMs = Date.now() + timeoutMs;
    while (!condition()) {
      if (Date.now() > endAtMs) throw new Error("condition not met in time");
      await kernel.sleep(5);
    }
  }

  /** Sends a request to the router as a caller. */
  call(
    path: string,
    options: fakes.CallOptions = {},
  ): Promise<fakes.CallerResponse> {
    return this.#caller.call(path, options);
  }

  /** Opens a connection to the router. */
  connect(): Promise<net.Socket> {
    return new Promise((resolve, reject) => {
      const socket = net.connect(this.ports.callers, "127.0.0.1");
      socket.once("error", reject);
      socket.once("connect", () => resolve(socket));
    });
  }

  /** Sends raw text; resolves with all that is received until the connection closes. */
  async sendRaw(text: string): Promise<string> {
    const socket = await this.connect();
    const received = readToEnd(socket);
    socket.write(text);
    return await received;
  }

  async close(): Promise<void> {
    await this.#router?.close();
    for (const replica of this.replicas.values()) await replica.close();
    await this.store.close();
  }
}

/** Runs a test with a harness whose store is listening, then closes the harness. */
export async function withHarness(
  run: (harness: PlatformHarness) => Promise<void>,
): Promise<void> {
  const harness = new PlatformHarness();
  await harness.startStore();
  try {
    await run(harness);
  } finally {
    await harness.close();
  }
}
