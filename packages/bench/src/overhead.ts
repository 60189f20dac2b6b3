/**
 * Measures the overhead of the entry and the upstream process: time to first
 * token and requests per second, compared with a caller that calls the same
 * engine directly. The two alternate within one run on one machine.
 */
import * as hdr from "hdr-histogram-js";
import * as undici from "undici";
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";

const ROUNDS = 6;
const SERIAL_REQUESTS = 100;
const PARALLEL_REQUESTS = 800;
const CONCURRENCY = 32;

/** One of the two compared paths to the engine, with its measurements. */
interface CallPath {
  readonly name: string;
  readonly send: (isStreamed: boolean) => Promise<number>;
  readonly firstTokenMicros: hdr.Histogram;
  readonly requestsPerSecond: number[];
}

/** Calls the engine directly; returns the milliseconds to the first byte. */
async function sendDirect(url: string, isStreamed: boolean): Promise<number> {
  const startedAtMs = performance.now();
  const response = await undici.request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      model: "verse-small@v1",
      messages: [{ role: "user", content: "overhead" }],
      ...(isStreamed ? { stream: true } : {}),
    }),
  });
  let firstByteMs = Number.NaN;
  for await (const _ of response.body) {
    if (Number.isNaN(firstByteMs)) {
      firstByteMs = performance.now() - startedAtMs;
    }
  }
  return firstByteMs;
}

async function measureFirstToken(callPath: CallPath): Promise<void> {
  for (let at = 0; at < SERIAL_REQUESTS; at += 1) {
    const firstByteMs = await callPath.send(true);
    callPath.firstTokenMicros.recordValue(Math.round(firstByteMs * 1_000));
  }
}

async function measureThroughput(callPath: CallPath): Promise<void> {
  let remaining = PARALLEL_REQUESTS;
  const startedAtMs = performance.now();
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (remaining > 0) {
      remaining -= 1;
      await callPath.send(false);
    }
  }));
  callPath.requestsPerSecond.push(
    PARALLEL_REQUESTS * 1_000 / (performance.now() - startedAtMs),
  );
}

function findMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

async function main(): Promise<void> {
  const standard = deployments.buildStandardPlan();
  const deployment = await deployments.Deployment.start({
    ...standard,
    entries: standard.entries.slice(0, 1),
    upstreams: [{
      id: "model-a",
      dataCentre: "bkk-a",
      engine: {
        serves: ["verse-small@v1"],
        capacity: 256,
        firstTokenMs: 0,
        tokenMs: 0,
        tokens: 4,
      },
    }],
  });
  const caller = new callers.Caller(
    deployment.entryUrl("entry-a"),
    deployments.ACCOUNT_KEYS.counter,
  );
  const engineUrl = `http://127.0.0.1:${
    deployment.upstream("model-a").backend.port("port")
  }`;
  const callPaths: readonly CallPath[] = [
    {
      name: "direct",
      send: (isStreamed) => sendDirect(engineUrl, isStreamed),
      firstTokenMicros: hdr.build(),
      requestsPerSecond: [],
    },
    {
      name: "through",
      send: async (isStreamed) =>
        (await caller.chat({
          model: "verse-small",
          prompt: "overhead",
          isStreamed,
        })).firstByteMs,
      firstTokenMicros: hdr.build(),
      requestsPerSecond: [],
    },
  ];
  // The first round is a warm-up; its measurements are dropped.
  for (let round = 0; round <= ROUNDS; round += 1) {
    for (const callPath of callPaths) {
      await measureFirstToken(callPath);
      await measureThroughput(callPath);
    }
    if (round > 0) continue;
    for (const callPath of callPaths) {
      callPath.firstTokenMicros.reset();
      callPath.requestsPerSecond.length = 0;
    }
  }
  await caller.close();
  await deployment.close();
  const [direct, through] = callPaths as [CallPath, CallPath];
  const getMicros = (callPath: CallPath, percentile: number) =>
    callPath.firstTokenMicros.getValueAtPercentile(percentile);
  process.stdout.write(`${
    JSON.stringify({
      firstTokenMicrosP50: {
        direct: getMicros(direct, 50),
        through: getMicros(through, 50),
      },
      firstTokenMicrosP95: {
        direct: getMicros(direct, 95),
        through: getMicros(through, 95),
      },
      firstTokenRatioP50: getMicros(through, 50) / getMicros(direct, 50),
      requestsPerSecond: {
        direct: findMedian(direct.requestsPerSecond),
        through: findMedian(through.requestsPerSecond),
      },
      requestsPerSecondRatio: findMedian(through.requestsPerSecond) /
        findMedian(direct.requestsPerSecond),
    })
  }\n`);
}

await main();
