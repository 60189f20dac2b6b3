/**
 * Chooses a replica by a predicted cost in milliseconds. The cost is made of the
 * prompts already waiting for prefill there, the prefill of the tokens that are
 * not cached there, the delay that this causes to running streams, the wait for a
 * slot, the prompts that are read in again where memory is short, the distance
 * between data centres, and the replica's failures and speed.
 */
import * as hash from "./hash.ts";
import * as streamDelay from "./room/stream_delay.ts";
import * as memories from "./uneven/engine_memory.ts";

/** A replica by its ID. */
export interface NamedReplica {
  readonly id: string;
  /** Hash of the ID; computed if it is absent. */
  readonly key?: number;
}

/** A replica that may be chosen. */
export interface ReplicaCandidate extends NamedReplica {
  /** Whether it is in the same data centre. */
  readonly isLocal: boolean;
  /** Requests in flight there, as far as this process knows. */
  readonly inFlight: number;
  /** Time until the prompts in flight there are prefilled, at the usual speed. */
  readonly pendingMs: number;
  readonly slots: number;
  /** Tokens of this prompt that are likely cached there. */
  readonly cachedTokens: number;
  /** Recent share of failed requests beyond the usual one, from 0 to 1. */
  readonly failureRate: number;
  /** Factor by which it takes longer than a usual replica of its service. */
  readonly speedFactor: number;
  /** Share of the engine's memory that would be held with this request; 0 without an engine. */
  readonly memoryShare: number;
}

/** A prompt for which a replica is chosen. */
export interface PromptPlacement {
  readonly promptTokens: number;
  readonly prefillMsPerToken: number;
  /** Longest pause that the request's route accepts in a stream; absent if it is none. */
  readonly maxGapMs?: number | undefined;
  /** Time until the prompt's target latency is over. */
  readonly remainingTargetMs?: number | undefined;
  /** Identifies the prompt's shared prefix; requests with the same key prefer the same replica. */
  readonly affinityKey: string | undefined;
  /** Tokens that requests with the same key share. */
  readonly sharedTokens: number;
  /** Predicted time of an answer at a usual replica; 0 for a prompt, whose prefill is predicted. */
  readonly answerMs: number;
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
/** Candidates for a prompt that interrupts running streams, whose number differs widely. */
const MAX_LONG_QUERY_CANDIDATES = 5;
/**
 * Candidates for a request without a prompt. Two at random: its choice uses loads
 * that are not quite new, and by those all processes would prefer the same replica.
 */
const PLAIN_CANDIDATES = 2;
/** Candidates among them that are chosen by the prompt's prefix. */
const QUERIED_HOMES = 2;
/**
 * Spread of the costs of a request without a prompt, as a share of its answer time.
 * All processes choose by loads up to a second old: without it, they would send
 * all requests of that second to the replica that was best before.
 */
const PLAIN_SPREAD_SHARE = 0.4;
/** Random sample from which the others are chosen. */
const QUERY_SAMPLE = 4;
const LONG_QUERY_SAMPLE = 12;

/** The parts of a predicted cost, in milliseconds. */
export interface CostTerms {
  /** Prefill of the tokens that are not cached there. */
  readonly prefillMs: number;
  /** Prompts that wait for prefill there. */
  readonly pendingMs: number;
  /** Delay of the running streams by this prompt. */
  readonly streamsMs: number;
  /** Streams that this prompt makes late, and its own lateness. */
  readonly interruptedMs: number;
  readonly runningMs: number;
  readonly slotWaitMs: number;
  /** Prompts that are read in again because memory is short. */
  readonly preemptionMs: number;
  /** What all of this and the answer take longer than at a usual replica. */
  readonly speedMs: number;
  readonly remoteMs: number;
  readonly failuresMs: number;
}

/** Parts of the predicted cost of sending a prompt to a replica. */
function predictCostTerms(
  candidate: ReplicaCandidate,
  placement: PromptPlacement,
  affinityReplicaId: string | undefined,
): CostTerms {
  // Other processes prefer the same replica for this key, so the shared prefix is likely cached.
  const cachedTokens = affinityReplicaId === candidate.id
    ? Math.max(candidate.cachedTokens, placement.sharedTokens)
    : candidate.cachedTokens;
  const uncachedTokens = Math.max(0, placement.promptTokens - cachedTokens);
  const prefillMs = uncachedTokens * placement.prefillMsPerToken;
  const { inFlight, slots, isLocal, pendingMs } = candidate;
  const computed = {
    prefillMs: uncachedTokens *
      Math.max(placement.prefillMsPerToken, MIN_PREFILL_COST_MS_PER_TOKEN),
    pendingMs,
    streamsMs: inFlight * prefillMs * PREFILL_SHARE_PER_STREAM,
    runningMs: inFlight * RUNNING_REQUEST_COST_MS * (8 / Math.max(8, slots)),
    slotWaitMs: Math.max(0, inFlight + 1 - slots) * SLOT_WAIT_COST_MS,
    preemptionMs: memories.computePreemptions(candidate.memoryShare) *
      placement.promptTokens * placement.prefillMsPerToken,
  };
  const { speedFactor } = candidate;
  return {
    ...computed,
    interruptedMs: streamDelay.predictInterruptionCostMs({
      pendingMs: pendingMs * speedFactor,
      prefillMs: prefillMs * speedFactor,
      running: inFlight,
      maxGapMs: placement.maxGapMs,
      remainingTargetMs: placement.remainingTargetMs,
    }),
    speedMs: (placement.answerMs + sumComputed(computed)) *
      (speedFactor - 1),
    remoteMs: isLocal ? 0 : REMOTE_COST_MS,
    failuresMs: candidate.failureRate * FAILURE_COST_MS,
  };
}

/** Predicted cost of sending a prompt to a replica. */
export function predictCostMs(
  candidate: ReplicaCandidate,
  placement: PromptPlacement,
  affinityReplicaId: string | undefined,
): number {
  return sumTerms(predictCostTerms(candidate, placement, affinityReplicaId));
}

type ComputedTerms = Omit<
  CostTerms,
  "interruptedMs" | "speedMs" | "remoteMs" | "failuresMs"
>;

/** The terms that grow with the time that the replica takes to compute. */
function sumComputed(terms: ComputedTerms): number {
  return terms.prefillMs + terms.pendingMs + terms.streamsMs +
    terms.runningMs + terms.slotWaitMs + terms.preemptionMs;
}

function sumTerms(terms: CostTerms): number {
  return sumComputed(terms) + terms.interruptedMs + terms.speedMs +
    terms.remoteMs + terms.failuresMs;
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

/** The first candidates in the order of the prompt's prefix. */
function findHomes<C extends NamedReplica>(
  candidates: readonly C[],
  { affinityKey }: PromptPlacement,
  count: number,
): readonly C[] {
  if (affinityKey === undefined) return [];
  const hashes = candidates.map(({ id, key }) => key ?? hash.hashText(id));
  return hash.findRendezvousHomes(hashes, affinityKey, count)
    .map((index) => candidates[index] as C);
}

/**
 * Chooses the candidates whose load is asked for before the choice: the first two
 * in the order of the prompt's prefix, so that it is cached at few replicas, and
 * the best of a random sample by the loads known so far. A sample, because many
 * processes would otherwise ask for, and then choose, the same replicas.
 */
export function chooseQueryCandidates<C extends NamedReplica>(
  candidates: readonly C[],
  placement: PromptPlacement,
  options: {
    readonly random: () => number;
    /** Reads what is known of a replica; called for the sample alone. */
    readonly assess: (candidate: C) => ReplicaCandidate;
  },
): readonly C[] {
  const { random, assess } = options;
  if (placement.promptTokens === 0) {
    return drawSample(candidates, PLAIN_CANDIDATES, random);
  }
  const isLong = streamDelay.interruptsStreams(
    placement.promptTokens * placement.prefillMsPerToken,
    placement.maxGapMs,
  );
  const count = isLong ? MAX_LONG_QUERY_CANDIDATES : MAX_QUERY_CANDIDATES;
  if (candidates.length <= count) return candidates;
  const chosen = findHomes(candidates, placement, QUERIED_HOMES);
  const others = candidates.filter((each) => !chosen.includes(each));
  const sample = drawSample(
    others,
    isLong ? LONG_QUERY_SAMPLE : QUERY_SAMPLE,
    random,
  );
  const ranked = sample.map((candidate) => ({
    candidate,
    costMs: predictCostMs(assess(candidate), placement, undefined),
  })).toSorted((a, b) => a.costMs - b.costMs);
  return [
    ...chosen,
    ...ranked.slice(0, count - chosen.length).map(({ candidate }) => candidate),
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
  const [home] = findHomes(candidates, placement, 1);
  return candidates.map((candidate) => {
    const terms = predictCostTerms(candidate, placement, home?.id);
    return { candidate, costMs: sumTerms(terms), terms };
  });
}

/**
 * Draws what is added to the cost of a candidate. For a prompt, up to 1 ms spreads
 * requests over replicas of equal cost. For another request, the noise has Gumbel's
 * distribution: a candidate is chosen with a probability that falls exponentially
 * with its cost.
 */
function drawNoiseMs(
  { promptTokens, answerMs }: PromptPlacement,
  random: () => number,
): number {
  if (promptTokens > 0) return random();
  const spreadMs = Math.max(1, PLAIN_SPREAD_SHARE * answerMs);
  const draw = Math.min(1 - 1e-9, Math.max(1e-9, random()));
  return spreadMs * Math.log(-Math.log(draw));
}

/** Chooses the candidate with the lowest predicted cost, with noise that spreads requests. */
export function chooseReplica<C extends ReplicaCandidate>(
  candidates: readonly C[],
  placement: PromptPlacement,
  random: () => number,
): C | undefined {
  const costed = costReplicas(candidates, placement);
  const fitting = costed.filter(({ candidate }) =>
    memories.fitsMemory(candidate.memoryShare)
  );
  let best: C | undefined;
  let lowestCostMs = Infinity;
  for (const { candidate, costMs } of fitting.length > 0 ? fitting : costed) {
    const noisyCostMs = costMs + drawNoiseMs(placement, random);
    if (noisyCostMs < lowestCostMs) {
      best = candidate;
      lowestCostMs = noisyCostMs;
    }
  }
  return best;
}
