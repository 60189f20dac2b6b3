/** Memory and descriptors of a process, sampled while it runs. */
import * as fs from "node:fs";

const SAMPLE_INTERVAL_MS = 20;
const KB = 1_024;
const MB = 1_048_576;

/** Largest number of open descriptors seen, and the peak of memory, of a process. */
export class ProcessUsage {
  readonly #pid: number;
  readonly #timer: NodeJS.Timeout;
  #peakDescriptors = 0;
  #peakBytes = 0;

  constructor(pid: number) {
    this.#pid = pid;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  get peakDescriptors(): number {
    this.#sample();
    return this.#peakDescriptors;
  }

  get peakMb(): number {
    this.#sample();
    return Math.round(this.#peakBytes / MB);
  }

  countDescriptors(): number {
    return fs.readdirSync(`/proc/${this.#pid}/fd`).length;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    try {
      const status = fs.readFileSync(`/proc/${this.#pid}/status`, "utf8");
      const peakKb = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0);
      this.#peakBytes = Math.max(this.#peakBytes, peakKb * KB);
      this.#peakDescriptors = Math.max(
        this.#peakDescriptors,
        this.countDescriptors(),
      );
    } catch {
      // The process has ended, which the test reports itself.
    }
  }
}
