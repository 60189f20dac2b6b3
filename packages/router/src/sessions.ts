/** The versions that sessions ran on last, for as long as a session may go on. */

interface Held {
  readonly version: string;
  readonly atMs: number;
}

/** Sessions that are remembered at most. */
const MAX_SESSIONS = 50_000;

/** Versions by service and session. */
export class SessionTable {
  readonly #ttlMs: number;
  readonly #held = new Map<string, Held>();

  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  find(service: string, session: string, nowMs: number): string | undefined {
    const held = this.#held.get(`${service}/${session}`);
    return held === undefined || nowMs - held.atMs > this.#ttlMs
      ? undefined
      : held.version;
  }

  /** Sessions of a service that may still go on, with their versions. */
  list(
    service: string,
    nowMs: number,
  ): readonly { readonly session: string; readonly version: string }[] {
    const prefix = `${service}/`;
    return [...this.#held].flatMap(([key, { version, atMs }]) =>
      key.startsWith(prefix) && nowMs - atMs <= this.#ttlMs
        ? [{ session: key.slice(prefix.length), version }]
        : []
    );
  }

  /** Notes a run; the newest entries stand last. */
  note(service: string, session: string, version: string, nowMs: number): void {
    const key = `${service}/${session}`;
    this.#held.delete(key);
    this.#held.set(key, { version, atMs: nowMs });
    for (const [oldest, held] of this.#held) {
      const isOld = nowMs - held.atMs > this.#ttlMs;
      if (!isOld && this.#held.size <= MAX_SESSIONS) break;
      this.#held.delete(oldest);
    }
  }
}
