/**
 * Starts the project's program with the deploy file's command before stand-ins, and
 * keeps the record of a case.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as url from "node:url";
import * as stores from "./store.mjs";

const ROOT = url.fileURLToPath(new URL("..", import.meta.url));
const PROGRAM = "target/jackdawd.mjs";
const READY_TIMEOUT_MS = 20_000;
/** A case that takes longer than this counts as not run. */
const PLAY_TIMEOUT_MS = 100_000;
/** Not 1, with which Node itself ends after an error; `run.sh` turns it into 1. */
const EXIT_BROKEN = 10;
const EXIT_NOT_RUN = 2;

export const KEY = "key-of-lodge";

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

async function findFreePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function renderSettings({ name, frontend, readiness, peer, store, memoryMb }) {
  return `nodeName = "${name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internalPorts = [${peer}, ${peer}]
bootstrap = true
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
[zones]
a = "r"
[listen]
frontend = "127.0.0.1:${frontend}"
readiness = "127.0.0.1:${readiness}"
[limits]
cpuShare = 0.513
cores = 1
memoryMb = ${memoryMb}
fileDescriptors = 4200
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retrySlack = 52
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
reuseWindowS = 10
sessionS = 5
[platform]
address = "${store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
}

/** One process of the project. */
export class Entry {
  constructor(scene, ports) {
    Object.assign(this, ports);
    this.scene = scene;
    this.hasExited = false;
  }

  start(settingsPath) {
    this.child = childProcess.spawn("node", [
      "--max-old-space-size=200",
      PROGRAM,
      "platform-entry",
      "--metrics",
      `${this.metrics}/metrics`,
    ], {
      cwd: ROOT,
      stdio: ["ignore", this.scene.logFile, this.scene.logFile],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        JACKDAWBANK_NODE_FILE: settingsPath,
      },
    });
    this.exited = new Promise((resolve) =>
      this.child.once("exit", (code, signal) => {
        this.hasExited = true;
        this.scene.record("exit", { entry: this.name, code, signal });
        resolve();
      })
    );
  }

  signal(name) {
    this.scene.record("signal", { entry: this.name, signal: name });
    this.child.kill(name);
  }

  probe() {
    return new Promise((resolve) => {
      const [host, port] = this.readiness.split(":");
      const request = http.get({ host, port, path: "/-/readyz", agent: false });
      request.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("error", () => resolve(false));
    });
  }

  async waitUntilReady() {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (!await this.probe()) {
      if (this.hasExited || performance.now() > endMs) {
        throw new Error(`${this.name} did not become ready`);
      }
      await timers.setTimeout(50);
    }
  }
}

/** One play of a case. */
export class Scene {
  constructor() {
    this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    this.logFile = fs.openSync(path.join(this.temporary, "log.txt"), "a");
    this.lines = [];
    this.startedAtMs = performance.now();
    this.store = new stores.Store();
    this.entries = [];
    this.standIns = [];
    this.record = (what, fields) => {
      const atS = ((performance.now() - this.startedAtMs) / 1_000).toFixed(3);
      this.lines.push(`${atS} ${what} ${JSON.stringify(fields)}`);
    };
  }

  async start({ configuration, replicas, entries = 1, memoryMb = 350 }) {
    const storeAddress = await this.store.listen();
    this.store.put("op/config", configuration);
    for (const replica of replicas) {
      this.standIns.push(replica);
      await replica.listen();
    }
    for (let index = 1; index <= entries; index += 1) {
      const name = `edge-${index}`;
      const [frontend, readiness, peer, metrics] = await Promise.all(
        [1, 2, 3, 4].map(() => findFreePort()),
      );
      const entry = new Entry(this, {
        name,
        address: `127.0.0.1:${frontend}`,
        readiness: `127.0.0.1:${readiness}`,
        metrics,
      });
      const settingsPath = path.join(this.temporary, `${name}.toml`);
      fs.writeFileSync(
        settingsPath,
        renderSettings({
          name,
          frontend,
          readiness,
          peer,
          store: storeAddress,
          memoryMb,
        }),
      );
      entry.start(settingsPath);
      this.entries.push(entry);
    }
    for (const entry of this.entries) await entry.waitUntilReady();
  }

  async close() {
    for (const entry of this.entries) {
      if (!entry.hasExited) entry.signal("SIGKILL");
      await entry.exited;
    }
    for (const standIn of this.standIns) standIn.close();
    this.store.close();
  }
}

/** Writes the record to standard output, which `run.sh` directs to `record.txt`. */
function write(scene) {
  fs.writeFileSync(process.stdout.fd, `${scene.lines.join("\n")}\n`);
}

/** Ends a play that cannot go on; the processes that it started end with it. */
function giveUp(scene, reason) {
  for (const entry of scene.entries) entry.child.kill("SIGKILL");
  scene.record("not run", { reason: String(reason?.stack ?? reason) });
  write(scene);
  process.exit(EXIT_NOT_RUN);
}

/**
 * Plays a case. Exits with 10 if `play` finds its rule broken, with 0 if it held, and
 * with 2 if the case could not run.
 */
export async function run(play) {
  const scene = new Scene();
  process.on("uncaughtException", (thrown) => giveUp(scene, thrown));
  process.on("unhandledRejection", (thrown) => giveUp(scene, thrown));
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => giveUp(scene, signal));
  }
  setTimeout(() => giveUp(scene, "the play took too long"), PLAY_TIMEOUT_MS)
    .unref();
  let code = EXIT_NOT_RUN;
  try {
    const isBroken = await play(scene);
    code = isBroken ? EXIT_BROKEN : 0;
    scene.record("verdict", { isBroken, hasTrouble });
  } catch (thrown) {
    giveUp(scene, thrown);
  }
  await scene.close();
  write(scene);
  if (process.env.KEEP_LOG === undefined) {
    fs.rmSync(scene.temporary, { recursive: true });
  } else console.error(scene.temporary);
  process.exit(code);
}
