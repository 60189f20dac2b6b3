/** Service versions that sessions ran on last, kept until a session expires. */

interface SessionEntry {
  readonly version: string;
  /** Monotonic time at which the version was recorded. */
  readonly atMs: number;
}

const MAX_SESSIONS = 50_000;

/** Versions by service and session, least recently used first. */
export class SessionTable {
  readonly #ttlMs: number;
  readonly #entries = new Map<string, SessionEntry>();

  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  find(service: string, session: string, nowMs: number): string | undefined {
    const entry = this.#entries.get(`${service}/${session}`);
    return entry === undefined || nowMs - entry.atMs > this.#ttlMs
      ? undefined
      : entry.version;
  }

  /** Unexpired sessions of a service with their versions. */
  list(
    service: string,
    nowMs: number,
  ): readonly { readonly session: string; readonly version: string }[] {
    const prefix = `${service}/`;
    return [...this.#entries].flatMap(([key, { version, atMs }]) =>
      key.startsWith(prefix) && nowMs - atMs <= this.#ttlMs
        ? [{ session: key.slice(prefix.length), version }]
        : []
    );
  }

  /** Records the version of a session and evicts expired or excess entries. */
  record(
    service: string,
    session: string,
    version: string,
    nowMs: number,
  ): void {
    const key = `${service}/${session}`;
    this.#entries.delete(key);
    this.#entries.set(key, { version, atMs: nowMs });
    for (const [oldestKey, entry] of this.#entries) {
      const isExpired = nowMs - entry.atMs > this.#ttlMs;
      if (!isExpired && this.#entries.size <= MAX_SESSIONS) break;
      this.#entries.delete(oldestKey);
    }
  }
}
