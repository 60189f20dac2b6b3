/**
 * Connection pool for one replica. Each connection carries one request at a
 * time; after a failure or an unexpected response it is not reused.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as undici from "undici";
import * as meters from "./answer_meter.ts";
import type * as ports from "./ports.ts";

/** Safety margin before the idle time-out that a replica announces. */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Idle time-out if the replica announces none. */
const DEFAULT_KEEP_ALIVE_MS = 3_000;
const MAX_KEEP_ALIVE_MS = 30_000;
const MIN_CONNECTIONS = 4;

const connect = kernel.markResets(undici.buildConnector({}));

/** One connection, idle or serving one request. */
export interface Connection {
  readonly client: undici.Client;
  /** Returned to the pool after a complete response. */
  readonly isReusable: boolean;
  /** Has carried a request before, of which more bytes may arrive. */
  isUsed: boolean;
  /** Bytes of the body of the request that it carries. */
  bodyBytes: number;
  readonly meter: meters.AnswerMeter;
}

/** Connections from this process to one replica. */
export class ConnectionPool {
  readonly #origin: string;
  #limit = MIN_CONNECTIONS;
  readonly #onOpened: () => void;
  readonly #onLargeBodyEnd: () => void;
  readonly #idle: Connection[] = [];
  readonly #clients = new Set<undici.Client>();
  #bodyBytesInFlight = 0;

  constructor(
    address: ports.Address,
    options: {
      readonly limit: number;
      readonly onOpened: () => void;
      /** Called when a large body, or the room reserved for one, is not held any more. */
      readonly onLargeBodyEnd?: () => void;
    },
  ) {
    this.#origin = `http://${address.host}:${address.port}`;
    this.#onOpened = options.onOpened;
    this.#onLargeBodyEnd = options.onLargeBodyEnd ?? (() => {});
    this.setLimit(options.limit);
  }

  /** Sets this process's share of the connections that the replica accepts. */
  setLimit(limit: number): void {
    this.#limit = Math.max(MIN_CONNECTIONS, limit);
  }

  /** Bytes of the bodies in flight from this process, or with room reserved for them. */
  get bodyBytesInFlight(): number {
    return this.#bodyBytesInFlight;
  }

  get isFull(): boolean {
    return this.#idle.length === 0 && this.#clients.size >= this.#limit;
  }

  /** Counts a body that is about to be sent; returns the end of that, to be called once. */
  reserveBody(bodyBytes: number): () => void {
    this.#bodyBytesInFlight += bodyBytes;
    return () => this.#removeBody(bodyBytes);
  }

  /**
   * Acquires a connection for a body of some bytes; requests that must not run
   * twice need a new one.
   */
  acquire(
    needsNewConnection: boolean,
    bodyBytes = 0,
  ): Connection | undefined {
    const connection = this.#acquire(needsNewConnection);
    if (connection === undefined) return undefined;
    connection.bodyBytes = bodyBytes;
    this.#bodyBytesInFlight += bodyBytes;
    return connection;
  }

  #acquire(needsNewConnection: boolean): Connection | undefined {
    if (!needsNewConnection) {
      const idle = this.#idle.pop();
      if (idle !== undefined) return idle;
    }
    if (this.#clients.size >= this.#limit) {
      const oldestIdle = this.#idle.shift();
      if (oldestIdle === undefined) return undefined;
      this.discard(oldestIdle);
    }
    const meter = new meters.AnswerMeter();
    const client = new undici.Client(this.#origin, {
      pipelining: 1,
      connect: kernel.countReceived(
        connect,
        (bytes, queuedBytes) => meter.receive(bytes, queuedBytes),
        () => meter.isMostlyFraming,
      ),
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // Time-outs depend on the request and are handled by the exchange.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#clients.add(client);
    client.on("connect", this.#onOpened);
    const connection = {
      client,
      isReusable: !needsNewConnection,
      isUsed: false,
      bodyBytes: 0,
      meter,
    };
    client.on("disconnect", () => this.#remove(client));
    return connection;
  }

  /** Returns a connection to the pool after a complete response. */
  release(connection: Connection): void {
    this.#endBody(connection);
    if (!connection.isReusable || !this.#clients.has(connection.client)) {
      this.discard(connection);
      return;
    }
    connection.isUsed = true;
    this.#idle.push(connection);
  }

  /** Closes a connection at once, even with a request in flight. */
  discard(connection: Connection): void {
    this.#endBody(connection);
    this.#remove(connection.client);
  }

  /** Closes idle connections; busy ones close with their requests. */
  close(): void {
    for (const connection of this.#idle.splice(0)) this.discard(connection);
  }

  #endBody(connection: Connection): void {
    this.#removeBody(connection.bodyBytes);
    connection.bodyBytes = 0;
  }

  #removeBody(bodyBytes: number): void {
    this.#bodyBytesInFlight -= bodyBytes;
    if (decisions.isLargeBody(bodyBytes)) this.#onLargeBodyEnd();
  }

  #remove(client: undici.Client): void {
    this.#clients.delete(client);
    const index = this.#idle.findIndex((other) => other.client === client);
    if (index >= 0) this.#idle.splice(index, 1);
    void client.destroy();
  }
}
