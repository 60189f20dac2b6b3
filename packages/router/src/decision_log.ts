/**
 * Structured log: one JSON line per event on standard output. The volume is
 * rate-limited: beyond the limit, lines are dropped and counted, routine lines
 * first. Logging never blocks the process: lines wait in a bounded buffer, and
 * one asynchronous write runs at a time.
 */
import * as kernel from "@jackdawbank/kernel";

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Sustained rate limit. */
const LINES_PER_S = 300;
/** Largest burst above the sustained rate. */
const BURST_LINES = 600;
/** Share of the burst that is reserved for notable lines. */
const NOTABLE_RESERVE_SHARE = 0.4;
const MAX_BUFFERED_CHARS = 262_144;
const FLUSH_INTERVAL_MS = 100;
/** Longest wait for the last lines, for example if standard output is blocked. */
const MAX_CLOSE_MS = 500;
const MS_PER_S = 1_000;

/** Output of the log. */
export interface LineSink {
  write(text: string, onDone: (error: Error | null) => void): void;
}

/** Rate-limited JSON log of one process. */
export class DecisionLog {
  readonly #clock: kernel.Clock;
  readonly #commonFields: LogFields;
  readonly #sink: LineSink;
  readonly #timer: NodeJS.Timeout;
  #buffer = "";
  #isWriting = false;
  #tokens = BURST_LINES;
  #refilledAtMs: number;
  #dropped = 0;
  /** Set by `close`; called when all lines have been handed to the sink. */
  #onDrained: (() => void) | undefined;

  constructor(clock: kernel.Clock, commonFields: LogFields, sink: LineSink) {
    this.#clock = clock;
    this.#commonFields = commonFields;
    this.#sink = sink;
    this.#refilledAtMs = clock.monotonicMs();
    this.#timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Lines dropped since the last `log.dropped` line. */
  get droppedLines(): number {
    return this.#dropped;
  }

  /** Logs an event of normal operation; dropped first when the rate limit is near. */
  addRoutine(event: string, fields: LogFields): void {
    this.#add(event, fields, BURST_LINES * NOTABLE_RESERVE_SHARE);
  }

  /** Logs a failure, a state change or an event of the process's lifecycle. */
  addNotable(event: string, fields: LogFields): void {
    this.#add(event, fields, 0);
  }

  /** Writes the buffered lines unless a write is already in progress. */
  flush(): void {
    if (this.#isWriting || this.#buffer === "") return;
    const text = this.#buffer;
    this.#buffer = "";
    this.#isWriting = true;
    this.#sink.write(text, (error) => {
      this.#isWriting = false;
      // Lines of a failed write are counted as dropped and not retried.
      if (error !== null) this.#dropped += text.split("\n").length - 1;
      if (this.#onDrained !== undefined) this.#drain(this.#onDrained);
    });
  }

  /** Writes the remaining lines; resolves when they are written, or after a time-out. */
  close(): Promise<void> {
    clearInterval(this.#timer);
    return new Promise((resolve) => {
      setTimeout(resolve, MAX_CLOSE_MS).unref();
      this.#onDrained = resolve;
      this.#drain(resolve);
    });
  }

  #drain(onDrained: () => void): void {
    if (this.#isWriting) return;
    if (this.#buffer === "") onDrained();
    else this.flush();
  }

  #add(event: string, fields: LogFields, reservedTokens: number): void {
    this.#refill();
    const isFull = this.#buffer.length > MAX_BUFFERED_CHARS;
    if (isFull || this.#tokens - 1 < reservedTokens) {
      this.#dropped += 1;
      return;
    }
    this.#tokens -= 1;
    if (this.#dropped > 0) {
      const lines = this.#dropped;
      this.#dropped = 0;
      this.#append("log.dropped", { lines });
    }
    this.#append(event, fields);
  }

  #append(event: string, fields: LogFields): void {
    const time = new Date(this.#clock.wallMs()).toISOString();
    this.#buffer += `${
      JSON.stringify({ time, event, ...this.#commonFields, ...fields })
    }\n`;
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const added = (nowMs - this.#refilledAtMs) / MS_PER_S * LINES_PER_S;
    this.#tokens = Math.min(BURST_LINES, this.#tokens + added);
    this.#refilledAtMs = nowMs;
  }
}
