/**
 * Stand-in for the platform's key-value service, with the published interface
 * of etcd's v3 HTTP/JSON gateway. Each of its two ports has its own faults, set
 * through `/control`, so that some processes can lose access to the store while
 * others keep it.
 */
import * as hono from "hono";
import * as listening from "./listen.ts";

/** Faults of one port. */
export interface EtcdFaults {
  /** `down` closes connections without a reply, `nonsense` replies with HTML. */
  readonly mode: "up" | "down" | "nonsense";
  readonly delayMs: number;
  /** Number of further writes that take effect but whose replies are lost. */
  readonly loseReplies: number;
}

const NO_FAULTS: EtcdFaults = { mode: "up", delayMs: 0, loseReplies: 0 };

interface Lease {
  readonly ttlSeconds: number;
  expiresAtMs: number;
}

interface StoredValue {
  readonly value: string;
  /** The key is deleted when this lease ends. */
  readonly lease: string | undefined;
  readonly createRevision: number;
  readonly modRevision: number;
}

interface Compare {
  readonly key: string;
  readonly target?: string;
  readonly create_revision?: string;
  readonly mod_revision?: string;
}

interface KeyRange {
  readonly key: string;
  readonly range_end?: string;
}

interface Put {
  readonly key: string;
  readonly value: string;
  readonly lease?: string;
}

interface RequestOp {
  readonly request_put?: Put;
  readonly request_range?: { readonly key: string };
}

interface PendingWatch {
  readonly key: string;
  readonly afterRevision: number;
  readonly notify: (value: StoredValue) => void;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** The data of the store, shared by all its ports. */
export class FakeEtcdStore {
  readonly #values = new Map<string, StoredValue>();
  readonly #watches = new Set<PendingWatch>();
  readonly counters = { reads: 0, writes: 0, watches: 0 };
  readonly #leases = new Map<string, Lease>();
  #leaseCount = 0;
  #revision = 0;

  /** Builds the server of one port, with its own faults. */
  buildApp(): hono.Hono {
    let faults = NO_FAULTS;
    const app = new hono.Hono();
    app.post("/control", async (context) => {
      faults = {
        ...faults,
        ...await context.req.json() as Partial<EtcdFaults>,
      };
      if (faults.mode === "down") this.#endPendingWatches();
      return context.json(faults);
    });
    app.get(
      "/control/counters",
      (context) =>
        context.json({ ...this.counters, waiting: this.#watches.size }),
    );
    app.use("/v3/*", async (context, next) => {
      if (faults.mode === "down") return breakConnection(context);
      if (faults.mode === "nonsense") {
        return context.text("<html>not a store</html>");
      }
      if (faults.delayMs > 0) await sleep(faults.delayMs);
      await next();
      const isWrite = context.res.headers.get("x-write") === "1";
      if (isWrite && faults.loseReplies > 0) {
        faults = { ...faults, loseReplies: faults.loseReplies - 1 };
        return breakConnection(context);
      }
      return undefined;
    });
    app.post("/v3/kv/range", async (context) => {
      this.counters.reads += 1;
      return context.json(this.#range(await context.req.json()));
    });
    app.post("/v3/kv/put", async (context) => {
      const { key, value, lease } = await context.req.json() as Put;
      this.#put(key, value, lease);
      context.header("x-write", "1");
      return context.json({ header: this.#buildHeader() });
    });
    app.post("/v3/kv/txn", async (context) => {
      const reply = this.#transact(await context.req.json());
      if (reply.succeeded) context.header("x-write", "1");
      return context.json(reply);
    });
    app.post("/v3/kv/deleterange", async (context) => {
      const deleted = this.#deleteRange(await context.req.json());
      context.header("x-write", "1");
      return context.json({
        header: this.#buildHeader(),
        deleted: String(deleted),
      });
    });
    app.post("/v3/lease/grant", async (context) => {
      const { TTL } = await context.req.json() as { TTL: string };
      return context.json(this.#grantLease(Number(TTL)));
    });
    app.post("/v3/lease/keepalive", async (context) => {
      const { ID } = await context.req.json() as { ID: string };
      return context.json({ result: this.#renewLease(ID) });
    });
    app.post("/v3/lease/revoke", async (context) => {
      const { ID } = await context.req.json() as { ID: string };
      this.#endLease(ID);
      return context.json({ header: this.#buildHeader() });
    });
    app.post("/v3/watch", async (context) => {
      const body = await context.req.json() as {
        create_request: { key: string; start_revision?: string };
      };
      return this.#watch(body.create_request, () => faults.mode === "down");
    });
    return app;
  }

  #grantLease(
    ttlSeconds: number,
  ): { readonly ID: string; readonly TTL: string } {
    this.counters.writes += 1;
    this.#leaseCount += 1;
    const ID = String(this.#leaseCount);
    this.#leases.set(ID, {
      ttlSeconds,
      expiresAtMs: Date.now() + ttlSeconds * 1_000,
    });
    return { ID, TTL: String(ttlSeconds) };
  }

  /** The reply for an ended lease has a time to live of 0, as etcd specifies. */
  #renewLease(ID: string): { readonly ID: string; readonly TTL: string } {
    this.counters.writes += 1;
    this.#endExpiredLeases();
    const lease = this.#leases.get(ID);
    if (lease === undefined) return { ID, TTL: "0" };
    lease.expiresAtMs = Date.now() + lease.ttlSeconds * 1_000;
    return { ID, TTL: String(lease.ttlSeconds) };
  }

  #endExpiredLeases(): void {
    for (const [ID, lease] of this.#leases) {
      if (lease.expiresAtMs <= Date.now()) this.#endLease(ID);
    }
  }

  #endLease(ID: string): void {
    this.#leases.delete(ID);
    for (const [key, stored] of this.#values) {
      if (stored.lease === ID) this.#values.delete(key);
    }
  }

  #buildHeader(): { readonly revision: string } {
    return { revision: String(this.#revision) };
  }

  #endPendingWatches(): void {
    // This also ends the watches of other ports: their clients watch again at
    // once, while those of this port find it down.
    for (const watch of [...this.#watches]) this.#watches.delete(watch);
  }

  #put(key: string, value: string, lease?: string): void {
    this.counters.writes += 1;
    this.#revision += 1;
    const createRevision = this.#values.get(key)?.createRevision ??
      this.#revision;
    const stored = {
      value,
      createRevision,
      modRevision: this.#revision,
      lease,
    };
    this.#values.set(key, stored);
    for (const watch of [...this.#watches]) {
      if (watch.key !== key || stored.modRevision <= watch.afterRevision) {
        continue;
      }
      this.#watches.delete(watch);
      watch.notify(stored);
    }
  }

  #renderKeyValue(
    key: string,
    stored: StoredValue,
  ): Readonly<Record<string, string>> {
    return {
      key,
      value: stored.value,
      create_revision: String(stored.createRevision),
      mod_revision: String(stored.modRevision),
    };
  }

  /** Lists the keys of a request: `key` alone, or from `key` to `range_end`, exclusive. */
  #listKeys(request: KeyRange): readonly string[] {
    this.#endExpiredLeases();
    if (request.range_end === undefined) {
      return this.#values.has(request.key) ? [request.key] : [];
    }
    const from = Buffer.from(request.key, "base64");
    const end = Buffer.from(request.range_end, "base64");
    return [...this.#values.keys()].filter((key) => {
      const bytes = Buffer.from(key, "base64");
      return Buffer.compare(bytes, from) >= 0 && Buffer.compare(bytes, end) < 0;
    });
  }

  #deleteRange(request: KeyRange): number {
    this.counters.writes += 1;
    const keys = this.#listKeys(request);
    for (const key of keys) this.#values.delete(key);
    return keys.length;
  }

  #range(request: KeyRange): unknown {
    const kvs = this.#listKeys(request)
      .map((key) =>
        this.#renderKeyValue(key, this.#values.get(key) as StoredValue)
      );
    const found = kvs.length > 0 ? { kvs, count: String(kvs.length) } : {};
    return { header: this.#buildHeader(), ...found };
  }

  #transact(request: {
    readonly compare?: readonly Compare[];
    readonly success?: readonly RequestOp[];
    readonly failure?: readonly RequestOp[];
  }): {
    readonly succeeded?: true;
    readonly header: unknown;
    readonly responses: unknown;
  } {
    const areConditionsMet = (request.compare ?? []).every((compare) =>
      this.#isConditionMet(compare)
    );
    const operations = areConditionsMet
      ? request.success ?? []
      : request.failure ?? [];
    if (!areConditionsMet) this.counters.reads += 1;
    const responses = operations.map((operation) => {
      if (operation.request_put !== undefined) {
        const { key, value, lease } = operation.request_put;
        this.#put(key, value, lease);
        return { response_put: {} };
      }
      return {
        response_range: this.#range(operation.request_range ?? { key: "" }),
      };
    });
    return {
      header: this.#buildHeader(),
      ...(areConditionsMet ? { succeeded: true } : {}),
      responses,
    };
  }

  #isConditionMet(compare: Compare): boolean {
    const stored = this.#values.get(compare.key);
    if (compare.target === "CREATE") {
      return String(stored?.createRevision ?? 0) ===
        (compare.create_revision ?? "0");
    }
    return String(stored?.modRevision ?? 0) === (compare.mod_revision ?? "0");
  }

  #watch(
    request: { readonly key: string; readonly start_revision?: string },
    isDown: () => boolean,
  ): Response {
    this.counters.watches += 1;
    const afterRevision = Number(request.start_revision ?? 1) - 1;
    const encoder = new TextEncoder();
    let watch: PendingWatch | undefined;
    let timer: NodeJS.Timeout | undefined;
    const stream = new ReadableStream<Uint8Array>({
      start: (controller) => {
        const send = (value: unknown) =>
          controller.enqueue(
            encoder.encode(`${JSON.stringify({ result: value })}\n`),
          );
        const notify = (stored: StoredValue) => {
          if (isDown()) return;
          send({
            header: this.#buildHeader(),
            events: [{ kv: this.#renderKeyValue(request.key, stored) }],
          });
        };
        send({ header: this.#buildHeader(), created: true });
        const current = this.#values.get(request.key);
        if (current !== undefined && current.modRevision > afterRevision) {
          notify(current);
          return;
        }
        watch = { key: request.key, afterRevision, notify };
        this.#watches.add(watch);
        timer = setInterval(() => {
          if (watch !== undefined && this.#watches.has(watch)) return;
          clearInterval(timer);
          controller.close();
        }, 100);
      },
      cancel: () => {
        clearInterval(timer);
        if (watch !== undefined) this.#watches.delete(watch);
      },
    });
    return new Response(stream, {
      headers: { "content-type": "application/json" },
    });
  }
}

/** Closes the connection without a reply, as a crashed server does. */
function breakConnection(context: hono.Context): Response {
  const { incoming } = context.env as {
    incoming: { socket: { destroy: () => void } };
  };
  incoming.socket.destroy();
  return new Response(null, { status: 503 });
}

/** A store that serves the same data on two ports. */
export interface RunningEtcdStore {
  readonly first: listening.FakeServer;
  readonly second: listening.FakeServer;
}

/** Starts the stand-in; the second port is always a free one. */
export async function startEtcdStore(port = 0): Promise<RunningEtcdStore> {
  const store = new FakeEtcdStore();
  const first = await listening.listen(store.buildApp(), port);
  const second = await listening.listen(store.buildApp());
  return { first, second };
}
