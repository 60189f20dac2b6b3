/**
 * What the path costs: time to first token and requests per second through
 * entry and upstream process against a caller that speaks to the same engine
 * directly, alternating in one run on one machine.
 */
import * as hdr from "hdr-histogram-js";
import * as undici from "undici";
import * as callers from "./caller.ts";
import * as deployments from "./deployment.ts";

const ROUNDS = 6;
const SERIAL_REQUESTS = 100;
const PARALLEL_REQUESTS = 800;
const CONCURRENCY = 32;

/** One side of the comparison. */
interface Side {
  readonly name: string;
  readonly send: (isStreamed: boolean) => Promise<number>;
  readonly firstTokenMicros: hdr.Histogram;
  readonly requestsPerSecond: number[];
}

/** A caller that speaks to the engine itself. */
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

async function measureFirstToken(side: Side): Promise<void> {
  for (let at = 0; at < SERIAL_REQUESTS; at += 1) {
    const firstByteMs = await side.send(true);
    side.firstTokenMicros.recordValue(Math.round(firstByteMs * 1_000));
  }
}

async function measureThroughput(side: Side): Promise<void> {
  let left = PARALLEL_REQUESTS;
  const startedAtMs = performance.now();
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (left > 0) {
      left -= 1;
      await side.send(false);
    }
  }));
  side.requestsPerSecond.push(
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
  const sides: readonly Side[] = [
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
  // The first round only warms up.
  for (let round = 0; round <= ROUNDS; round += 1) {
    for (const side of sides) {
      await measureFirstToken(side);
      await measureThroughput(side);
    }
    if (round > 0) continue;
    for (const side of sides) {
      side.firstTokenMicros.reset();
      side.requestsPerSecond.length = 0;
    }
  }
  await caller.close();
  await deployment.close();
  const [direct, through] = sides as [Side, Side];
  const micros = (side: Side, percentile: number) =>
    side.firstTokenMicros.getValueAtPercentile(percentile);
  process.stdout.write(`${
    JSON.stringify({
      firstTokenMicrosP50: {
        direct: micros(direct, 50),
        through: micros(through, 50),
      },
      firstTokenMicrosP95: {
        direct: micros(direct, 95),
        through: micros(through, 95),
      },
      firstTokenRatioP50: micros(through, 50) / micros(direct, 50),
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
