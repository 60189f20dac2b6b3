/** Questions to other processes that wait for their answers, each with a time-out. */

/** Longest wait for an answer; a few round trips between data centres. */
const ANSWER_TIMEOUT_MS = 8;

interface OpenAsk<T> {
  readonly context: T;
  readonly finish: (isGranted: boolean | undefined) => void;
}

/** Open questions by ID; IDs start at 1. */
export class OpenAsks<T> {
  readonly #asks = new Map<number, OpenAsk<T>>();
  #count = 0;

  /** Sends a question; resolves to `undefined` if it is not answered in time. */
  open(
    context: T,
    send: (askId: number) => void,
  ): Promise<boolean | undefined> {
    this.#count += 1;
    const askId = this.#count;
    return new Promise((resolve) => {
      const timer = setTimeout(() => finish(undefined), ANSWER_TIMEOUT_MS);
      const finish = (isGranted: boolean | undefined) => {
        clearTimeout(timer);
        this.#asks.delete(askId);
        resolve(isGranted);
      };
      this.#asks.set(askId, { context, finish });
      send(askId);
    });
  }

  /** Ends a question and returns its context; `undefined` if it is not open. */
  finish(askId: number, isGranted: boolean): T | undefined {
    const ask = this.#asks.get(askId);
    ask?.finish(isGranted);
    return ask?.context;
  }

  /** Ends all questions as refused. */
  close(): void {
    for (const { finish } of [...this.#asks.values()]) finish(false);
  }
}
