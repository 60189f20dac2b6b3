/**
 * Measures the product's decision rules, imported and not copied, on seeded
 * workloads and a fake clock, against baselines in the same run.
 */
import * as cascadeModels from "./measure/cascade_model.ts";
import * as cascadeRuns from "./measure/cascade_run.ts";
import * as guardRuns from "./measure/guard_run.ts";
import * as randoms from "./measure/random.ts";
import * as routingRuns from "./measure/routing_run.ts";
import * as timings from "./measure/timing.ts";

const SEEDS = Array.from({ length: 10 }, (_, at) => at + 1);
const MINUTE_MS = 60_000;
const WARM_UP_MS = 30 * MINUTE_MS;
const STEADY_MS = 30 * MINUTE_MS;
const NEVER: readonly [number, number] = [
  Number.POSITIVE_INFINITY,
  Number.POSITIVE_INFINITY,
];
const ROLLOUTS_PER_SEED = 20;
const HEALTHY_ROLLOUTS = 1_000;
const GUARD_RATES: Readonly<Record<string, number>> = { kivu: 20, ruamjai: 25 };
const TARGET_REPLICAS = 750;
const TODAY_REPLICAS = 13;
const VERSIONS = 13;

/** One line of the table. */
interface Line {
  readonly figure: string;
  readonly spread: randoms.Spread;
  readonly target: string;
  readonly isMet: boolean | undefined;
}

const lines: Line[] = [];

function add(
  figure: string,
  values: readonly number[],
  target?: {
    readonly text: string;
    readonly isMet: (median: number) => boolean;
  },
): number {
  const spread = randoms.summarize(values);
  lines.push({
    figure,
    spread,
    target: target?.text ?? "",
    isMet: target?.isMet(spread.median),
  });
  return spread.median;
}

function atMost(
  bound: number,
): { readonly text: string; readonly isMet: (median: number) => boolean } {
  return { text: `<= ${bound}`, isMet: (median) => median <= bound };
}

function atLeast(
  bound: number,
): { readonly text: string; readonly isMet: (median: number) => boolean } {
  return { text: `>= ${bound}`, isMet: (median) => median >= bound };
}

function measureSteadyCascade(): number {
  const ratios: number[] = [];
  for (const shape of cascadeModels.CASCADE_SHAPES) {
    const byPolicy = new Map<
      string,
      { readonly ratio: number[]; readonly quality: number[] }
    >();
    for (const seed of SEEDS) {
      const durationMs = WARM_UP_MS + STEADY_MS;
      const scenario = {
        durationMs,
        ratedShare: 0.25,
        ratingDelayMs: 30_000,
        driftFromMs: Number.POSITIVE_INFINITY,
      };
      const requests = cascadeModels.generateRequests(shape, scenario, seed);
      const options = {
        fromMs: WARM_UP_MS,
        toMs: durationMs,
        ratingsStopMs: NEVER,
        seed,
      };
      const context = { shape, options };
      const oracle = cascadeRuns.judge(
        requests,
        cascadeRuns.chooseByOracle(requests, shape, options),
        context,
      );
      for (const policy of cascadeRuns.createPolicies(shape, seed)) {
        const figures = cascadeRuns.judge(
          requests,
          cascadeRuns.runPolicy(requests, policy, options),
          context,
        );
        const held = byPolicy.get(policy.name) ?? { ratio: [], quality: [] };
        held.ratio.push(figures.objective / oracle.objective);
        held.quality.push(figures.quality);
        byPolicy.set(policy.name, held);
      }
    }
    for (const [policy, { ratio, quality }] of byPolicy) {
      const isOurs = policy === "jackdawbank";
      add(
        `cascade ${shape.name}: ${policy}, cost / oracle`,
        ratio,
        isOurs ? atMost(1.1) : undefined,
      );
      add(
        `cascade ${shape.name}: ${policy}, quality`,
        quality,
        isOurs ? atLeast(shape.settings.qualityTarget) : undefined,
      );
      if (isOurs) ratios.push(randoms.summarize(ratio).median);
    }
  }
  return Math.max(...ratios);
}

function measureDisturbedCascade(
  name: string,
  disturbance: {
    readonly driftFromMs: number;
    readonly ratingsStopMs: readonly [number, number];
  },
): number {
  const medians: number[] = [];
  for (const shape of cascadeModels.CASCADE_SHAPES) {
    const ratio: number[] = [];
    const missed: number[] = [];
    for (const seed of SEEDS) {
      const durationMs = WARM_UP_MS + STEADY_MS;
      const requests = cascadeModels.generateRequests(shape, {
        durationMs,
        ratedShare: 0.25,
        ratingDelayMs: 30_000,
        driftFromMs: disturbance.driftFromMs,
      }, seed);
      const options = {
        fromMs: WARM_UP_MS,
        toMs: durationMs,
        ratingsStopMs: disturbance.ratingsStopMs,
        seed,
      };
      const context = { shape, options };
      const oracle = cascadeRuns.judge(
        requests,
        cascadeRuns.chooseByOracle(requests, shape, options),
        context,
      );
      const [policy] = cascadeRuns.createPolicies(shape, seed);
      if (policy === undefined) continue;
      const figures = cascadeRuns.judge(
        requests,
        cascadeRuns.runPolicy(requests, policy, options),
        context,
      );
      ratio.push(figures.objective / oracle.objective);
      missed.push(figures.missedSeconds);
    }
    medians.push(
      add(`cascade ${shape.name}, ${name}: cost / oracle`, ratio, atMost(1.25)),
    );
    add(
      `cascade ${shape.name}, ${name}: seconds below target`,
      missed,
      atMost(60),
    );
  }
  return Math.max(...medians);
}

function measureRouting(): {
  readonly firstToken: number;
  readonly prefixHits: number;
} {
  const firstTokens: number[] = [];
  const hits: number[] = [];
  for (const shape of routingRuns.ROUTING_SHAPES) {
    const run = (router: routingRuns.RouterName) =>
      SEEDS.map((seed) => routingRuns.runRouter(shape, router, seed));
    const ours = run("jackdawbank");
    const compare = (
      others: readonly routingRuns.RoutingFigures[],
      read: (figures: routingRuns.RoutingFigures) => number,
    ) =>
      ours.map((figures, at) =>
        read(figures) / read(others[at] as routingRuns.RoutingFigures)
      );
    const readP95 = (figures: routingRuns.RoutingFigures) =>
      figures.firstTokenP95Ms;
    const readHits = (figures: routingRuns.RoutingFigures) =>
      figures.prefixHitShare;
    const name = `routing ${shape.name}`;
    firstTokens.push(
      add(
        `${name}: first token p95 / round-robin`,
        compare(run("round-robin"), readP95),
        atMost(0.7),
      ),
    );
    add(`${name}: first token p95 / random`, compare(run("random"), readP95));
    add(
      `${name}: first token p95 / true loads`,
      compare(run("true loads"), readP95),
      atMost(1.15),
    );
    const affinity = run("unbounded affinity");
    add(
      `${name}: first token p95 / unbounded affinity`,
      compare(affinity, readP95),
    );
    hits.push(
      add(
        `${name}: prefix hits / unbounded affinity`,
        compare(affinity, readHits),
        atLeast(0.9),
      ),
    );
    add(
      `${name}: most loaded replica / mean`,
      ours.map((figures) => figures.peakToMean),
      atMost(1.25),
    );
  }
  return {
    firstToken: Math.max(...firstTokens),
    prefixHits: Math.min(...hits),
  };
}

function measureGuard(): {
  readonly exposure: number;
  readonly falseStops: number;
} {
  const exposures: number[] = [];
  const falseStops: number[] = [];
  for (const [name, rate] of Object.entries(GUARD_RATES)) {
    for (const fault of guardRuns.FAULTS) {
      const ratios = SEEDS.map((seed) => {
        const runs = Array.from(
          { length: ROLLOUTS_PER_SEED },
          (_, at) => guardRuns.runRollout(rate, fault, seed * 1_000 + at),
        );
        const exposed = runs.reduce((sum, run) => sum + run.exposed, 0);
        return exposed /
          runs.reduce((sum, run) => sum + run.exposedWithoutGuard, 0);
      });
      exposures.push(
        add(`guard ${name}: exposed, ${fault.name}`, ratios, atMost(0.25)),
      );
    }
    const stops = Array.from(
      { length: HEALTHY_ROLLOUTS },
      (_, at) => guardRuns.runRollout(rate, guardRuns.HEALTHY, 50_000 + at),
    ).filter((run) => run.isStopped);
    const perHundred = stops.length * 100 / HEALTHY_ROLLOUTS;
    falseStops.push(
      add(`guard ${name}: false stops in 100`, [perHundred], atMost(1)),
    );
  }
  return {
    exposure: Math.max(...exposures),
    falseStops: Math.max(...falseStops),
  };
}

function measureTiming(): { readonly target: number; readonly today: number } {
  const target = timings.measureDecision(TARGET_REPLICAS, VERSIONS);
  const today = timings.measureDecision(TODAY_REPLICAS, VERSIONS);
  add(
    `decision, ${TARGET_REPLICAS} replicas: microseconds`,
    [target],
    atMost(50),
  );
  add(`decision, ${TODAY_REPLICAS} replicas: microseconds`, [today]);
  return { target, today };
}

function renderLine(line: Line): string {
  const { median, low, high } = line.spread;
  const verdict = line.isMet === undefined ? "" : line.isMet ? "met" : "MISSED";
  const numbers = [median, low, high].map((value) =>
    value.toFixed(3).padStart(9)
  ).join(" ");
  return `${line.figure.padEnd(58)} ${numbers}  ${
    line.target.padEnd(8)
  } ${verdict}`;
}

/** `--only <part>` runs one part of the measurement while a rule is worked on. */
function readOnly(): string | undefined {
  const at = process.argv.indexOf("--only");
  return at < 0 ? undefined : process.argv[at + 1];
}

function measureAllCascades(): {
  readonly steady: number;
  readonly disturbed: number;
} {
  const steady = measureSteadyCascade();
  const drift = measureDisturbedCascade("drift", {
    driftFromMs: WARM_UP_MS + 5 * MINUTE_MS,
    ratingsStopMs: NEVER,
  });
  const silent = measureDisturbedCascade("no ratings for 10 min", {
    driftFromMs: Number.POSITIVE_INFINITY,
    ratingsStopMs: [WARM_UP_MS + 5 * MINUTE_MS, WARM_UP_MS + 15 * MINUTE_MS],
  });
  return { steady, disturbed: Math.max(drift, silent) };
}

function main(): void {
  const only = readOnly();
  const run = <T>(part: string, measure: () => T): T | undefined =>
    only === undefined || only === part ? measure() : undefined;
  const cascade = run("cascade", measureAllCascades);
  const routing = run("routing", measureRouting);
  const guard = run("guard", measureGuard);
  const timing = run("timing", measureTiming);
  if (process.argv.includes("--json")) {
    process.stdout.write(`${
      JSON.stringify({
        costVsOracle: cascade?.steady,
        costVsOracleDrift: cascade?.disturbed,
        firstTokenP95VsRoundRobin: routing?.firstToken,
        prefixHitsVsAffinity: routing?.prefixHits,
        badVersionExposureRatio: guard?.exposure,
        falseStopsPerHundred: guard?.falseStops,
        decisionMicros750: timing?.target,
        decisionMicros13: timing?.today,
      })
    }\n`);
    return;
  }
  process.stdout.write(
    `${"figure".padEnd(58)}    median       low      high  target\n`,
  );
  for (const line of lines) process.stdout.write(`${renderLine(line)}\n`);
}

main();
