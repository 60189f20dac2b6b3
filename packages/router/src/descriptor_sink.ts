/**
 * Writes log lines to a file descriptor. A pipe that nobody reads must block neither the
 * event loop nor the exit of the process: a write that a thread waits for does the latter.
 */
import * as fs from "node:fs";
import * as net from "node:net";
import type * as logs from "./decision_log.ts";

const STANDARD_OUTPUT = 1;

/** Writes to files by a thread, as they never block for long, and to pipes as a stream. */
export class DescriptorSink implements logs.LineSink {
  readonly #descriptor: number;
  readonly #stream: net.Socket | undefined;

  constructor(descriptor = STANDARD_OUTPUT) {
    this.#descriptor = descriptor;
    const stats = fs.fstatSync(descriptor);
    if (!stats.isFIFO() && !stats.isSocket()) return;
    this.#stream = new net.Socket({
      fd: descriptor,
      readable: false,
      writable: true,
    });
    // Each write is told of the error.
    this.#stream.on("error", () => {});
    this.#stream.unref();
  }

  write(text: string, onDone: (error: Error | null) => void): void {
    if (this.#stream === undefined) {
      this.#writeToFile(Buffer.from(text), 0, onDone);
    } else this.#stream.write(text, (error) => onDone(error ?? null));
  }

  /** A file may take a part of the bytes only. */
  #writeToFile(
    bytes: Uint8Array,
    offset: number,
    onDone: (error: Error | null) => void,
  ): void {
    fs.write(this.#descriptor, bytes, offset, (error, written) => {
      const end = offset + written;
      if (error !== null || end >= bytes.byteLength) return onDone(error);
      this.#writeToFile(bytes, end, onDone);
    });
  }
}
