/**
 * Stand-ins of the third review: the platform's store, replicas and callers, and the
 * start of entries with the command of the deploy file. Nothing but Node's own modules.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

const ROOT = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));
export const HOST = "shop.example";
export const KEY = "key-of-lodge";

export function sleep(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Listens on a free port of an address; resolves with the port. */
export function listen(server, host = "127.0.0.1") {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, () => resolve(server.address().port));
  });
}

async function findFreePort(host, isUsable = () => true) {
  for (;;) {
    const server = net.createServer();
    const port = await listen(server, host);
    await new Promise((resolve) => server.close(resolve));
    if (isUsable(port)) return port;
  }
}

/** The record of a run: what was sent, answered and run. */
export class Record {
  #lines = [];
  #startedAtMs = performance.now();

  add(text) {
    const atMs = Math.round(performance.now() - this.#startedAtMs);
    this.#lines.push(`${String(atMs).padStart(7)} ms  ${text}`);
  }

  render() {
    return `${this.#lines.join("\n")}\n`;
  }
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

/** The platform's metadata store. */
export class Store {
  #revision = 10;
  #items = new Map();
  #changes = [];
  #leases = 0;
  #waiting = new Set();
  #server = http.createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  async start() {
    this.port = await listen(this.#server);
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(key, data) {
    this.#write(key, Buffer.from(JSON.stringify(data)).toString("base64"), 0);
  }

  remove(key) {
    this.#revision += 1;
    this.#items.delete(key);
    this.#announce({ key, revision: this.#revision, deleted: true });
  }

  read(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#announce(item);
  }

  #announce(change) {
    this.#changes.push(change);
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(request, response) {
    const body = await readBody(request);
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const answer = (status, data) => {
      const text = JSON.stringify(data);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (pathname === "/-/kv-key") {
      const item = this.#items.get(searchParams.get("key"));
      return item === undefined ? answer(404, {}) : answer(200, item);
    }
    if (pathname === "/-/kv-range") {
      const prefix = searchParams.get("pathPrefix") ?? "";
      const items = [...this.#items.values()].filter(({ key }) =>
        key.startsWith(prefix)
      ).sort((a, b) => (a.key < b.key ? -1 : 1));
      return answer(200, { items, hasMore: false, at: this.#revision });
    }
    if (pathname === "/-/kv-watch") {
      const after = Number(searchParams.get("after"));
      const prefix = searchParams.get("pathPrefix") ?? "";
      const find = () =>
        this.#changes.filter(({ key, revision }) =>
          revision > after && key.startsWith(prefix)
        );
      if (find().length === 0) {
        await new Promise((resolve) => {
          const wake = () => {
            if (find().length > 0) finish();
          };
          const finish = () => {
            clearTimeout(timer);
            this.#waiting.delete(wake);
            resolve();
          };
          const timer = setTimeout(finish, Number(searchParams.get("waitMs")));
          this.#waiting.add(wake);
          response.once("close", finish);
        });
      }
      return answer(200, { events: find(), at: this.#revision });
    }
    if (pathname === "/-/kv-txn") {
      const { expectedRevision = [], write = [], remove = [] } = JSON.parse(
        body,
      );
      const holds = expectedRevision.every(({ key, revision }) =>
        (this.#items.get(key)?.revision ?? 0) === revision
      );
      if (!holds) return answer(412, { items: [] });
      for (const { key, value, lease } of write) {
        this.#write(key, value, lease ?? 0);
      }
      for (const key of remove) this.remove(key);
      return answer(200, { revision: this.#revision });
    }
    if (pathname === "/-/kv-lease") {
      this.#leases += 1;
      const { ttlMs } = JSON.parse(body);
      return answer(200, { lease: this.#leases, ttlMs });
    }
    if (pathname.startsWith("/-/kv-keep/")) return answer(200, {});
    return answer(404, {});
  }
}

/** Routes of a plain service and of a model, as the operator writes them. */
export function buildConfiguration(version = 1) {
  const shared = { hostname: HOST, priority: 0, public: false };
  const plain = { service: "desk", targetLatencyMs: 150 };
  return {
    version,
    routes: [
      {
        ...shared,
        ...plain,
        name: "order",
        pathPrefix: "/order/",
        type: "non_idempotent",
        timeoutMs: 60_000,
        maxAttempts: 1,
      },
      {
        ...shared,
        ...plain,
        name: "check",
        pathPrefix: "/check/",
        type: "idempotent",
        timeoutMs: 5_000,
        maxAttempts: 2,
      },
      {
        ...shared,
        name: "draft",
        pathPrefix: "/draft/",
        type: "streaming",
        service: "llm",
        timeoutMs: 20_000,
        targetLatencyMs: 2_000,
        maxAttempts: 3,
        sessionAffinity: true,
        streamResume: true,
        gapTargetMs: 1_200,
      },
    ],
    services: [
      { name: "desk", healthPath: "/healthz", maxConnections: 96 },
      {
        name: "llm",
        healthPath: "/healthz",
        maxConnections: 230,
        engine: { slots: 32, kvCapacity: 600_000, models: [] },
      },
    ],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "lodge", apiKeys: [KEY] }],
  };
}

export function buildEntry(service, port, slots) {
  return {
    service,
    address: `127.0.0.1:${port}`,
    zone: "a",
    version: "v1",
    slots,
    state: "ready",
    coldRemainingMs: 0,
    sequence: 1,
    born: Date.now(),
  };
}

/** Entries, started with the command of the deploy file. */
export class Entry {
  static async start(store, { name = "edge-1", ip, memoryMb = 350 } = {}) {
    const entry = new Entry();
    // An address of its own, as the port of the metrics is fixed.
    entry.ip = ip ??
      `127.${20 + process.pid % 200}.${Date.now() % 250}.${
        1 + Math.floor(Math.random() * 250)
      }`;
    entry.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-3-"));
    entry.callers = await findFreePort(entry.ip);
    entry.readiness = await findFreePort(entry.ip);
    const internal = await findFreePort(entry.ip, (port) => port < 65_000);
    const settingsPath = path.join(entry.folder, "local.toml");
    fs.writeFileSync(
      settingsPath,
      `
nodeName = "${name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "${entry.ip}"
zone = "a"
region = "r"
internalPorts = [${internal},${internal + 15}]
heartbeatMs = 1200
[zones]
a = "r"
[listen]
frontend = "${entry.ip}:${entry.callers}"
readiness = "${entry.ip}:${entry.readiness}"
[limits]
memoryMb = ${memoryMb}
fileDescriptors = 4200
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
revokeMs = 5000
strictRevocation = true
retryBudgetRatio = 0.9
retryWindowS = 10
retrySlack = 52
exposureShare = 0.15
sessionS = 5
reuseWindowS = 10
[platform]
address = "127.0.0.1:${store.port}"
`,
    );
    const deploy = fs.readFileSync(
      path.join(ROOT, "deploy/system.toml"),
      "utf8",
    );
    const [command, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    entry.process = childProcess.spawn(command, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        JACKDAWBANK_NODE_FILE: settingsPath,
      },
      stdio: ["ignore", "ignore", "inherit"],
    });
    entry.ended = new Promise((resolve) => {
      entry.process.once("exit", (code, signal) => resolve({ code, signal }));
    });
    return entry;
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const endAtMs = performance.now() + timeoutMs;
    while (performance.now() < endAtMs) {
      const status = await new Promise((resolve) => {
        http.get(
          { host: this.ip, port: this.readiness, path: "/-/readyz" },
          (response) => {
            response.resume();
            resolve(response.statusCode);
          },
        ).on("error", () => resolve(0));
      });
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error("the entry is not ready");
  }

  async close() {
    this.process.kill("SIGKILL");
    await this.ended;
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

let attempts = 0;

/** Renders a caller's request. */
export function renderRequest(target, headers = {}) {
  attempts += 1;
  const id = `${process.pid.toString(16)}${attempts.toString(16)}`
    .padStart(16, "0");
  const lines = {
    "Host": HOST,
    "X-Jackdawbank-Attempt-Id": id,
    "Authorization": `Token ${KEY}`,
    "Content-Length": "0",
    ...headers,
  };
  const head = Object.entries(lines).map(([name, value]) =>
    `${name}: ${value}\r\n`
  ).join("");
  return { id, text: `POST ${target} HTTP/1.1\r\n${head}\r\n` };
}

/** What a caller sees of one answer on a connection of its own. */
export class Answer {
  bytes = Buffer.alloc(0);
  /** The connection was ended in order. */
  hasEnded = false;
  /** Code of its error, such as a reset. */
  error;

  /** Sends a request; `onOpen` gets the socket. */
  static send(entry, text, onOpen = () => {}) {
    const answer = new Answer();
    const socket = net.connect({ host: entry.ip, port: entry.callers });
    answer.socket = socket;
    socket.on("data", (chunk) => {
      answer.bytes = Buffer.concat([answer.bytes, chunk]);
    });
    socket.on("end", () => answer.hasEnded = true);
    socket.on("error", (error) => answer.error = error.code);
    answer.closed = new Promise((resolve) => socket.on("close", resolve));
    socket.write(text);
    onOpen(socket);
    return answer;
  }

  get #headEnd() {
    return this.bytes.indexOf("\r\n\r\n");
  }

  get head() {
    const end = this.#headEnd;
    return end < 0 ? "" : this.bytes.subarray(0, end).toString("latin1");
  }

  get status() {
    return Number(this.head.split(" ")[1] ?? 0);
  }

  get isChunked() {
    return /^transfer-encoding: chunked$/im.test(this.head);
  }

  get length() {
    const match = /^content-length: (\d+)$/im.exec(this.head);
    return match === null ? undefined : Number(match[1]);
  }

  /** The body so far, and whether the protocol says that this is all of it. */
  readBody() {
    const end = this.#headEnd;
    if (end < 0) return { body: Buffer.alloc(0), isComplete: false };
    const rest = this.bytes.subarray(end + 4);
    if (!this.isChunked) {
      const isComplete = this.length === undefined
        ? this.hasEnded && this.error === undefined
        : rest.length >= this.length;
      return { body: rest, isComplete };
    }
    const parts = [];
    let at = 0;
    for (;;) {
      const lineEnd = rest.indexOf("\r\n", at);
      if (lineEnd < 0) break;
      const size = parseInt(rest.subarray(at, lineEnd).toString(), 16);
      if (size === 0) return { body: Buffer.concat(parts), isComplete: true };
      parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
      at = lineEnd + 2 + size + 2;
      if (at > rest.length) break;
    }
    return { body: Buffer.concat(parts), isComplete: false };
  }
}

/**
 * Runs a case, which writes its own record; exits with 1 if it was broken, 0 if it
 * held, 2 if it could not run.
 */
export async function runCase(writeRecord, run) {
  const record = new Record();
  const closers = [];
  let code = 2;
  const limit = setTimeout(() => {
    record.add("the case took too long");
    writeRecord(record.render());
    for (const close of closers) close();
    process.exit(2);
  }, 100_000);
  try {
    const isBroken = await run({
      record,
      use: (resource) => {
        closers.push(() => resource.close());
        return resource;
      },
    });
    code = isBroken ? 1 : 0;
    record.add(isBroken ? "the rule was broken" : "the rule held");
  } catch (thrown) {
    record.add(`the case could not run: ${thrown.stack}`);
  }
  clearTimeout(limit);
  writeRecord(record.render());
  for (const close of closers.toReversed()) {
    await Promise.race([
      Promise.resolve(close()).catch(() => {}),
      sleep(2_000),
    ]);
  }
  process.exit(code);
}
