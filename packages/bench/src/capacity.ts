/**
 * Measures the slopes behind docs/CAPACITY.md on real processes: CPU, memory
 * and mesh traffic of an entry and of upstream processes by the number of idle
 * connections, the request rate and the size of the bundle; and the calls to
 * the store.
 */
import * as crypto from "node:crypto";
import type * as bundle from "@jackdawbank/bundle";
import * as undici from "undici";
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";

const SETTLE_DELAY_MS = 1_500;
const WINDOW_MS = 5_000;
const CONNECTION_COUNTS = [2, 4, 8, 16];
const REQUEST_RATES = [10, 50, 100, 200];
const BUNDLE_BYTES = [1_000, 10_000, 100_000, 900_000];
const BYTES_PER_ACCOUNT = 150;
const MICROS_PER_CORE_SECOND = 1_000_000;

/** Resource usage of a process; CPU and mesh traffic are totals since its start. */
interface UsageSample {
  readonly atMs: number;
  readonly cpuMicros: number;
  readonly residentBytes: number;
  readonly meshBytes: number;
}

/** Resource usage of a process over a window; memory is measured at its end. */
interface UsageRate {
  readonly corePercent: number;
  readonly residentMegabytes: number;
  readonly meshBytesPerSecond: number;
}

interface ProcessStatus {
  readonly process: {
    readonly cpuMicros: number;
    readonly residentBytes: number;
  };
  readonly entry?: {
    readonly sentBytes: number;
    readonly receivedBytes: number;
  };
  readonly gate?: {
    readonly sentBytes: number;
    readonly receivedBytes: number;
  };
}

interface StoreCounters {
  readonly reads: number;
  readonly writes: number;
  readonly waiting: number;
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

async function readUsage(
  deployment: deployments.Deployment,
  id: string,
): Promise<UsageSample> {
  const status = await deployment.readStatus(id) as ProcessStatus;
  const mesh = status.entry ?? status.gate;
  return {
    atMs: performance.now(),
    cpuMicros: status.process.cpuMicros,
    residentBytes: status.process.residentBytes,
    meshBytes: (mesh?.sentBytes ?? 0) + (mesh?.receivedBytes ?? 0),
  };
}

function computeUsageRate(before: UsageSample, after: UsageSample): UsageRate {
  const seconds = (after.atMs - before.atMs) / 1_000;
  return {
    corePercent: (after.cpuMicros - before.cpuMicros) * 100 / seconds /
      MICROS_PER_CORE_SECOND,
    residentMegabytes: after.residentBytes / 1_048_576,
    meshBytesPerSecond: (after.meshBytes - before.meshBytes) / seconds,
  };
}

async function measureUsage(
  deployment: deployments.Deployment,
  ids: readonly string[],
  run: () => Promise<void>,
): Promise<ReadonlyMap<string, UsageRate>> {
  const before = await Promise.all(ids.map((id) => readUsage(deployment, id)));
  await run();
  const after = await Promise.all(ids.map((id) => readUsage(deployment, id)));
  return new Map(
    ids.map((
      id,
      at,
    ) => [
      id,
      computeUsageRate(before[at] as UsageSample, after[at] as UsageSample),
    ]),
  );
}

async function readStoreCounters(
  deployment: deployments.Deployment,
): Promise<StoreCounters> {
  const response = await undici.request(
    `${deployment.storeUrl}/control/counters`,
  );
  return await response.body.json() as StoreCounters;
}

/** Fits a line to points by least squares. */
function fitLine(points: readonly (readonly [number, number])[]): {
  readonly intercept: number;
  readonly slope: number;
} {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { intercept: meanY - slope * meanX, slope };
}

function printResult(name: string, data: unknown): void {
  process.stdout.write(`${JSON.stringify({ name, ...data as object })}\n`);
}

function buildPlan(upstreams: number): deployments.DeploymentPlan {
  return deployments.buildStandardPlan({
    entries: [{ id: "entry-a", dataCentre: "bkk-a" }],
    upstreams: Array.from({ length: upstreams }, (_, at) => ({
      id: `model-${at}`,
      dataCentre: "bkk-a",
      engine: {
        serves: ["verse-small@v1"],
        capacity: 64,
        firstTokenMs: 5,
        tokenMs: 0,
      },
    })),
  });
}

async function withDeployment(
  plan: deployments.DeploymentPlan,
  run: (deployment: deployments.Deployment) => Promise<void>,
): Promise<void> {
  const deployment = await deployments.Deployment.start(plan);
  try {
    await wait(SETTLE_DELAY_MS);
    await run(deployment);
  } finally {
    await deployment.close();
  }
}

async function measureIdleConnections(): Promise<void> {
  const cpu: [number, number][] = [];
  const memory: [number, number][] = [];
  const bytes: [number, number][] = [];
  for (const count of CONNECTION_COUNTS) {
    await withDeployment(buildPlan(count), async (deployment) => {
      const countersBefore = await readStoreCounters(deployment);
      const usage = await measureUsage(
        deployment,
        ["entry-a", "model-0"],
        () => wait(WINDOW_MS),
      );
      const countersAfter = await readStoreCounters(deployment);
      const entry = usage.get("entry-a") as UsageRate;
      cpu.push([count, entry.corePercent]);
      memory.push([count, entry.residentMegabytes]);
      bytes.push([count, entry.meshBytesPerSecond]);
      printResult("at rest", {
        upstreams: count,
        entry,
        upstream: usage.get("model-0"),
        storeReadsPerSecond: (countersAfter.reads - countersBefore.reads) *
          1_000 / WINDOW_MS,
        waitingWatches: countersAfter.waiting,
      });
    });
  }
  printResult("fit at rest, by upstream processes", {
    entryCorePercent: fitLine(cpu),
    entryMegabytes: fitLine(memory),
    entryMeshBytesPerSecond: fitLine(bytes),
  });
}

async function measureRates(): Promise<void> {
  await withDeployment(buildPlan(2), async (deployment) => {
    const caller = new callers.Caller(
      deployment.entryUrl("entry-a"),
      deployments.ACCOUNT_KEYS.counter,
    );
    const entryCpu: [number, number][] = [];
    const upstreamCpu: [number, number][] = [];
    for (const rate of REQUEST_RATES) {
      const countersBefore = await readStoreCounters(deployment);
      const usage = await measureUsage(
        deployment,
        ["entry-a", "model-0", "model-1"],
        () => sendAtRate(caller, rate),
      );
      const countersAfter = await readStoreCounters(deployment);
      const entry = usage.get("entry-a") as UsageRate;
      const upstream = (usage.get("model-0")?.corePercent ?? 0) +
        (usage.get("model-1")?.corePercent ?? 0);
      entryCpu.push([rate, entry.corePercent]);
      upstreamCpu.push([rate, upstream]);
      printResult("requests", {
        perSecond: rate,
        entry,
        upstreamsCorePercent: upstream,
        storeWritesPerSecond: (countersAfter.writes - countersBefore.writes) *
          1_000 /
          WINDOW_MS,
      });
    }
    printResult("fit by requests per second", {
      entryCorePercent: fitLine(entryCpu),
      upstreamsCorePercent: fitLine(upstreamCpu),
    });
    await caller.close();
  });
}

async function sendAtRate(
  caller: callers.Caller,
  perSecond: number,
): Promise<void> {
  const calls: Promise<unknown>[] = [];
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < WINDOW_MS) {
    const dueCount = Math.floor(
      (performance.now() - startedAtMs) * perSecond / 1_000,
    );
    while (calls.length < dueCount) {
      calls.push(
        caller.chat({
          model: "verse-small",
          isStreamed: calls.length % 2 === 0,
        }),
      );
    }
    await wait(2);
  }
  await Promise.all(calls);
}

function resizeBundle(
  content: bundle.Bundle,
  wantedBytes: number,
): bundle.Bundle {
  const filler = Array.from({
    length: Math.floor(wantedBytes / BYTES_PER_ACCOUNT),
  }, (_, at) => ({
    name: `filler-${at}`,
    keysSha256: [crypto.createHash("sha256").update(String(at)).digest("hex")],
    models: [],
    services: [],
    shareWeight: 1,
    priority: 5,
  }));
  const kept = content.accounts.filter((account) =>
    !account.name.startsWith("filler-")
  );
  return { ...content, accounts: [...kept, ...filler] };
}

async function measureBundles(): Promise<void> {
  await withDeployment(buildPlan(4), async (deployment) => {
    for (const wantedBytes of BUNDLE_BYTES) {
      const next = await deployment.buildNextBundle((content) =>
        resizeBundle(content, wantedBytes)
      );
      const bytes = deployment.sign(next).payload.length;
      const countersBefore = await readStoreCounters(deployment);
      let tookMs = 0;
      const ids = ["entry-a", "model-0"];
      const before = await Promise.all(
        ids.map((id) => readUsage(deployment, id)),
      );
      const startedAtMs = performance.now();
      (await deployment.roll(next))._unsafeUnwrap();
      await deployment.waitForRevision(next.revision);
      tookMs = performance.now() - startedAtMs;
      const after = await Promise.all(
        ids.map((id) => readUsage(deployment, id)),
      );
      const countersAfter = await readStoreCounters(deployment);
      printResult("bundle", {
        bytes,
        inForceMs: Math.round(tookMs),
        entryCpuMs: ((after[0]?.cpuMicros ?? 0) - (before[0]?.cpuMicros ?? 0)) /
          1_000,
        upstreamCpuMs:
          ((after[1]?.cpuMicros ?? 0) - (before[1]?.cpuMicros ?? 0)) / 1_000,
        entryMeshBytes: (after[0]?.meshBytes ?? 0) -
          (before[0]?.meshBytes ?? 0),
        entryResidentMegabytes: (after[0]?.residentBytes ?? 0) / 1_048_576,
        upstreamResidentMegabytes: (after[1]?.residentBytes ?? 0) / 1_048_576,
        storeReads: countersAfter.reads - countersBefore.reads,
      });
    }
  });
}

async function measureOrders(): Promise<void> {
  const plan = deployments.buildStandardPlan({
    upstreams: ["order-a", "order-b"].map((id) => ({
      id,
      dataCentre: "bkk-a",
      orders: { delayMs: 2 },
    })),
  });
  await withDeployment(plan, async (deployment) => {
    const caller = new callers.Caller(
      deployment.entryUrl("entry-a"),
      deployments.ACCOUNT_KEYS.counter,
    );
    for (const concurrency of [1, 16, 64]) {
      const countersBefore = await readStoreCounters(deployment);
      const startedAtMs = performance.now();
      let orders = 0;
      await Promise.all(Array.from({ length: concurrency }, async () => {
        while (performance.now() - startedAtMs < WINDOW_MS) {
          const key = crypto.randomUUID();
          if (
            (await caller.placeOrder(key, { idempotencyKey: key })).status ===
              201
          ) orders += 1;
        }
      }));
      const countersAfter = await readStoreCounters(deployment);
      printResult("orders", {
        concurrency,
        ordersPerSecond: orders * 1_000 / WINDOW_MS,
        storeWritesPerOrder: (countersAfter.writes - countersBefore.writes) /
          orders,
        storeReadsPerOrder: (countersAfter.reads - countersBefore.reads) /
          orders,
        storeWritesPerSecond: (countersAfter.writes - countersBefore.writes) *
          1_000 /
          WINDOW_MS,
      });
    }
    await caller.close();
  });
}

await measureIdleConnections();
await measureRates();
await measureBundles();
await measureOrders();
