/**
 * Chooses a replica by a predicted cost in milliseconds. The cost is made of the
 * prompts already waiting for prefill there, the prefill of the tokens that are
 * not cached there, the delay that this causes to running streams, the wait for a
 * slot, the distance between data centres, and the replica's failures and slowness.
 */
import * as hash from "./hash.ts";

/** A replica that may be chosen. */
export interface ReplicaCandidate {
  readonly id: string;
  /** Whether it is in the same data centre. */
  readonly isLocal: boolean;
  /** Requests in flight there, as far as this process knows. */
  readonly inFlight: number;
  /** Predicted time until the prompts in flight there are prefilled. */
  readonly pendingMs: number;
  readonly slots: number;
  /** Tokens of this prompt that are likely cached there. */
  readonly cachedTokens: number;
  /** Recent share of failed requests, from 0 to 1. */
  readonly failureRate: number;
  readonly meanLatencyMs: number | undefined;
}

/** A prompt for which a replica is chosen. */
export interface PromptPlacement {
  readonly promptTokens: number;
  readonly prefillMsPerToken: number;
  /** Identifies the prompt's shared prefix; requests with the same key prefer the same replica. */
  readonly affinityKey: string | undefined;
  /** Tokens that requests with the same key share. */
  readonly sharedTokens: number;
}

/** Smallest cost of prefilling a token, also for fast models, because it delays other requests. */
const MIN_PREFILL_COST_MS_PER_TOKEN = 0.04;
/** Share of a prompt's prefill time by which it delays each running stream. */
const PREFILL_SHARE_PER_STREAM = 0.08;
/** Delay that a running request adds to the next one; replicas of more than 8 slots add less. */
const RUNNING_REQUEST_COST_MS = 8;
/** Wait for a slot, for each request in flight beyond the replica's slots. */
const SLOT_WAIT_COST_MS = 120;
/** Cost of a replica in another data centre. */
const REMOTE_COST_MS = 6;
/** Cost of a replica that fails all its requests. */
const FAILURE_COST_MS = 2_000;
/** Candidates whose load is asked for; each costs a message and its answer. */
const MAX_QUERY_CANDIDATES = 3;
/**
 * Candidates for a request without a prompt. Two at random: its choice uses loads
 * that are not quite new, and by those all processes would prefer the same replica.
 */
const PLAIN_CANDIDATES = 2;
/** Candidates among them that are chosen by the prompt's prefix. */
const QUERIED_HOMES = 2;
/** Random sample from which the others are chosen. */
const QUERY_SAMPLE = 4;
/** Weight of the time by which a replica's mean latency exceeds the median. */
const SLOWNESS_WEIGHT = 0.5;

/** The parts of a predicted cost, in milliseconds. */
export interface CostTerms {
  /** Prefill of the tokens that are not cached there. */
  readonly prefillMs: number;
  /** Prompts that wait for prefill there. */
  readonly pendingMs: number;
  /** Delay of the running streams by this prompt. */
  readonly streamsMs: number;
  readonly runningMs: number;
  readonly slotWaitMs: number;
  readonly remoteMs: number;
  readonly failuresMs: number;
  readonly slownessMs: number;
}

interface CostContext {
  readonly affinityReplicaId: string | undefined;
  readonly medianLatencyMs: number;
}

/** Parts of the predicted cost of sending a prompt to a replica. */
function predictCostTerms(
  candidate: ReplicaCandidate,
  placement: PromptPlacement,
  context: CostContext,
): CostTerms {
  // Other processes prefer the same replica for this key, so the shared prefix is likely cached.
  const cachedTokens = context.affinityReplicaId === candidate.id
    ? Math.max(candidate.cachedTokens, placement.sharedTokens)
    : candidate.cachedTokens;
  const uncachedTokens = Math.max(0, placement.promptTokens - cachedTokens);
  const prefillMs = uncachedTokens * placement.prefillMsPerToken;
  const excessLatencyMs = Math.max(
    0,
    (candidate.meanLatencyMs ?? context.medianLatencyMs) -
      context.medianLatencyMs,
  );
  const { inFlight, slots, isLocal } = candidate;
  return {
    prefillMs: uncachedTokens *
      Math.max(placement.prefillMsPerToken, MIN_PREFILL_COST_MS_PER_TOKEN),
    pendingMs: candidate.pendingMs,
    streamsMs: inFlight * prefillMs * PREFILL_SHARE_PER_STREAM,
    runningMs: inFlight * RUNNING_REQUEST_COST_MS * (8 / Math.max(8, slots)),
    slotWaitMs: Math.max(0, inFlight + 1 - slots) * SLOT_WAIT_COST_MS,
    remoteMs: isLocal ? 0 : REMOTE_COST_MS,
    failuresMs: candidate.failureRate * FAILURE_COST_MS,
    slownessMs: excessLatencyMs * SLOWNESS_WEIGHT,
  };
}

/** Predicted cost of sending a prompt to a replica. */
export function predictCostMs(
  candidate: ReplicaCandidate,
  placement: PromptPlacement,
  context: CostContext,
): number {
  return sumTerms(predictCostTerms(candidate, placement, context));
}

function sumTerms(terms: CostTerms): number {
  return Object.values(terms).reduce((sum: number, term) => sum + term, 0);
}

/** Lower median, so that the slower one of two candidates is recognised. */
function findMedianLatencyMs(
  candidates: readonly ReplicaCandidate[],
): number {
  const sorted = candidates.flatMap(({ meanLatencyMs }) =>
    meanLatencyMs === undefined ? [] : [meanLatencyMs]
  ).toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function drawSample<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): readonly T[] {
  const remaining = [...items];
  return Array.from(
    { length: Math.min(count, remaining.length) },
    () => remaining.splice(Math.floor(random() * remaining.length), 1)[0] as T,
  );
}

/**
 * Chooses the candidates whose load is asked for before the choice: the first two
 * in the order of the prompt's prefix, so that it is cached at few replicas, and
 * the best of a random sample by the loads known so far. A sample, because many
 * processes would otherwise ask for, and then choose, the same replicas.
 */
export function chooseQueryCandidates<C extends ReplicaCandidate>(
  candidates: readonly C[],
  placement: PromptPlacement,
  random: () => number,
): readonly C[] {
  if (placement.promptTokens === 0) {
    return drawSample(candidates, PLAIN_CANDIDATES, random);
  }
  if (candidates.length <= MAX_QUERY_CANDIDATES) return candidates;
  const byId = new Map(candidates.map((each) => [each.id, each]));
  const homes = placement.affinityKey === undefined
    ? []
    : hash.rankByRendezvous([...byId.keys()], placement.affinityKey)
      .slice(0, QUERIED_HOMES);
  const chosen = homes.map((id) => byId.get(id) as C);
  for (const id of homes) byId.delete(id);
  const sample = drawSample([...byId.values()], QUERY_SAMPLE, random);
  const context = {
    affinityReplicaId: undefined,
    medianLatencyMs: findMedianLatencyMs(candidates),
  };
  const ranked = sample.map((candidate) => ({
    candidate,
    costMs: predictCostMs(candidate, placement, context),
  })).toSorted((a, b) => a.costMs - b.costMs);
  return [
    ...chosen,
    ...ranked.slice(0, MAX_QUERY_CANDIDATES - chosen.length).map((
      { candidate },
    ) => candidate),
  ];
}

/** A candidate with its predicted cost. */
export interface CostedReplica<C extends ReplicaCandidate> {
  readonly candidate: C;
  readonly costMs: number;
  readonly terms: CostTerms;
}

/** Predicts the cost of each candidate of one choice. */
export function costReplicas<C extends ReplicaCandidate>(
  candidates: readonly C[],
  placement: PromptPlacement,
): readonly CostedReplica<C>[] {
  const affinityReplicaId = placement.affinityKey === undefined
    ? undefined
    : hash.rankByRendezvous(
      candidates.map(({ id }) => id),
      placement.affinityKey,
    )[0];
  const context = {
    affinityReplicaId,
    medianLatencyMs: findMedianLatencyMs(candidates),
  };
  return candidates.map((candidate) => {
    const terms = predictCostTerms(candidate, placement, context);
    return { candidate, costMs: sumTerms(terms), terms };
  });
}

/** Chooses the candidate with the lowest predicted cost; ties are broken at random. */
export function chooseReplica<C extends ReplicaCandidate>(
  candidates: readonly C[],
  placement: PromptPlacement,
  random: () => number,
): C | undefined {
  let best: C | undefined;
  let lowestCostMs = Infinity;
  for (const { candidate, costMs } of costReplicas(candidates, placement)) {
    // Up to 1 ms of noise spreads requests over replicas of equal cost.
    const noisyCostMs = costMs + random();
    if (noisyCostMs < lowestCostMs) {
      best = candidate;
      lowestCostMs = noisyCostMs;
    }
  }
  return best;
}
