/**
 * Mailboxes: a task owns its state and takes its messages one at a time, in
 * the order of their arrival.
 */

/** Takes one message; a rejected promise is reported, the task goes on. */
export type MailboxHandler<M> = (message: M) => void | Promise<void>;

/** Queue of messages in front of one handler. */
export class Mailbox<M> {
  readonly #handler: MailboxHandler<M>;
  readonly #onError: (thrown: unknown) => void;
  readonly #messages: M[] = [];
  #isRunning = false;
  #isClosed = false;

  constructor(handler: MailboxHandler<M>, onError: (thrown: unknown) => void) {
    this.#handler = handler;
    this.#onError = onError;
  }

  /** Messages that wait. */
  get length(): number {
    return this.#messages.length;
  }

  /** Adds a message; a closed mailbox drops it. */
  send(message: M): void {
    if (this.#isClosed) return;
    this.#messages.push(message);
    if (!this.#isRunning) void this.#run();
  }

  close(): void {
    this.#isClosed = true;
    this.#messages.length = 0;
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    while (this.#messages.length > 0) {
      const message = this.#messages.shift() as M;
      try {
        await this.#handler(message);
      } catch (thrown) {
        this.#onError(thrown);
      }
    }
    this.#isRunning = false;
  }
}
