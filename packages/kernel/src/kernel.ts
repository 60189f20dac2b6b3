/**
 * Registry by which plug-ins extend a process: they register handlers for typed
 * commands, and each registration returns its teardown.
 */
import type { Clock } from "./clock.ts";
import type { Logger } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Timeline } from "./timeline.ts";

/** Undoes a registration, or releases a resource. */
export type Teardown = () => void | Promise<void>;

/** A typed command; `P` is its payload. */
export interface Command<P> {
  readonly name: string;
  /** Only carries the payload's type; never set. */
  readonly payloadType?: P;
}

/** Handles a command; returning `true` stops the dispatch to the remaining handlers. */
export type CommandHandler<P> = (payload: P) => boolean;

export const PRIORITY_LOW = 0;
export const PRIORITY_NORMAL = 1;
export const PRIORITY_HIGH = 2;

/** Handlers of a higher priority run first. */
export type Priority =
  | typeof PRIORITY_LOW
  | typeof PRIORITY_NORMAL
  | typeof PRIORITY_HIGH;

interface Registration {
  readonly handler: CommandHandler<unknown>;
  readonly priority: Priority;
}

/** Services that a process provides to its plug-ins. */
export interface KernelServices {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
  readonly processId: string;
  /** Differs for each run of a process, also under the same process id. */
  readonly incarnation: string;
}

export function createCommand<P>(name: string): Command<P> {
  return { name };
}

/** Combines teardowns into one that runs them in reverse order. */
export function composeTeardowns(
  ...teardowns: readonly Teardown[]
): () => Promise<void> {
  return async () => {
    for (const teardown of teardowns.toReversed()) await teardown();
  };
}

/** Command handlers and teardowns of one process. */
export class Kernel {
  readonly services: KernelServices;
  readonly #registrations = new Map<string, readonly Registration[]>();
  readonly #teardowns: Teardown[] = [];

  constructor(services: KernelServices) {
    this.services = services;
  }

  /** Registers a handler and returns its teardown. */
  registerCommand<P>(
    command: Command<P>,
    handler: CommandHandler<P>,
    options: { readonly priority: Priority } = { priority: PRIORITY_NORMAL },
  ): Teardown {
    const registration: Registration = {
      handler: handler as CommandHandler<unknown>,
      priority: options.priority,
    };
    const existing = this.#registrations.get(command.name) ?? [];
    this.#registrations.set(
      command.name,
      [...existing, registration].toSorted((a, b) => b.priority - a.priority),
    );
    return () => {
      const remaining = this.#registrations.get(command.name) ?? [];
      this.#registrations.set(
        command.name,
        remaining.filter((other) => other !== registration),
      );
    };
  }

  /** Runs the handlers by priority until one returns `true`; returns whether one did. */
  dispatchCommand<P>(command: Command<P>, payload: P): boolean {
    const registrations = this.#registrations.get(command.name) ?? [];
    return registrations.some((registration) => registration.handler(payload));
  }

  /** Adds a plug-in's teardown, which runs when the kernel is closed. */
  addTeardown(teardown: Teardown): void {
    this.#teardowns.push(teardown);
  }

  /** Runs all teardowns, the last added first. */
  async close(): Promise<void> {
    await composeTeardowns(...this.#teardowns.splice(0))();
  }
}
