/** Counters and latency histograms of a router, served as text for scraping. */
import * as http from "node:http";
import * as prom from "prom-client";
import type * as ports from "./ports.ts";

/** Bounds of the latency buckets, from a fast plain service to a long stream. */
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
const MS_PER_S = 1_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** The metrics of one process. */
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
    help: "Sends to replicas by service and outcome",
    labelNames: ["service", "outcome"],
    registers: [this.#registry],
  });
  readonly #firstByte = new prom.Histogram({
    name: "jackdaw_first_byte_seconds",
    help: "Time from a request's arrival to the first byte of its answer",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #duration = new prom.Histogram({
    name: "jackdaw_request_seconds",
    help: "Time from a request's arrival to the end of its answer",
    labelNames: ["route"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #events = new prom.Counter({
    name: "jackdaw_events_total",
    help: "Other events: connections opened, control calls, dropped log lines",
    labelNames: ["event"],
    registers: [this.#registry],
  });
  readonly #gauges = new prom.Gauge({
    name: "jackdaw_state",
    help: "Current values: requests in flight, replicas, configuration's age",
    labelNames: ["name"],
    registers: [this.#registry],
  });

  countRequest(route: string, outcome: string): void {
    this.#requests.inc({ route, outcome });
  }

  countAttempt(service: string, outcome: string): void {
    this.#attempts.inc({ service, outcome });
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

  setGauge(name: string, value: number): void {
    this.#gauges.set({ name }, value);
  }

  render(): Promise<string> {
    return this.#registry.metrics();
  }
}

/** Serves the metrics of a process. */
export class MetricsServer {
  readonly #server: http.Server;

  constructor(telemetry: Telemetry, path: string, refresh: () => void) {
    this.#server = http.createServer((request, response) => {
      if (request.url !== path) {
        response.writeHead(HTTP_NOT_FOUND).end();
        return;
      }
      refresh();
      void telemetry.render().then((text) => {
        response.writeHead(HTTP_OK, { "content-type": "text/plain" });
        response.end(text);
      });
    });
  }

  listen(address: ports.Address): Promise<number> {
    return listen(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Resolves with the port when a server listens; rejects when the address cannot be had. */
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
