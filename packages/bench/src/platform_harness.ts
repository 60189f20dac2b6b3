/** A router in this process, before stand-ins of the platform's store and replicas. */
import * as http from "node:http";
import type * as net from "node:net";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as platform from "@jackdawbank/platform";
import * as router from "@jackdawbank/router";

export const HOST = "shop.example";
export const KEY = "key-of-lodge";
export const ACCOUNT = "lodge";

/** Routes of the harness, by what may be repeated. */
export const ROUTES = {
  order: "/order/",
  check: "/check/",
  draft: "/draft/",
  open: "/open/",
} as const;

const BASE_SETTINGS: router.RouterSettings = {
  vmName: "edge-1",
  ip: "127.0.0.1",
  dataCentre: "a",
  callers: { host: "127.0.0.1", port: 0 },
  readiness: { host: "127.0.0.1", port: 0 },
  graceMs: 3_000,
  revocationBoundMs: 5_000,
  retryRatio: 0.9,
  retryWindowMs: 10_000,
  retrySlack: 500,
  exposureShare: 0.15,
  sessionGapMs: 5_000,
  prefixReuseMs: 10_000,
};

/** The operator's configuration in the platform's format. */
export function buildConfiguration(
  overrides: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  const shared = { hostname: HOST, priority: 0, public: false };
  return {
    version: 1,
    routes: [
      {
        ...shared,
        name: "order",
        pathPrefix: ROUTES.order,
        type: "non_idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 1,
      },
      {
        ...shared,
        name: "check",
        pathPrefix: ROUTES.check,
        type: "idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 2,
      },
      {
        ...shared,
        name: "draft",
        pathPrefix: ROUTES.draft,
        type: "streaming",
        service: "llm",
        timeoutMs: 5_000,
        targetLatencyMs: 500,
        maxAttempts: 3,
        sizes: ["small", "large"],
        sessionAffinity: true,
        streamResume: true,
        gapTargetMs: 400,
      },
      {
        ...shared,
        name: "open",
        pathPrefix: ROUTES.open,
        type: "idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 2,
        public: true,
      },
    ],
    services: [
      { name: "desk", healthPath: "/healthz", maxConnections: 96 },
      {
        name: "llm",
        healthPath: "/healthz",
        maxConnections: 230,
        engine: {
          slots: 8,
          kvCapacity: 100_000,
          models: [{ name: "small", cost: 0.02 }, { name: "large", cost: 0.3 }],
        },
      },
    ],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: ACCOUNT, apiKeys: [KEY], priority: 1 }],
    ...overrides,
  };
}

/** A caller's whole answer. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** The connection broke before the answer's end. */
  readonly isCut: boolean;
}

/** Collects log lines. */
class MemorySink implements router.LineSink {
  text = "";

  write(text: string, onDone: (error: Error | null) => void): void {
    this.text += text;
    onDone(null);
  }
}

let attempts = 0;

/** The harness; `close` ends everything that it started. */
export class PlatformHarness {
  readonly store = new fakes.FakeKvStore();
  readonly replicas = new Map<string, fakes.FakeReplica>();
  readonly #sink = new MemorySink();
  #router: router.Router | undefined;
  #log: router.DecisionLog | undefined;
  #storePort = 0;
  ports: router.RouterPorts = {
    callers: 0,
    readiness: 0,
    metrics: undefined,
  };

  get router(): router.Router {
    return this.#router as router.Router;
  }

  /** Lines of the log with the given event. */
  listLog(event: string): readonly Readonly<Record<string, unknown>>[] {
    this.#log?.flush();
    return this.#sink.text.split("\n").filter((line) => line !== "")
      .map((line) => JSON.parse(line) as Record<string, unknown>)
      .filter((line) => line["event"] === event);
  }

  async startStore(): Promise<void> {
    this.#storePort = await this.store.listen();
  }

  /** Adds a replica that answers as told, and its entry. */
  async addReplica(
    id: string,
    service: string,
    answer: (seen: fakes.SeenRequest, count: number) => fakes.ReplicaAnswer,
    overrides: Readonly<Record<string, unknown>> = {},
  ): Promise<fakes.FakeReplica> {
    const replica = new fakes.FakeReplica(id, answer);
    await replica.listen();
    this.replicas.set(id, replica);
    this.store.put(`servers/${id}`, replica.describe(service, overrides));
    return replica;
  }

  async startRouter(
    overrides: Partial<router.RouterSettings> = {},
  ): Promise<void> {
    const clock = new kernel.SystemClock();
    this.#log = new router.DecisionLog(clock, { vm: "edge-1" }, this.#sink);
    this.#router = new router.Router({
      settings: { ...BASE_SETTINGS, ...overrides },
      plane: new platform.PlatformStore({
        host: "127.0.0.1",
        port: this.#storePort,
      }),
      codec: new platform.PlatformCodec(),
      clock,
      log: this.#log,
      random: Math.random,
      metrics: { port: 0, path: "/metrics" },
    });
    this.ports = await this.#router.start();
  }

  /** Starts store, configuration and router; waits until it is ready. */
  async start(overrides: Partial<router.RouterSettings> = {}): Promise<void> {
    if (this.#storePort === 0) await this.startStore();
    if (this.store.read("op/config") === undefined) {
      this.store.put("op/config", buildConfiguration());
    }
    await this.startRouter(overrides);
    await this.waitFor(() => this.router.isReady);
  }

  async waitFor(condition: () => boolean, timeoutMs = 4_000): Promise<void> {
    const endAtMs = Date.now() + timeoutMs;
    while (!condition()) {
      if (Date.now() > endAtMs) throw new Error("condition not met in time");
      await kernel.sleep(5);
    }
  }

  /** Sends a request as a caller does. */
  call(
    path: string,
    options: {
      readonly method?: string;
      readonly headers?: Readonly<Record<string, string>>;
      readonly body?: string;
      readonly key?: string | undefined;
      readonly signal?: AbortSignal;
      readonly agent?: http.Agent;
    } = {},
  ): Promise<CallerAnswer> {
    attempts += 1;
    const key = "key" in options ? options.key : KEY;
    const request = http.request({
      host: "127.0.0.1",
      port: this.ports.callers,
      path,
      method: options.method ?? "GET",
      agent: options.agent ?? false,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
      headers: {
        host: HOST,
        "x-jackdawbank-attempt-id": `attempt-${attempts}`,
        "x-jackdawbank-deadline-ms": "5000",
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
        ...options.headers,
      },
    });
    request.end(options.body);
    return collect(request);
  }

  /** Sends raw bytes and returns all that comes back. */
  sendRaw(text: string): Promise<string> {
    return new Promise((resolve, reject) => {
      const socket = (http.globalAgent as unknown as {
        createConnection: (options: net.NetConnectOpts) => net.Socket;
      }).createConnection({ host: "127.0.0.1", port: this.ports.callers });
      let received = "";
      socket.on("data", (chunk: Buffer) => received += chunk.toString("utf8"));
      socket.on("close", () => resolve(received));
      socket.on("error", reject);
      socket.write(text);
    });
  }

  async close(): Promise<void> {
    await this.#router?.close();
    for (const replica of this.replicas.values()) await replica.close();
    await this.store.close();
  }
}

function collect(request: http.ClientRequest): Promise<CallerAnswer> {
  return new Promise((resolve, reject) => {
    request.on("error", reject);
    request.on("response", (response) => {
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (text: string) => body += text);
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isCut: !response.complete,
        }));
    });
  });
}
