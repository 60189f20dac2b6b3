/** Prometheus counters, gauges and latency histograms of a router. */
import type * as http from "node:http";
import * as prom from "prom-client";
import type * as faults from "./answer_fault.ts";
import type * as ports from "./ports.ts";
import * as sides from "./side_listener.ts";

/** Histogram buckets, from fast buffered responses to long streams. */
const LATENCY_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2,
  4,
  8,
  16,
  32,
];
/** Histogram buckets of work that holds the event loop. */
const BUSY_BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25];
const MS_PER_S = 1_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Metrics of one process. */
export class Telemetry {
  readonly #registry = new prom.Registry();
  readonly #requests = new prom.Counter({
    name: "jackdaw_requests_total",
    help: "Requests by route and outcome",
    labelNames: ["route", "outcome"],
    registers: [this.#registry],
  });
  readonly #attempts = new prom.Counter({
    name: "jackdaw_attempts_total",
    help: "Attempts sent to replicas by service and outcome",
    labelNames: ["service", "outcome"],
    registers: [this.#registry],
  });
  readonly #faults = new prom.Counter({
    name: "jackdaw_answers_given_up_total",
    help: "Answers given up because of what the replica sent, by service",
    labelNames: ["service", "fault"],
    registers: [this.#registry],
  });
  readonly #firstByte = new prom.Histogram({
    name: "jackdaw_first_byte_seconds",
    help: "Time from a request's arrival to the first byte of its response",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #duration = new prom.Histogram({
    name: "jackdaw_request_seconds",
    help: "Time from a request's arrival to the end of its response",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #roomWait = new prom.Histogram({
    name: "jackdaw_room_wait_seconds",
    help: "Time for which prompts were held until there was room for them",
    labelNames: ["rank", "reason"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #controlDecode = new prom.Histogram({
    name: "jackdaw_control_decode_seconds",
    help: "Time for which decoding an answer of the control plane took the CPU",
    buckets: BUSY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #events = new prom.Counter({
    name: "jackdaw_events_total",
    help: "Other events: connections opened, control plane calls, peer reports",
    labelNames: ["event"],
    registers: [this.#registry],
  });
  readonly #gauges = new prom.Gauge({
    name: "jackdaw_state",
    help:
      "Current values: requests in flight, replicas, control plane view age",
    labelNames: ["name"],
    registers: [this.#registry],
  });

  countRequest(route: string, outcome: string): void {
    this.#requests.inc({ route, outcome });
  }

  countAttempt(service: string, outcome: string): void {
    this.#attempts.inc({ service, outcome });
  }

  countFault(service: string, fault: faults.AnswerFault): void {
    this.#faults.inc({ service, fault });
  }

  countEvent(event: string): void {
    this.#events.inc({ event });
  }

  observeFirstByte(route: string, durationMs: number): void {
    this.#firstByte.observe({ route }, durationMs / MS_PER_S);
  }

  observeRequest(route: string, durationMs: number): void {
    this.#duration.observe({ route }, durationMs / MS_PER_S);
  }

  observeRoomWait(rank: number, reason: string, durationMs: number): void {
    this.#roomWait.observe({ rank, reason }, durationMs / MS_PER_S);
  }

  observeControlDecode(durationMs: number): void {
    this.#controlDecode.observe(durationMs / MS_PER_S);
  }

  setGauge(name: string, value: number): void {
    this.#gauges.set({ name }, value);
  }

  render(): Promise<string> {
    return this.#registry.metrics();
  }
}

/** Answers requests to one further path of the metrics server. */
export interface MetricsEndpoint {
  readonly path: string;
  handle(request: http.IncomingMessage, response: http.ServerResponse): void;
}

/** Serves the metrics over HTTP; `refresh` updates the gauges before each scrape. */
export class MetricsServer {
  readonly #server: http.Server;

  constructor(
    telemetry: Telemetry,
    path: string,
    refresh: () => void,
    endpoint: MetricsEndpoint,
  ) {
    this.#server = sides.createSideServer(
      sides.METRICS_LIMITS,
      (request, response) => {
        if (request.url === endpoint.path && endpoint.path !== path) {
          endpoint.handle(request, response);
          return;
        }
        if (request.url !== path) {
          response.writeHead(HTTP_NOT_FOUND).end();
          return;
        }
        refresh();
        void telemetry.render().then((text) => {
          response.writeHead(HTTP_OK, { "content-type": "text/plain" });
          response.end(text);
        });
      },
    );
  }

  listen(address: ports.Address): Promise<number> {
    return listen(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Starts a server; resolves to its port, or rejects if the address cannot be bound. */
export function listen(
  server: http.Server,
  address: ports.Address,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      const bound = server.address();
      resolve(
        typeof bound === "object" && bound !== null ? bound.port : address.port,
      );
    });
  });
}
