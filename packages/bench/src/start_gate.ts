/**
 * Lets few deployments start at the same time. Starting a process stops the event loop of
 * the test file's own process, for seconds if the machine is busy, and all tests of a file
 * begin together: their calls ran out of time although they had been answered.
 */

/** Queue for starts of which a limited number runs at a time. */
export class StartGate {
  readonly #maxRunning: number;
  readonly #waiting: (() => void)[] = [];
  #running = 0;

  constructor(maxRunning: number) {
    this.#maxRunning = maxRunning;
  }

  /** Runs `start` when its turn has come; the next one follows when it has ended. */
  async run<T>(start: () => Promise<T>): Promise<T> {
    if (this.#running < this.#maxRunning) this.#running += 1;
    else await new Promise<void>((resolve) => this.#waiting.push(resolve));
    try {
      return await start();
    } finally {
      // The turn passes to the next start, if one waits.
      const next = this.#waiting.shift();
      if (next === undefined) this.#running -= 1;
      else next();
    }
  }
}
