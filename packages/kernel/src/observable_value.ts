/** Immutable state that is replaced whole; listeners are told after the change. */
import type { Teardown } from "./kernel.ts";

/** Called with the new and the previous value. */
export type ValueListener<T> = (next: T, previous: T) => void;

/** Holder of one immutable value. */
export class ObservableValue<T> {
  #value: T;
  readonly #listeners = new Set<ValueListener<T>>();

  constructor(initial: T) {
    this.#value = initial;
  }

  read(): T {
    return this.#value;
  }

  /** Replaces the value, then tells the listeners. */
  replace(next: T): void {
    const previous = this.#value;
    this.#value = next;
    for (const listener of this.#listeners) listener(next, previous);
  }

  subscribe(listener: ValueListener<T>): Teardown {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
