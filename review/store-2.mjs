// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: items
// with revisions, long-poll watches, conditional writes, leases, 20 s of history.
import * as http from "node:http";

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const HISTORY_MS = 20_000;
const MAX_TTL_MS = 600_000;

/** Encodes a value as base64 text. */
export function encodeValue(data) {
  return Buffer.from(JSON.stringify(data)).toString("base64");
}

export class Store {
  constructor() {
    this.items = new Map();
    this.changes = [];
    this.revision = 10;
    this.leases = new Map();
    this.waiting = new Set();
    /** Called for each watch that is answered, with its number of events and bytes. */
    this.onWatch = () => {};
    /** Called with each path; a string tells how the call is refused. */
    this.refuse = () => undefined;
    /** Whether an answer of a watch is bounded like a page; the rest follows `at`. */
    this.boundsWatches = false;
    this.server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.timer = setInterval(() => this.#expire(), 100);
  }

  listen(host = "127.0.0.1") {
    return new Promise((resolve) =>
      this.server.listen(0, host, () => {
        this.port = this.server.address().port;
        resolve(this.port);
      })
    );
  }

  /** Leaves the calls that wait without an answer, once they are to be refused. */
  cutOff() {
    for (const wake of [...this.waiting]) wake();
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes an item and returns its revision: the moment of the ack. */
  put(key, data, lease = 0) {
    return this.putValue(key, encodeValue(data), lease);
  }

  /** The same with a value that is encoded already. */
  putValue(key, value, lease = 0) {
    return this.#write([{ key, value, lease }], []);
  }

  remove(key) {
    return this.items.has(key) ? this.#write([], [key]) : this.revision;
  }

  read(key) {
    const item = this.items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  #write(writes, removals) {
    this.revision += 1;
    const { revision } = this;
    const atMs = Date.now();
    for (const { key, value, lease = 0 } of writes) {
      const created = this.items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this.items.set(key, item);
      this.changes.push({ atMs, event: item });
    }
    for (const key of removals) {
      if (!this.items.delete(key)) continue;
      this.changes.push({ atMs, event: { key, revision, deleted: true } });
    }
    for (const wake of [...this.waiting]) wake();
    return revision;
  }

  #expire() {
    const nowMs = Date.now();
    for (const [lease, { endsAtMs }] of this.leases) {
      if (endsAtMs > nowMs) continue;
      this.leases.delete(lease);
      const keys = [...this.items.values()].filter((item) =>
        item.lease === lease
      ).map(({ key }) => key);
      if (keys.length > 0) this.#write([], keys);
    }
    let dropped = 0;
    while (
      dropped < this.changes.length &&
      this.changes[dropped].atMs < nowMs - HISTORY_MS
    ) dropped += 1;
    if (dropped > 0) {
      this.oldest = this.changes[dropped - 1].event.revision;
      this.changes.splice(0, dropped);
    }
  }

  async #serve(request, response) {
    const url = new URL(request.url, "http://store");
    let body = "";
    for await (const chunk of request) body += chunk;
    const refusal = this.refuse(url.pathname, request);
    if (refusal === "silent") return;
    if (refusal === "reset") {
      request.socket.resetAndDestroy();
      return;
    }
    if (refusal === "busy") {
      response.writeHead(503).end();
      return;
    }
    const path = url.pathname;
    if (path === "/-/kv-key") return this.#serveItem(url, response);
    if (path === "/-/kv-range") return this.#serveRange(url, response);
    if (path === "/-/kv-watch") return this.#serveWatch(url, response);
    if (path === "/-/kv-txn") {
      return this.#serveTransaction(JSON.parse(body), response);
    }
    if (path === "/-/kv-lease") {
      const ttlMs = Math.min(MAX_TTL_MS, JSON.parse(body).ttlMs);
      this.revision += 1;
      const lease = this.revision;
      this.leases.set(lease, { ttlMs, endsAtMs: Date.now() + ttlMs });
      return send(response, 200, { lease, ttlMs });
    }
    const lease = Number(path.split("/").at(-1));
    const held = this.leases.get(lease);
    if (held === undefined) return send(response, 404, {});
    held.endsAtMs = path.startsWith("/-/kv-lease-end/")
      ? 0
      : Date.now() + held.ttlMs;
    return send(response, 200, { lease, ttlMs: held.ttlMs });
  }

  #serveItem(url, response) {
    const item = this.items.get(url.searchParams.get("key"));
    return item === undefined
      ? send(response, 404, {})
      : send(response, 200, item);
  }

  #serveRange(url, response) {
    const prefix = url.searchParams.get("pathPrefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const matching = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    const items = takePage(matching);
    const hasMore = items.length < matching.length;
    return send(response, 200, { items, hasMore, at: this.revision });
  }

  async #serveWatch(url, response) {
    const after = Number(url.searchParams.get("after"));
    const prefix = url.searchParams.get("pathPrefix") ?? "";
    const endsAtMs = Date.now() + Number(url.searchParams.get("waitMs"));
    for (;;) {
      if (response.destroyed || this.refuse(url.pathname) === "silent") return;
      if (after < (this.oldest ?? 0) || after > this.revision) {
        return send(response, 410, {});
      }
      const all = this.changes.map(({ event }) => event).filter((event) =>
        event.revision > after && event.key.startsWith(prefix)
      );
      const events = this.boundsWatches ? takePage(all) : all;
      const leftMs = endsAtMs - Date.now();
      if (events.length > 0 || leftMs <= 0) {
        const isPart = events.length < all.length;
        const at = isPart ? events.at(-1).revision : this.revision;
        const text = JSON.stringify({ events, at });
        this.onWatch(events.length, text.length);
        response.writeHead(200, { "content-type": "application/json" });
        response.end(text);
        return;
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiting.add(wake);
      });
    }
  }

  #serveTransaction(
    { expectedRevision = [], write = [], remove = [] },
    response,
  ) {
    const isCurrent = expectedRevision.every(({ key, revision }) =>
      (this.items.get(key)?.revision ?? 0) === revision
    );
    if (!isCurrent) {
      const items = expectedRevision.flatMap(({ key }) =>
        this.items.get(key) ?? []
      );
      return send(response, 412, { items });
    }
    const isLeased = write.every(({ lease = 0 }) =>
      lease === 0 || this.leases.has(lease)
    );
    if (!isLeased) return send(response, 404, {});
    return send(response, 200, { revision: this.#write(write, remove) });
  }
}

/** The first items or events, up to the size of a page. */
function takePage(all) {
  let bytes = 0;
  const end = all.findIndex(({ value = "" }, index) => {
    if (index >= PAGE_ITEMS || bytes > PAGE_BYTES) return true;
    bytes += value.length;
    return false;
  });
  return end < 0 ? all : all.slice(0, end);
}

function send(response, status, data) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(data));
}
