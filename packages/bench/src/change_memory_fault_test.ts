/**
 * Tests that large configurations in quick succession do not fill an entry's
 * memory, and that orders placed beside them are answered.
 */
import * as http from "node:http";
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as memory from "./memory_harness.ts";
import * as processes from "./processes.ts";

// Serial, because each test measures the memory of a process under load.
const test = ava.default.serial;

const LIMITS: memory.MachineLimits = { memoryMb: 350, fileDescriptors: 4_200 };
/** Routes of a configuration close to the largest value that the store takes. */
const ADDED_ROUTES = 4_200;
/** Far more than fit into the heap beside each other. */
const CHANGES = 120;
const CHANGE_INTERVAL_MS = 100;
const CLIENTS = 8;

function buildRoutes(timeoutMs: number): readonly unknown[] {
  return Array.from({ length: ADDED_ROUTES }, (_, number) => ({
    name: `extra-${number}`,
    hostname: fakes.samples.HOST,
    pathPrefix: `/extra-${number}/`,
    type: "idempotent",
    service: "desk",
    timeoutMs,
    targetLatencyMs: 150,
    priority: 0,
    maxAttempts: 2,
    public: false,
  }));
}

/** Places orders on kept connections until told to stop; resolves with how each ended. */
async function placeOrders(
  machine: memory.SmallMachine,
  signal: AbortSignal,
): Promise<readonly (number | string)[]> {
  const results: (number | string)[] = [];
  const agent = new http.Agent({ keepAlive: true, maxSockets: CLIENTS });
  const clients = Array.from({ length: CLIENTS }, async () => {
    while (!signal.aborted && machine.entry.isRunning) {
      results.push(await machine.placeOrder(agent));
    }
  });
  await Promise.all(clients);
  agent.destroy();
  return results;
}

/** Changes the configuration again and again beside orders, and checks the entry afterwards. */
async function runChanges(
  t: ava.ExecutionContext,
  afterChange: (machine: memory.SmallMachine, change: number) => Promise<void>,
): Promise<void> {
  await memory.withSmallMachine(LIMITS, async (machine) => {
    const stop = new AbortController();
    const placed = placeOrders(machine, stop.signal);
    let version = 0;
    for (
      let change = 1;
      change <= CHANGES && machine.entry.isRunning;
      change += 1
    ) {
      version = machine.putConfiguration(buildRoutes(800 + change % 7));
      await afterChange(machine, change);
    }
    if (machine.entry.isRunning) {
      await processes.waitFor(
        "the entry has the newest configuration",
        async () => await machine.readGauge("table_revision") === version,
      );
    }
    stop.abort();
    const results = await placed;
    t.deepEqual(results.filter((result) => result !== 200), []);
    if (!t.true(machine.entry.isRunning, machine.describeEnd())) return;
    await memory.assertWithinLimits(t, machine, LIMITS);
  });
}

// Guards against LOST: each configuration was kept for peers that poll, and the heap ran full.
test("large configurations in quick succession do not end an entry", (t) =>
  runChanges(t, () => kernel.sleep(CHANGE_INTERVAL_MS)));

// Guards against LOST: one answer brings many configurations to a process that was suspended.
test("large configurations do not end an entry that is suspended now and then", (t) =>
  runChanges(t, async (machine, change) => {
    if (change % 20 === 5) machine.entry.suspend();
    if (change % 20 === 15) machine.entry.resume();
    await kernel.sleep(CHANGE_INTERVAL_MS);
  }));
