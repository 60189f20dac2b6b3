/**
 * Pins of sessions whose id was chosen by the caller. A pin holds the bundle
 * revision at which the session started, so that the session keeps its version.
 * Entries choose the processes that hold a pin by the session id.
 */
import * as lruCache from "lru-cache";

const MAX_PINS = 50_000;
const PIN_TTL_MS = 24 * 3_600_000;

/** Pin of one session. */
export interface PinRecord {
  /** Bundle revision in force when the session started. */
  readonly birthRevision: number;
  /** `model@version` names that the session must not be routed to. */
  readonly excluded: readonly string[];
}

/** Bounded table of pins; the oldest revision registered for a session wins. */
export class PinTable {
  readonly #pins = new lruCache.LRUCache<string, PinRecord>({
    max: MAX_PINS,
    ttl: PIN_TTL_MS,
    updateAgeOnGet: true,
  });

  /** Registers a pin unless one of the same or an older revision exists; returns the pin in effect. */
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
