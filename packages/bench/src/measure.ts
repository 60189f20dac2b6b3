/**
 * Measures the product's own decision rules, imported rather than copied, in
 * simulations with seeded workloads and a simulated clock, and compares them
 * with baselines in the same run.
 */
import * as cascadeModels from "./measure/cascade_model.ts";
import * as cascadeRuns from "./measure/cascade_run.ts";
import * as guardRuns from "./measure/guard_run.ts";
import * as placements from "./measure/placement.ts";
import * as randoms from "./measure/random.ts";
import * as routingRuns from "./measure/routing_run.ts";
import * as timings from "./measure/timing.ts";

const SEEDS = Array.from({ length: 10 }, (_, at) => at + 1);
const MINUTE_MS = 60_000;
const WARM_UP_MS = 30 * MINUTE_MS;
const STEADY_MS = 30 * MINUTE_MS;
const NO_RATINGS_GAP: readonly [number, number] = [
  Number.POSITIVE_INFINITY,
  Number.POSITIVE_INFINITY,
];
const ROLLOUTS_PER_SEED = 20;
const HEALTHY_ROLLOUTS = 1_000;
const GUARD_REQUESTS_PER_SECOND: Readonly<Record<string, number>> = {
  kivu: 20,
  ruamjai: 25,
};
const TARGET_REPLICAS = 750;
const CURRENT_REPLICAS = 13;
const VERSION_COUNT = 13;
const PLACEMENT_REPLICAS: readonly number[] = [30, 300, 3_000];

/** A row of the table: a figure over all seeds, with its target. */
interface FigureRow {
  readonly figure: string;
  readonly spread: randoms.Spread;
  readonly target: string;
  readonly isMet: boolean | undefined;
}

const rows: FigureRow[] = [];

function addFigure(
  figure: string,
  values: readonly number[],
  target?: {
    readonly text: string;
    readonly isMet: (median: number) => boolean;
  },
): number {
  const spread = randoms.summarize(values);
  rows.push({
    figure,
    spread,
    target: target?.text ?? "",
    isMet: target?.isMet(spread.median),
  });
  return spread.median;
}

function buildUpperTarget(
  bound: number,
): { readonly text: string; readonly isMet: (median: number) => boolean } {
  return { text: `<= ${bound}`, isMet: (median) => median <= bound };
}

function buildLowerTarget(
  bound: number,
): { readonly text: string; readonly isMet: (median: number) => boolean } {
  return { text: `>= ${bound}`, isMet: (median) => median >= bound };
}

function measureSteadyCascade(): number {
  const medians: number[] = [];
  for (const profile of cascadeModels.CASCADE_PROFILES) {
    const figuresByPolicy = new Map<
      string,
      { readonly ratio: number[]; readonly quality: number[] }
    >();
    for (const seed of SEEDS) {
      const durationMs = WARM_UP_MS + STEADY_MS;
      const scenario = {
        durationMs,
        ratedShare: 0.25,
        ratingDelayMs: 30_000,
        driftStartMs: Number.POSITIVE_INFINITY,
      };
      const requests = cascadeModels.generateRequests(profile, scenario, seed);
      const options = {
        startMs: WARM_UP_MS,
        endMs: durationMs,
        ratingsGapMs: NO_RATINGS_GAP,
        seed,
      };
      const context = { profile, options };
      const oracle = cascadeRuns.computeFigures(
        requests,
        cascadeRuns.chooseTiersByOracle(requests, profile, options),
        context,
      );
      for (const policy of cascadeRuns.createPolicies(profile, seed)) {
        const figures = cascadeRuns.computeFigures(
          requests,
          cascadeRuns.runPolicy(requests, policy, options),
          context,
        );
        const figuresOfPolicy = figuresByPolicy.get(policy.name) ??
          { ratio: [], quality: [] };
        figuresOfPolicy.ratio.push(figures.objective / oracle.objective);
        figuresOfPolicy.quality.push(figures.quality);
        figuresByPolicy.set(policy.name, figuresOfPolicy);
      }
    }
    for (const [policy, { ratio, quality }] of figuresByPolicy) {
      const isProductPolicy = policy === "jackdawbank";
      addFigure(
        `cascade ${profile.name}: ${policy}, cost / oracle`,
        ratio,
        isProductPolicy ? buildUpperTarget(1.1) : undefined,
      );
      addFigure(
        `cascade ${profile.name}: ${policy}, quality`,
        quality,
        isProductPolicy
          ? buildLowerTarget(profile.settings.qualityTarget)
          : undefined,
      );
      if (isProductPolicy) medians.push(randoms.summarize(ratio).median);
    }
  }
  return Math.max(...medians);
}

function measureDisturbedCascade(
  name: string,
  disturbance: {
    readonly driftStartMs: number;
    readonly ratingsGapMs: readonly [number, number];
  },
): number {
  const medians: number[] = [];
  for (const profile of cascadeModels.CASCADE_PROFILES) {
    const ratio: number[] = [];
    const secondsBelowTarget: number[] = [];
    for (const seed of SEEDS) {
      const durationMs = WARM_UP_MS + STEADY_MS;
      const requests = cascadeModels.generateRequests(profile, {
        durationMs,
        ratedShare: 0.25,
        ratingDelayMs: 30_000,
        driftStartMs: disturbance.driftStartMs,
      }, seed);
      const options = {
        startMs: WARM_UP_MS,
        endMs: durationMs,
        ratingsGapMs: disturbance.ratingsGapMs,
        seed,
      };
      const context = { profile, options };
      const oracle = cascadeRuns.computeFigures(
        requests,
        cascadeRuns.chooseTiersByOracle(requests, profile, options),
        context,
      );
      const [policy] = cascadeRuns.createPolicies(profile, seed);
      if (policy === undefined) continue;
      const figures = cascadeRuns.computeFigures(
        requests,
        cascadeRuns.runPolicy(requests, policy, options),
        context,
      );
      ratio.push(figures.objective / oracle.objective);
      secondsBelowTarget.push(figures.secondsBelowTarget);
    }
    medians.push(
      addFigure(
        `cascade ${profile.name}, ${name}: cost / oracle`,
        ratio,
        buildUpperTarget(1.25),
      ),
    );
    addFigure(
      `cascade ${profile.name}, ${name}: seconds below target`,
      secondsBelowTarget,
      buildUpperTarget(60),
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
  for (const profile of routingRuns.ROUTING_PROFILES) {
    const run = (router: routingRuns.RouterName) =>
      SEEDS.map((seed) => routingRuns.runRouter(profile, router, seed));
    const productFigures = run("jackdawbank");
    const compare = (
      others: readonly routingRuns.RoutingFigures[],
      read: (figures: routingRuns.RoutingFigures) => number,
    ) =>
      productFigures.map((figures, at) =>
        read(figures) / read(others[at] as routingRuns.RoutingFigures)
      );
    const readP95 = (figures: routingRuns.RoutingFigures) =>
      figures.firstTokenP95Ms;
    const readHits = (figures: routingRuns.RoutingFigures) =>
      figures.prefixHitShare;
    const name = `routing ${profile.name}`;
    firstTokens.push(
      addFigure(
        `${name}: first token p95 / round-robin`,
        compare(run("round-robin"), readP95),
        buildUpperTarget(0.7),
      ),
    );
    addFigure(
      `${name}: first token p95 / random`,
      compare(run("random"), readP95),
    );
    addFigure(
      `${name}: first token p95 / true loads`,
      compare(run("true loads"), readP95),
      buildUpperTarget(1.15),
    );
    const affinity = run("unbounded affinity");
    addFigure(
      `${name}: first token p95 / unbounded affinity`,
      compare(affinity, readP95),
    );
    hits.push(
      addFigure(
        `${name}: prefix hits / unbounded affinity`,
        compare(affinity, readHits),
        buildLowerTarget(0.9),
      ),
    );
    addFigure(
      `${name}: most loaded replica / mean`,
      productFigures.map((figures) => figures.peakToMean),
      buildUpperTarget(1.25),
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
  for (const [name, rate] of Object.entries(GUARD_REQUESTS_PER_SECOND)) {
    for (const fault of guardRuns.FAULTS) {
      const ratios = SEEDS.map((seed) => {
        const runs = Array.from(
          { length: ROLLOUTS_PER_SEED },
          (_, at) => guardRuns.runRolloutStep(rate, fault, seed * 1_000 + at),
        );
        const exposed = runs.reduce((sum, run) => sum + run.exposed, 0);
        return exposed /
          runs.reduce((sum, run) => sum + run.exposedWithoutGuard, 0);
      });
      exposures.push(
        addFigure(
          `guard ${name}: exposed, ${fault.name}`,
          ratios,
          buildUpperTarget(0.25),
        ),
      );
    }
    const stops = Array.from(
      { length: HEALTHY_ROLLOUTS },
      (_, at) => guardRuns.runRolloutStep(rate, guardRuns.HEALTHY, 50_000 + at),
    ).filter((run) => run.isStopped);
    const perHundred = stops.length * 100 / HEALTHY_ROLLOUTS;
    falseStops.push(
      addFigure(
        `guard ${name}: false stops in 100`,
        [perHundred],
        buildUpperTarget(1),
      ),
    );
  }
  return {
    exposure: Math.max(...exposures),
    falseStops: Math.max(...falseStops),
  };
}

function measureTiming(): {
  readonly target: number;
  readonly current: number;
} {
  const target = timings.measureDecision(TARGET_REPLICAS, VERSION_COUNT);
  const current = timings.measureDecision(CURRENT_REPLICAS, VERSION_COUNT);
  addFigure(
    `decision, ${TARGET_REPLICAS} replicas: microseconds`,
    [target],
    buildUpperTarget(50),
  );
  addFigure(`decision, ${CURRENT_REPLICAS} replicas: microseconds`, [current]);
  return { target, current };
}

function measurePlacement(): void {
  for (const replicas of PLACEMENT_REPLICAS) {
    const { promptMicros, peerChangeMicros } = placements.measurePlacement(
      replicas,
    );
    addFigure(`router, ${replicas} replicas: microseconds a prompt`, [
      promptMicros,
    ]);
    addFigure(
      `router, ${replicas} replicas: microseconds a change of the peers`,
      [peerChangeMicros],
    );
  }
}

function renderRow(row: FigureRow): string {
  const { median, low, high } = row.spread;
  const verdict = row.isMet === undefined ? "" : row.isMet ? "met" : "MISSED";
  const numbers = [median, low, high].map((value) =>
    value.toFixed(3).padStart(9)
  ).join(" ");
  return `${row.figure.padEnd(58)} ${numbers}  ${
    row.target.padEnd(8)
  } ${verdict}`;
}

/** `--only <part>` runs one part of the measurement, to save time while a rule is changed. */
function readSelectedPart(): string | undefined {
  const at = process.argv.indexOf("--only");
  return at < 0 ? undefined : process.argv[at + 1];
}

function measureAllCascades(): {
  readonly steady: number;
  readonly disturbed: number;
} {
  const steady = measureSteadyCascade();
  const drift = measureDisturbedCascade("drift", {
    driftStartMs: WARM_UP_MS + 5 * MINUTE_MS,
    ratingsGapMs: NO_RATINGS_GAP,
  });
  const withoutRatings = measureDisturbedCascade("no ratings for 10 min", {
    driftStartMs: Number.POSITIVE_INFINITY,
    ratingsGapMs: [WARM_UP_MS + 5 * MINUTE_MS, WARM_UP_MS + 15 * MINUTE_MS],
  });
  return { steady, disturbed: Math.max(drift, withoutRatings) };
}

function main(): void {
  const selectedPart = readSelectedPart();
  const run = <T>(part: string, measure: () => T): T | undefined =>
    selectedPart === undefined || selectedPart === part ? measure() : undefined;
  const cascade = run("cascade", measureAllCascades);
  const routing = run("routing", measureRouting);
  const guard = run("guard", measureGuard);
  const timing = run("timing", measureTiming);
  run("placement", measurePlacement);
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
        decisionMicros13: timing?.current,
      })
    }\n`);
    return;
  }
  process.stdout.write(
    `${"figure".padEnd(58)}    median       low      high  target\n`,
  );
  for (const row of rows) process.stdout.write(`${renderRow(row)}\n`);
}

main();
