// A small deployment on loopback addresses: the store, replicas, and entries that
// run as processes of their own with the command of deploy/system.toml.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import { Store } from "./store-2.mjs";

const ROOT = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  "..",
);
export const HOST = "shop.example";
export const KEY = "key-of-lodge";
const HEARTBEAT_MS = 1_200;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes what is sent, answered and run to a case's file. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedAtMs = performance.now();
    fs.writeFileSync(this.file, "");
  }

  add(text) {
    const atMs = Math.round(performance.now() - this.startedAtMs);
    fs.appendFileSync(this.file, `${String(atMs).padStart(6)} ms  ${text}\n`);
  }
}

async function findFreePort(host) {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The command of the deploy file, split at spaces. */
export function readRunCommand() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error("deploy/system.toml has no run");
  return run.split(" ");
}

/** One entry machine. */
export class Entry {
  constructor(scene, number) {
    this.scene = scene;
    this.name = `edge-gikondo-${number}`;
    // The port of the metrics is fixed, so that each scene has addresses of its own.
    this.ip = `127.${scene.subnet}.${10 + number}`;
    this.exits = [];
    this.output = "";
  }

  async prepare(overrides = {}) {
    this.port = await findFreePort(this.ip);
    this.readinessPort = await findFreePort(this.ip);
    const { peerPort } = this.scene;
    const { memoryMb = 350, drainMs = 2_000, configApplyMs = 2_000 } =
      overrides;
    this.settingsFile = path.join(this.scene.folder, `${this.name}.toml`);
    fs.writeFileSync(
      this.settingsFile,
      `nodeName = "${this.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "${this.ip}"
zone = "gikondo"
region = "kigali"
internalPorts = [${peerPort},${peerPort + 15}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = ${HEARTBEAT_MS}
[zones]
gikondo = "kigali"
[listen]
frontend = "${this.ip}:${this.port}"
readiness = "${this.ip}:${this.readinessPort}"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = ${memoryMb}
fileDescriptors = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
drainMs = ${drainMs}
graceS = 8
lossSlackMs = 200
configApplyMs = ${configApplyMs}
revertSlackMs = 250
partitionMaxMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retrySlack = 52
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
recoverS = 12
passMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
address = "127.0.0.1:${this.scene.store.port}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`,
    );
  }

  start() {
    const [program, ...args] = readRunCommand();
    const { PATH, HOME, LANG } = process.env;
    this.process = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, JACKDAWBANK_NODE_FILE: this.settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const started = this.process;
    const { record } = this.scene;
    record.add(`${this.name}: process ${started.pid} started`);
    const keep = (chunk) => {
      this.output = (this.output + chunk).slice(-4_000_000);
    };
    started.stdout.on("data", keep);
    started.stderr.on("data", keep);
    started.on("exit", (code, signal) => {
      const end = { pid: started.pid, code, signal, atMs: performance.now() };
      this.exits.push(end);
      const how = signal ?? `code ${code}`;
      record.add(`${this.name}: process ${started.pid} ended, ${how}`);
      const fatal = /FATAL ERROR: .*/.exec(this.output)?.[0];
      if (fatal !== undefined) record.add(`${this.name}: ${fatal}`);
      this.onExit?.(end);
    });
  }

  /** Resolves once the readiness probe answers 200. */
  async waitReady(timeoutMs = 10_000) {
    const endAtMs = performance.now() + timeoutMs;
    while (performance.now() < endAtMs) {
      const { status } = await call({
        host: this.ip,
        port: this.readinessPort,
        path: "/-/readyz",
        timeoutMs: 500,
      });
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error(`${this.name} did not become ready`);
  }

  get isRunning() {
    return this.process !== undefined && this.process.exitCode === null &&
      this.process.signalCode === null;
  }

  /** Resident memory in MB, by the kernel's account. */
  readMemoryMb() {
    try {
      const text = fs.readFileSync(`/proc/${this.process.pid}/status`, "utf8");
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1024);
    } catch {
      return 0;
    }
  }

  readLog(event) {
    return this.output.split("\n").flatMap((line) => {
      if (!line.includes(`"event":"${event}"`)) return [];
      try {
        return [JSON.parse(line)];
      } catch {
        return [];
      }
    });
  }

  kill(signal) {
    if (this.isRunning) this.process.kill(signal);
  }
}

/** A replica that registers itself in the store. */
export class Replica {
  constructor(scene, id, service, answer) {
    Object.assign(this, { scene, id, service, answer });
    this.runs = [];
    this.sequence = 1;
    this.born = Date.now();
    this.state = "ready";
    this.version = "v1";
    this.sockets = new Set();
    this.server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 20_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = this.server.address().port;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  beat() {
    this.sequence += 1;
    this.scene.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: "gikondo",
      version: this.version,
      slots: 32,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const id = request.headers["x-jackdawbank-attempt-id"] ?? "";
    const expected = request.headers["x-jackdawbank-expected-instance"];
    const echo = { "x-jackdawbank-attempt-id": id };
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...echo, "x-jackdawbank-not-executed": "1" });
      response.end();
      return;
    }
    const run = {
      id,
      path: request.url,
      headers: request.headers,
      body: Buffer.concat(chunks),
      atMs: performance.now(),
    };
    this.runs.push(run);
    this.scene.record.add(`${this.id}: runs ${id} ${request.url}`);
    await this.answer(this, run, response);
  }

  /** Answers in full, with the receipt. */
  answerWhole(run, response, body = `run by ${this.id}`) {
    response.writeHead(200, {
      "x-jackdawbank-attempt-id": run.id,
      "x-jackdawbank-response-signature": `${this.id}.${this.runs.length}`,
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  }
}

/** Sends one request; resolves with its status and body, or with what went wrong. */
export function call(
  {
    host,
    port,
    path: target,
    method = "GET",
    headers = {},
    body,
    agent,
    timeoutMs = 5_000,
  },
) {
  return new Promise((resolve) => {
    const startedAtMs = performance.now();
    const finish = (result) =>
      resolve({ ...result, tookMs: performance.now() - startedAtMs });
    const request = http.request(
      { host, port, path: target, method, headers, agent, timeout: timeoutMs },
      (response) => {
        let text = "";
        response.setEncoding("utf8");
        response.on("data", (chunk) => text += chunk);
        response.on("end", () =>
          finish({
            status: response.statusCode,
            headers: response.headers,
            text,
            isComplete: response.complete,
          }));
        response.on(
          "error",
          (error) =>
            finish({ status: response.statusCode, text, error: error.message }),
        );
      },
    );
    request.on(
      "timeout",
      () => request.destroy(new Error("no answer in time")),
    );
    request.on("error", (error) => finish({ error: error.message }));
    request.end(body);
  });
}

/** All parts of one deployment; `close` ends them. */
export class Scene {
  constructor(recordFile) {
    this.record = new Record(recordFile);
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    this.store = new Store();
    const draw = () => 1 + Math.floor(Math.random() * 250);
    this.subnet = `${draw()}.${draw()}`;
    this.entries = [];
    this.replicas = [];
    // However the script ends, its processes end with it.
    process.once("exit", () => {
      for (const entry of this.entries) entry.kill("SIGKILL");
    });
    for (const signal of ["SIGTERM", "SIGINT"]) {
      process.once(signal, () => process.exit(2));
    }
  }

  async start({ entries = 1, ...settings } = {}) {
    await this.store.listen();
    this.peerPort = 20_000 + Math.floor(Math.random() * 20_000);
    for (let number = 1; number <= entries; number += 1) {
      const entry = new Entry(this, number);
      await entry.prepare(settings);
      this.entries.push(entry);
    }
  }

  async addReplica(id, service, answer) {
    const replica = new Replica(this, id, service, answer);
    await replica.start();
    this.replicas.push(replica);
    return replica;
  }

  close() {
    for (const entry of this.entries) entry.kill("SIGKILL");
    for (const replica of this.replicas) replica.close();
    this.store.close();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** One route of the operator's configuration. */
export function buildRoute(name, overrides = {}) {
  return {
    name,
    hostname: HOST,
    pathPrefix: `/${name}/`,
    type: "idempotent",
    service: "order-desk",
    timeoutMs: 800,
    targetLatencyMs: 150,
    priority: 0,
    maxAttempts: 2,
    public: false,
    ...overrides,
  };
}

/** The operator's configuration. */
export function buildConfiguration(version, overrides = {}) {
  return {
    version,
    routes: [
      buildRoute("order", { type: "non_idempotent", maxAttempts: 1 }),
      buildRoute("check"),
      buildRoute("plan", {
        type: "streaming",
        service: "assistant-llm",
        timeoutMs: 20_000,
        targetLatencyMs: 2_000,
        maxAttempts: 3,
        sizes: ["m0", "m1"],
        sessionAffinity: true,
        streamResume: true,
        gapTargetMs: 1_200,
      }),
    ],
    services: [
      { name: "order-desk", healthPath: "/healthz", maxConnections: 96 },
      {
        name: "assistant-llm",
        healthPath: "/healthz",
        maxConnections: 230,
        engine: {
          slots: 32,
          kvCapacity: 604_348,
          models: [{ name: "m0", cost: 0.02 }, { name: "m1", cost: 0.15 }],
        },
      },
    ],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "lodge", apiKeys: [KEY], priority: 1 }],
    ...overrides,
  };
}
