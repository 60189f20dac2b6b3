/**
 * Connections to one replica. Each carries one request at a time; one that
 * failed, or that brought anything unexpected, is not used again.
 */
import * as undici from "undici";
import type * as ports from "./ports.ts";

/** The replica's announced idle timeout is left alone by this much. */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Idle timeout where a replica announces none. */
const KEEP_ALIVE_MS = 3_000;
const KEEP_ALIVE_MAX_MS = 30_000;
const MIN_CONNECTIONS = 4;

/** One connection, idle or with its one request. */
export interface Connection {
  readonly client: undici.Client;
  readonly isKept: boolean;
}

/** The connections of one process to one replica. */
export class ReplicaConnections {
  readonly #origin: string;
  #limit = MIN_CONNECTIONS;
  readonly #onOpened: () => void;
  readonly #idle: Connection[] = [];
  readonly #all = new Set<undici.Client>();

  constructor(
    address: ports.Address,
    options: { readonly limit: number; readonly onOpened: () => void },
  ) {
    this.#origin = `http://${address.host}:${address.port}`;
    this.#onOpened = options.onOpened;
    this.setLimit(options.limit);
  }

  /** Takes over this process's part of what the replica accepts. */
  setLimit(limit: number): void {
    this.#limit = Math.max(MIN_CONNECTIONS, limit);
  }

  get isFull(): boolean {
    return this.#idle.length === 0 && this.#all.size >= this.#limit;
  }

  /** Takes a connection; a call that may not run twice takes a new one. */
  take(needsFresh: boolean): Connection | undefined {
    if (!needsFresh) {
      const kept = this.#idle.pop();
      if (kept !== undefined) return kept;
    }
    if (this.#all.size >= this.#limit) {
      const spare = this.#idle.shift();
      if (spare === undefined) return undefined;
      this.drop(spare);
    }
    const client = new undici.Client(this.#origin, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAX_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // The attempt has its own time-outs, which know the request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#all.add(client);
    client.on("connect", this.#onOpened);
    const connection = { client, isKept: !needsFresh };
    client.on("disconnect", () => this.#forget(client));
    return connection;
  }

  /** Gives a connection back after a whole answer. */
  giveBack(connection: Connection): void {
    if (!connection.isKept || !this.#all.has(connection.client)) {
      this.drop(connection);
      return;
    }
    this.#idle.push(connection);
  }

  /** Closes a connection at once, whatever it is doing. */
  drop(connection: Connection): void {
    this.#forget(connection.client);
  }

  /** Closes what is idle; busy connections end with their requests. */
  close(): void {
    for (const connection of this.#idle.splice(0)) this.drop(connection);
  }

  #forget(client: undici.Client): void {
    this.#all.delete(client);
    const at = this.#idle.findIndex((other) => other.client === client);
    if (at >= 0) this.#idle.splice(at, 1);
    void client.destroy();
  }
}
