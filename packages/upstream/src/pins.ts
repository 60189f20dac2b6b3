/** Birth revisions of sessions that bring their own id, held at the sessions' homes. */
import * as lruCache from "lru-cache";

const MAX_PINS = 50_000;
const PIN_TTL_MS = 24 * 3_600_000;

/** What is pinned for a session. */
export interface PinRecord {
  readonly birthRevision: number;
  readonly excluded: readonly string[];
}

/** Bounded table of pins; the first registration of a session stays. */
export class PinTable {
  readonly #pins = new lruCache.LRUCache<string, PinRecord>({
    max: MAX_PINS,
    ttl: PIN_TTL_MS,
    updateAgeOnGet: true,
  });

  /** Registers a pin unless an older one is held; returns the one that counts. */
  register(sessionId: string, pin: PinRecord): PinRecord {
    const held = this.#pins.get(sessionId);
    if (held !== undefined && held.birthRevision <= pin.birthRevision) {
      return held;
    }
    this.#pins.set(sessionId, pin);
    return pin;
  }

  get size(): number {
    return this.#pins.size;
  }
}
