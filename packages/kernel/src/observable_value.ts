/** State that is immutable and replaced as a whole; listeners are called after each change. */
import type { Teardown } from "./kernel.ts";

/** Called with the new and the previous value. */
export type ValueListener<T> = (next: T, previous: T) => void;

/** An immutable value that can be replaced and observed. */
export class ObservableValue<T> {
  #value: T;
  readonly #listeners = new Set<ValueListener<T>>();

  constructor(initial: T) {
    this.#value = initial;
  }

  read(): T {
    return this.#value;
  }

  /** Replaces the value, then calls the listeners. */
  replace(next: T): void {
    const previous = this.#value;
    this.#value = next;
    for (const listener of this.#listeners) listener(next, previous);
  }

  listen(listener: ValueListener<T>): Teardown {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
