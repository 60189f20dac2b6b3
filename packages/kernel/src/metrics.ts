/** Metrics, sent to StatsD through hot-shots or discarded. */
import * as hotShots from "hot-shots";

/** Counters, gauges and timings; names are dotted, durations are in milliseconds. */
export interface Metrics {
  increment(name: string, tags?: Readonly<Record<string, string>>): void;
  gauge(name: string, value: number): void;
  timing(name: string, durationMs: number): void;
  close(): void;
}

/** Sends metrics to a StatsD address. */
export class StatsdMetrics implements Metrics {
  readonly #client: hotShots.StatsD;

  constructor(host: string, port: number) {
    this.#client = new hotShots.StatsD({
      host,
      port,
      prefix: "jackdawbank.",
      errorHandler: () => {},
    });
  }

  increment(name: string, tags: Readonly<Record<string, string>> = {}): void {
    this.#client.increment(name, 1, { ...tags });
  }

  gauge(name: string, value: number): void {
    this.#client.gauge(name, value);
  }

  timing(name: string, durationMs: number): void {
    this.#client.timing(name, durationMs);
  }

  close(): void {
    this.#client.close(() => {});
  }
}

/** Discards all metrics; for processes without a StatsD address. */
export class NullMetrics implements Metrics {
  increment(): void {}
  gauge(): void {}
  timing(): void {}
  close(): void {}
}
