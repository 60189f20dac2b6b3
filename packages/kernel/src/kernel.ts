/**
 * The core that knows no feature: plug-ins register handlers for typed
 * commands, and a registration returns its own tear-down.
 */
import type { Clock } from "./clock.ts";
import type { Logger } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Timeline } from "./timeline.ts";

/** Undoes a registration. */
export type Teardown = () => void | Promise<void>;

/** A typed command; `P` is its payload. */
export interface Command<P> {
  readonly name: string;
  /** Carries the payload type only; never read. */
  readonly payloadType?: P;
}

/** Handlers of a higher priority run first; `true` stops the dispatch. */
export type CommandHandler<P> = (payload: P) => boolean;

export const PRIORITY_LOW = 0;
export const PRIORITY_NORMAL = 1;
export const PRIORITY_HIGH = 2;

export type Priority =
  | typeof PRIORITY_LOW
  | typeof PRIORITY_NORMAL
  | typeof PRIORITY_HIGH;

interface Registration {
  readonly handler: CommandHandler<unknown>;
  readonly priority: Priority;
}

/** What each plug-in needs from the process that hosts it. */
export interface KernelServices {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
  readonly processId: string;
  /** Differs for each run of a process, also under the same process id. */
  readonly incarnation: string;
}

/** Declares a command. */
export function createCommand<P>(name: string): Command<P> {
  return { name };
}

/** Joins tear-downs into one that runs them in reverse order. */
export function composeTeardowns(
  ...teardowns: readonly Teardown[]
): () => Promise<void> {
  return async () => {
    for (const teardown of teardowns.toReversed()) await teardown();
  };
}

/** The registry of one process. */
export class Kernel {
  readonly services: KernelServices;
  readonly #registrations = new Map<string, readonly Registration[]>();
  readonly #teardowns: Teardown[] = [];

  constructor(services: KernelServices) {
    this.services = services;
  }

  /** Registers a handler and returns its tear-down. */
  registerCommand<P>(
    command: Command<P>,
    handler: CommandHandler<P>,
    options: { readonly priority: Priority } = { priority: PRIORITY_NORMAL },
  ): Teardown {
    const registration: Registration = {
      handler: handler as CommandHandler<unknown>,
      priority: options.priority,
    };
    const held = this.#registrations.get(command.name) ?? [];
    this.#registrations.set(
      command.name,
      [...held, registration].toSorted((a, b) => b.priority - a.priority),
    );
    return () => {
      const left = this.#registrations.get(command.name) ?? [];
      this.#registrations.set(
        command.name,
        left.filter((other) => other !== registration),
      );
    };
  }

  /** Runs the handlers by priority; tells whether one of them took the command. */
  dispatchCommand<P>(command: Command<P>, payload: P): boolean {
    const held = this.#registrations.get(command.name) ?? [];
    return held.some((registration) => registration.handler(payload));
  }

  /** Keeps a plug-in's tear-down, to be run when the kernel closes. */
  addTeardown(teardown: Teardown): void {
    this.#teardowns.push(teardown);
  }

  /** Tears down all plug-ins, last registered first. */
  async close(): Promise<void> {
    await composeTeardowns(...this.#teardowns.splice(0))();
  }
}
