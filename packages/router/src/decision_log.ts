/**
 * Structured log: one JSON line for each decision, to standard output. The
 * volume is bounded: beyond a rate, lines are dropped and counted, routine
 * ones first. Writes never block the process: they wait in a bounded buffer
 * for one asynchronous write at a time.
 */
import * as fs from "node:fs";
import * as kernel from "@jackdawbank/kernel";

/** Values that a line may carry. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Lines a second over a long time. */
const LINES_PER_S = 300;
/** Lines at once after a quiet time. */
const BURST_LINES = 600;
/** Below this share of the burst only lines that are not routine are written. */
const ROUTINE_SHARE = 0.4;
const MAX_BUFFERED_CHARS = 262_144;
const FLUSH_INTERVAL_MS = 100;
const STANDARD_OUTPUT = 1;
const MS_PER_S = 1_000;

/** Where the lines go. */
export interface LineSink {
  write(text: string, onDone: (error: Error | null) => void): void;
}

/** Writes to a file descriptor outside the event loop. */
export class DescriptorSink implements LineSink {
  readonly #descriptor: number;

  constructor(descriptor = STANDARD_OUTPUT) {
    this.#descriptor = descriptor;
  }

  write(text: string, onDone: (error: Error | null) => void): void {
    fs.write(this.#descriptor, text, (error) => onDone(error));
  }
}

/** The log of one process. */
export class DecisionLog {
  readonly #clock: kernel.Clock;
  readonly #source: LogFields;
  readonly #sink: LineSink;
  readonly #timer: NodeJS.Timeout;
  #buffer = "";
  #isWriting = false;
  #tokens = BURST_LINES;
  #refilledAtMs: number;
  #dropped = 0;

  constructor(clock: kernel.Clock, source: LogFields, sink: LineSink) {
    this.#clock = clock;
    this.#source = source;
    this.#sink = sink;
    this.#refilledAtMs = clock.monotonicMs();
    this.#timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Lines that were dropped since the last line that said so. */
  get droppedLines(): number {
    return this.#dropped;
  }

  /** A decision as it is taken every day. */
  addRoutine(event: string, fields: LogFields): void {
    this.#add(event, fields, BURST_LINES * ROUTINE_SHARE);
  }

  /** Failures, changes of belief, and the life of the process. */
  addNotable(event: string, fields: LogFields): void {
    this.#add(event, fields, 0);
  }

  /** Starts writing what is buffered, unless a write is under way. */
  flush(): void {
    if (this.#isWriting || this.#buffer === "") return;
    const text = this.#buffer;
    this.#buffer = "";
    this.#isWriting = true;
    this.#sink.write(text, (error) => {
      this.#isWriting = false;
      // Output that cannot be written now is counted, not kept.
      if (error !== null) this.#dropped += text.split("\n").length - 1;
    });
  }

  close(): void {
    clearInterval(this.#timer);
    this.flush();
  }

  #add(event: string, fields: LogFields, keptTokens: number): void {
    this.#refill();
    const isFull = this.#buffer.length > MAX_BUFFERED_CHARS;
    if (isFull || this.#tokens - 1 < keptTokens) {
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
      JSON.stringify({ time, event, ...this.#source, ...fields })
    }\n`;
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const added = (nowMs - this.#refilledAtMs) / MS_PER_S * LINES_PER_S;
    this.#tokens = Math.min(BURST_LINES, this.#tokens + added);
    this.#refilledAtMs = nowMs;
  }
}
