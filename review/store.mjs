/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
import * as http from "node:http";
import * as timers from "node:timers/promises";

const PAGE_SIZE = 500;
const ANSWER_DELAY_MS = 4;
const POLL_INTERVAL_MS = 5;

function send(response, status, data) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(data ?? {}));
}

export class Store {
  #items = new Map();
  #changes = [];
  #leases = new Map();
  #revision = 10;
  #server = http.createServer((request, response) => {
    void this.#serve(request, response);
  });

  /** Starts the store and resolves with its address. */
  async listen(host = "127.0.0.1") {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  put(key, data) {
    return this.putBytes(key, Buffer.from(JSON.stringify(data)));
  }

  putBytes(key, bytes) {
    return this.#write(key, Buffer.from(bytes).toString("base64"), 0);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#changes.push({ key, revision: this.#revision, deleted: true });
  }

  read(key) {
    const item = this.#items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
    for (const timer of this.#leases.values()) clearTimeout(timer.timer);
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const revision = this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    this.#items.set(key, item);
    this.#changes.push(item);
    return revision;
  }

  async #serve(request, response) {
    const url = new URL(request.url, "http://store");
    let text = "";
    for await (const chunk of request) text += chunk;
    const body = text === "" ? {} : JSON.parse(text);
    await timers.setTimeout(ANSWER_DELAY_MS);
    const { pathname } = url;
    if (pathname === "/-/kv-range") return this.#serveRange(url, response);
    if (pathname === "/-/kv-watch") return this.#serveWatch(url, response);
    if (pathname === "/-/kv-txn") return this.#serveTransaction(body, response);
    return this.#serveLease(pathname, body, response);
  }

  #serveRange(url, response) {
    const prefix = url.searchParams.get("pathPrefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    send(response, 200, {
      items: found.slice(0, PAGE_SIZE),
      hasMore: found.length > PAGE_SIZE,
      at: this.#revision,
    });
  }

  async #serveWatch(url, response) {
    const after = Number(url.searchParams.get("after"));
    const prefix = url.searchParams.get("pathPrefix") ?? "";
    const endMs = performance.now() + Number(url.searchParams.get("waitMs"));
    for (;;) {
      const events = this.#changes.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
      if (events.length > 0 || performance.now() >= endMs) {
        return send(response, 200, { events, at: this.#revision });
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }

  #serveTransaction(body, response) {
    const expected = body.expectedRevision ?? [];
    const holds = expected.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return send(response, 412, { items });
    }
    for (const { key, value, lease } of body.write ?? []) {
      this.#write(key, value, lease ?? 0);
    }
    for (const key of body.remove ?? []) this.remove(key);
    send(response, 200, { revision: this.#revision });
  }

  #serveLease(pathname, body, response) {
    if (pathname === "/-/kv-lease") {
      this.#revision += 1;
      this.#renew(this.#revision, body.ttlMs);
      return send(response, 200, { lease: this.#revision, ttlMs: body.ttlMs });
    }
    const id = Number(pathname.split("/").at(-1));
    const lease = this.#leases.get(id);
    if (lease === undefined) return send(response, 404);
    if (pathname.startsWith("/-/kv-keep/")) {
      this.#renew(id, lease.ttlMs);
      return send(response, 200, { ttlMs: lease.ttlMs });
    }
    this.#end(id);
    send(response, 200);
  }

  #renew(id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer);
    const timer = setTimeout(() => this.#end(id), ttlMs);
    this.#leases.set(id, { ttlMs, timer });
  }

  #end(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const { key, lease } of [...this.#items.values()]) {
      if (lease === id) this.remove(key);
    }
  }
}
