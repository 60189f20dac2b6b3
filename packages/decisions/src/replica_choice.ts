/**
 * Choice of a replica by the predicted time to the first token: work that
 * is known to wait there, tokens of the prompt that are not cached there, the
 * streams that reading them delays, the way between data centres, and what is
 * known against it.
 */
import * as hash from "./hash.ts";

/** A replica as a choice sees it. */
export interface ReplicaCandidate {
  readonly id: string;
  readonly isLocal: boolean;
  /** Requests under way there, as far as this process knows. */
  readonly inFlight: number;
  /** Time that prompts under way still take to be read there. */
  readonly pendingMs: number;
  readonly slots: number;
  /** Tokens of this prompt that are likely cached there. */
  readonly cachedTokens: number;
  readonly failureRate: number;
  readonly meanFirstByteMs: number | undefined;
}

/** What is to be placed. */
export interface PromptPlacement {
  readonly promptTokens: number;
  /** Time in which the model reads one token. */
  readonly prefillMsPerToken: number;
  /** Requests that share it find their common part in one place. */
  readonly affinityKey: string | undefined;
  /** Tokens that requests with the same key share. */
  readonly sharedTokens: number;
}

/** Weight of reading a token again, also where the model reads quickly: it delays others. */
const READ_AGAIN_MS_PER_TOKEN = 0.04;
/** Share of the time of reading a prompt that it costs each stream that runs there. */
const READING_DELAYS_STREAM = 0.08;
/** Delay that one running request adds to the next one. */
const RUNNING_REQUEST_MS = 8;
/** Weight against a replica in another data centre. */
const REMOTE_MS = 6;
/** Weight against a replica that fails all its requests. */
const FAILURE_MS = 2_000;
/** Weight of a replica's pace beyond that of the others. */
const DELAY_WEIGHT = 0.5;

/** Predicted cost in milliseconds of sending a prompt to a replica. */
export function predictCostMs(
  candidate: ReplicaCandidate,
  placement: PromptPlacement,
  context: {
    readonly home: string | undefined;
    readonly usualDelayMs: number;
  },
): number {
  // Other processes send the same subject to its home: it is likely cached there.
  const cachedTokens = context.home === candidate.id
    ? Math.max(candidate.cachedTokens, placement.sharedTokens)
    : candidate.cachedTokens;
  const unread = Math.max(0, placement.promptTokens - cachedTokens);
  const readMs = unread * placement.prefillMsPerToken;
  const slower = Math.max(
    0,
    (candidate.meanFirstByteMs ?? context.usualDelayMs) - context.usualDelayMs,
  );
  return unread *
      Math.max(placement.prefillMsPerToken, READ_AGAIN_MS_PER_TOKEN) +
    candidate.pendingMs +
    candidate.inFlight * readMs * READING_DELAYS_STREAM +
    candidate.inFlight * RUNNING_REQUEST_MS *
      (8 / Math.max(8, candidate.slots)) +
    (candidate.isLocal ? 0 : REMOTE_MS) +
    candidate.failureRate * FAILURE_MS +
    slower * DELAY_WEIGHT;
}

function findUsualDelayMs(candidates: readonly ReplicaCandidate[]): number {
  const delays = candidates.flatMap(({ meanFirstByteMs: delayMs }) =>
    delayMs === undefined ? [] : [delayMs]
  ).toSorted((a, b) => a - b);
  return delays[Math.floor(delays.length / 2)] ?? 0;
}

/** Picks the candidate with the lowest predicted cost; equals are drawn by lot. */
export function chooseReplica<C extends ReplicaCandidate>(
  candidates: readonly C[],
  placement: PromptPlacement,
  random: () => number,
): C | undefined {
  if (candidates.length === 0) return undefined;
  const home = placement.affinityKey === undefined
    ? undefined
    : hash.rankByRendezvous(
      candidates.map(({ id }) => id),
      placement.affinityKey,
    )[0];
  const context = { home, usualDelayMs: findUsualDelayMs(candidates) };
  let best: C | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    // A millisecond of noise spreads equals.
    const score = predictCostMs(candidate, placement, context) + random();
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
