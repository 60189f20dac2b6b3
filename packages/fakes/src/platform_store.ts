/**
 * Stand-in for the platform's metadata store: items with revisions, long-poll
 * watches, conditional writes and leases.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as responses from "./json_response.ts";

/** How the store responds. */
export type PlatformStoreMode =
  | "up"
  /** Never responds. */
  | "silent"
  /** Responds 503 to every request. */
  | "busy"
  /** Applies writes, then closes their connections without a response. */
  | "lost-writes"
  /** Responds with JSON of an unknown shape. */
  | "nonsense";

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: number;
}

interface Change {
  readonly key: string;
  readonly revision: number;
  readonly item: Item | undefined;
}

/** State to which the store goes back. */
interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly leases: ReadonlySet<number>;
  readonly changes: readonly Change[];
  readonly revision: number;
}

const PAGE_SIZE = 50;
const WATCH_POLL_INTERVAL_MS = 5;
const CONFIGURATION_KEY = "op/config";
const REPLICA_PREFIX = "servers/";

interface Transaction {
  readonly expectedRevision?: readonly {
    readonly key: string;
    readonly revision: number;
  }[];
  readonly write?: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }[];
  readonly remove?: readonly string[];
}

/** Shortest lease that the store grants. */
const SHORTEST_TTL_MS = 1_000;

/** Tests also put and remove items directly, without HTTP. */
export class FakePlatformStore {
  mode: PlatformStoreMode = "up";
  /** Whether watches are refused, while all else is served. */
  refusesWatches = false;
  /** Delay before each response. */
  delayMs = 0;
  /** Time over which the body of a watch's answer is sent, in small pieces, as over a slow link. */
  watchTransferMs = 0;
  /** Called before each transaction. */
  beforeTransaction = () => {};
  /** Number of calls by path, without the query. */
  readonly callCounts = new Map<string, number>();
  readonly #items = new Map<string, Item>();
  readonly #sockets = new Set<net.Socket>();
  readonly #leases = new Set<number>();
  #changes: Change[] = [];
  #oldestRevision = 0;
  #revision = 10;
  /** Named in all answers; the header is left out if it is absent. */
  era: number | undefined;
  #copy: StoreCopy | undefined;
  /** What stale reads answer, with its revision; the current items if absent. */
  #stale: {
    readonly items: ReadonlyMap<string, Item>;
    readonly revision: number;
  } | undefined;
  readonly #server = http.createServer((request, response) => {
    void this.#serve(request, response);
  });

  async listen(): Promise<number> {
    this.#server.on("connection", (socket: net.Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return this.port;
  }

  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  put(key: string, data: unknown): number {
    return this.putBytes(key, Buffer.from(JSON.stringify(data)));
  }

  putBytes(key: string, bytes: Buffer, lease = 0): number {
    this.#revision += 1;
    const item = {
      key,
      value: bytes.toString("base64"),
      revision: this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#changes.push({ key, revision: this.#revision, item });
    return this.#revision;
  }

  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#changes.push({ key, revision: this.#revision, item: undefined });
  }

  get hasConfiguration(): boolean {
    return this.#items.has(CONFIGURATION_KEY);
  }

  /** Writes the operator's configuration. */
  putConfiguration(data: unknown): number {
    return this.put(CONFIGURATION_KEY, data);
  }

  /** Writes the item that a replica publishes about itself. */
  putReplica(id: string, entry: unknown): number {
    return this.put(`${REPLICA_PREFIX}${id}`, entry);
  }

  /** Removes the item of a replica that has left. */
  removeReplica(id: string): void {
    this.remove(`${REPLICA_PREFIX}${id}`);
  }

  /** Lists the keys with a prefix. */
  list(prefix: string): readonly string[] {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Grants a lease, which is also the number of a revision. */
  grantLease(): number {
    this.#revision += 1;
    this.#leases.add(this.#revision);
    return this.#revision;
  }

  /** Ends a lease and removes its items; returns whether the lease existed. */
  endLease(lease: number): boolean {
    const wasFound = this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
    return wasFound;
  }

  get leases(): ReadonlySet<number> {
    return this.#leases;
  }

  read(key: string): unknown {
    const item = this.#items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  /** Lets stale reads answer from now on what is current now. */
  freezeStaleReads(): void {
    this.#stale = { items: new Map(this.#items), revision: this.#revision };
  }

  /** Drops the change history: watches from an earlier revision get 410. */
  compact(): void {
    this.#changes = [];
    this.#oldestRevision = this.#revision + 1;
    this.#revision += 1;
  }

  /** Keeps a copy of the state for `restore`. */
  copy(): void {
    this.#copy = {
      items: new Map(this.#items),
      leases: new Set(this.#leases),
      changes: [...this.#changes],
      revision: this.#revision,
    };
  }

  /** Goes back to the copy, begins a new era and cuts all connections, if told so. */
  restore(cutsConnections = true): void {
    const copy = this.#copy;
    if (copy === undefined) throw new Error("there is no copy");
    this.#items.clear();
    for (const [key, item] of copy.items) this.#items.set(key, item);
    this.#leases.clear();
    for (const lease of copy.leases) this.#leases.add(lease);
    this.#changes = [...copy.changes];
    this.#revision = copy.revision;
    this.era = (this.era ?? 0) + 1;
    if (!cutsConnections) return;
    for (const socket of this.#sockets) socket.destroy();
  }

  get revision(): number {
    return this.#revision;
  }

  async close(): Promise<void> {
    this.mode = "busy";
    for (const socket of this.#sockets) socket.destroy();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    this.callCounts.set(
      url.pathname,
      (this.callCounts.get(url.pathname) ?? 0) + 1,
    );
    let body = "";
    for await (const chunk of request) body += String(chunk);
    if (this.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    }
    if (this.mode === "silent") return;
    if (this.era !== undefined) {
      response.setHeader("store-era", String(this.era));
    }
    if (this.mode === "busy") {
      response.writeHead(503).end();
      return;
    }
    if (this.mode === "nonsense") {
      response.writeHead(200).end('{"surprise":true}');
      return;
    }
    switch (url.pathname) {
      case "/-/kv-key":
        return this.#serveItem(url, response);
      case "/-/kv-range":
        return this.#serveRange(url, response);
      case "/-/kv-watch":
        return await this.#serveWatch(url, response);
      case "/-/kv-txn":
        return this.#serveTransaction(
          JSON.parse(body) as Transaction,
          response,
        );
      default:
        return this.#serveLease(url, body, response);
    }
  }

  #serveLease(url: URL, body: string, response: http.ServerResponse): void {
    if (url.pathname === "/-/kv-lease") {
      const { ttlMs } = JSON.parse(body) as { readonly ttlMs: number };
      const lease = this.grantLease();
      if (Number.isInteger(ttlMs)) {
        return responses.send(response, 200, { lease, ttlMs });
      }
      // The store takes a time with a fraction for the shortest one.
      setTimeout(() => this.endLease(lease), SHORTEST_TTL_MS).unref();
      return responses.send(response, 200, { lease, ttlMs: SHORTEST_TTL_MS });
    }
    const lease = Number(url.pathname.split("/").at(-1));
    const wasFound = url.pathname.startsWith("/-/kv-lease-end/")
      ? this.endLease(lease)
      : this.#leases.has(lease);
    responses.send(response, wasFound ? 200 : 404, {});
  }

  #serveItem(url: URL, response: http.ServerResponse): void {
    const item = this.#items.get(url.searchParams.get("key") ?? "");
    if (item === undefined) response.writeHead(404).end();
    else responses.send(response, 200, item);
  }

  #serveRange(url: URL, response: http.ServerResponse): void {
    const prefix = url.searchParams.get("pathPrefix") ?? "";
    const afterKey = url.searchParams.get("after") ?? "";
    const isStale = url.searchParams.get("staleRead") === "1";
    const { items, revision } = (isStale ? this.#stale : undefined) ??
      { items: this.#items, revision: this.#revision };
    const matching = [...items.values()]
      .filter((item) => item.key.startsWith(prefix) && item.key > afterKey)
      .toSorted((a, b) => a.key < b.key ? -1 : 1);
    responses.send(response, 200, {
      items: matching.slice(0, PAGE_SIZE),
      hasMore: matching.length > PAGE_SIZE,
      at: revision,
    });
  }

  async #serveWatch(url: URL, response: http.ServerResponse): Promise<void> {
    const afterRevision = Number(url.searchParams.get("after"));
    const prefix = url.searchParams.get("pathPrefix") ?? "";
    const deadlineMs = Date.now() + Number(url.searchParams.get("waitMs"));
    if (this.refusesWatches) {
      response.writeHead(503).end();
      return;
    }
    for (;;) {
      if (response.destroyed) return;
      if (
        afterRevision < this.#oldestRevision || afterRevision > this.#revision
      ) {
        response.writeHead(410).end();
        return;
      }
      const events = this.#changes.filter((change) =>
        change.revision > afterRevision && change.key.startsWith(prefix)
      );
      if (events.length > 0 || Date.now() >= deadlineMs) {
        // A watch that waited while the mode became a failure gets no response.
        if (this.mode !== "up" && this.mode !== "lost-writes") return;
        await responses.sendSlowly(response, this.watchTransferMs, {
          events: events.map(({ key, revision, item }) =>
            item ?? { key, revision, deleted: true }
          ),
          at: this.#revision,
        });
        return;
      }
      await new Promise((resolve) =>
        setTimeout(resolve, WATCH_POLL_INTERVAL_MS)
      );
    }
  }

  #serveTransaction(
    transaction: Transaction,
    response: http.ServerResponse,
  ): void {
    this.beforeTransaction();
    if (this.era !== undefined) response.setHeader("store-era", this.era);
    const expected = transaction.expectedRevision ?? [];
    const isCurrent = expected.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!isCurrent) {
      responses.send(response, 412, {
        items: expected.flatMap(({ key }) => this.#items.get(key) ?? []),
      });
      return;
    }
    this.#revision += 1;
    for (const { key, value, lease = 0 } of transaction.write ?? []) {
      const item = { key, value, revision: this.#revision, lease };
      this.#items.set(key, item);
      this.#changes.push({ key, revision: this.#revision, item });
    }
    for (const key of transaction.remove ?? []) {
      if (!this.#items.delete(key)) continue;
      this.#changes.push({ key, revision: this.#revision, item: undefined });
    }
    if (this.mode === "lost-writes") {
      response.destroy();
      return;
    }
    responses.send(response, 200, { revision: this.#revision });
  }
}
