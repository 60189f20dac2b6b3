// Configurations with many routes come in quick succession, and nothing else happens:
// no entry may end, and what it has passed on must be answered.
import * as http from "node:http";
import * as path from "node:path";
import * as url from "node:url";
import * as scenes from "../scene-2.mjs";

const HAS_TROUBLE = process.env["TROUBLE"] !== "0";
/** big_config: 1,400 routes more, three times; the value stays under valueBytes. */
const ADDED_ROUTES = 1_400;
const BIG_CONFIGS = 3;
/** config_storm: a change each 0.33 s for 4 s; then nothing changes for a while. */
const STORM_GAP_MS = 330;
const STORM_CHANGES = 12;
const CALM_MS = 5_000;
const STORMS = 8;
const ORDERS_AT_ONCE = 8;
const ORDER_WORK_MS = 200;
/** LOST: more than three in all. */
const ALLOWED_LOSSES = 3;

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const scene = new scenes.Scene(path.join(folder, "record.txt"));
const { record, store } = scene;

const extraRoutes = [];
let version = 1;
function writeConfiguration(timeoutMs = 800) {
  version += 1 + version % 3;
  const base = scenes.buildConfiguration(version);
  const routes = base.routes.map((route) =>
    route.name === "plan" ? route : { ...route, timeoutMs }
  );
  const configuration = { ...base, routes: [...routes, ...extraRoutes] };
  store.put("op/config", configuration);
  return JSON.stringify(configuration).length;
}

function addRoutes() {
  for (let count = 0; count < ADDED_ROUTES; count += 1) {
    const name = `extra-${extraRoutes.length}`;
    extraRoutes.push(scenes.buildRoute(name, { timeoutMs: 800 }));
  }
}

let isOver = false;
const orders = [];

/** Sends one order after the other on one kept connection. */
async function placeOrders(entry, client) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (let number = 1; !isOver; number += 1) {
    if (!entry.isRunning) {
      await scenes.sleep(50);
      continue;
    }
    const id = `${entry.name}-c${client}-${number}`;
    const order = { id, entry, sentAtMs: performance.now() };
    const answer = await scenes.call({
      host: entry.ip,
      port: entry.port,
      path: "/order/2f",
      method: "POST",
      agent,
      timeoutMs: 1_500,
      headers: {
        host: scenes.HOST,
        authorization: `Token ${scenes.KEY}`,
        "x-jackdawbank-attempt-id": id,
        "x-jackdawbank-deadline-ms": "1500",
      },
      body: "crates",
    });
    orders.push({ ...order, ...answer, endedAtMs: performance.now() });
    const what = answer.status ?? `no answer: ${answer.error}`;
    if (number % 20 === 1 || answer.status !== 200) {
      record.add(`${id}: sent, ${what}`);
    }
    await scenes.sleep(20);
  }
  agent.destroy();
}

async function play() {
  await scene.start({ entries: 2 });
  for (let count = 0; count < BIG_CONFIGS; count += 1) addRoutes();
  const bytes = writeConfiguration();
  record.add(
    `configuration with ${3 + extraRoutes.length} routes, ${bytes} bytes`,
  );
  for (const number of [1, 2, 3]) {
    await scene.addReplica(
      `i-desk-${number}`,
      "order-desk",
      async (replica, run, response) => {
        await scenes.sleep(ORDER_WORK_MS);
        replica.answerWhole(run, response);
      },
    );
  }
  for (const number of [1, 2, 3, 4]) {
    await scene.addReplica(`i-llm-${number}`, "assistant-llm", () => {});
  }
  for (const entry of scene.entries) {
    // The platform restarts a process that has ended, after a short delay.
    entry.onExit = async () => {
      await scenes.sleep(500);
      if (!isOver) entry.start();
    };
    entry.start();
  }
  for (const entry of scene.entries) await entry.waitReady();
  const callers = scene.entries.flatMap((entry) =>
    Array.from(
      { length: ORDERS_AT_ONCE },
      (_, client) => placeOrders(entry, client),
    )
  );
  for (let storm = 1; storm <= STORMS; storm += 1) {
    for (let change = 1; change <= STORM_CHANGES; change += 1) {
      if (HAS_TROUBLE) writeConfiguration(800 + change % 7);
      await scenes.sleep(STORM_GAP_MS);
    }
    const memory = scene.entries.map((entry) =>
      `${entry.name} ${entry.readMemoryMb()} MB`
    );
    const changes = HAS_TROUBLE ? storm * STORM_CHANGES : 0;
    record.add(`${changes} changes; ${memory.join(", ")}`);
    if (scene.entries.every(({ exits }) => exits.length > 0)) break;
    await scenes.sleep(CALM_MS);
  }
  isOver = true;
  await Promise.all(callers);
}

function judge() {
  const ran = new Set(
    scene.replicas.flatMap(({ runs }) => runs.map(({ id }) => id)),
  );
  const lost = orders.filter((order) =>
    order.status === undefined && ran.has(order.id)
  );
  const exits = scene.entries.flatMap(({ exits }) => exits);
  for (const { id, error } of lost) record.add(`lost: ${id}: ${error}`);
  record.add(
    `${orders.length} orders, ${lost.length} passed on and not answered`,
  );
  record.add(`beside: ${exits.length} processes ended by themselves`);
  return lost.length > ALLOWED_LOSSES ? 1 : 0;
}

let code = 2;
try {
  await play();
  code = judge();
} catch (thrown) {
  record.add(`could not run: ${thrown.stack}`);
} finally {
  isOver = true;
  for (const entry of scene.entries) entry.onExit = undefined;
  scene.close();
}
record.add(`exit code ${code}`);
process.exit(code);
