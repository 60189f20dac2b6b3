/**
 * Evidence about a replica's answers that several processes can pool: sums that
 * decay with time, so that old answers count less, and that can be added up.
 */
import * as speeds from "./uneven/replica_speed.ts";

/** Decayed sums over recent attempts. */
export interface EvidenceSums extends speeds.SpeedSums {
  readonly attempts: number;
  readonly failures: number;
}

export const NO_EVIDENCE: EvidenceSums = {
  attempts: 0,
  failures: 0,
  ...speeds.NO_SPEED,
};

/** Time constant of the exponential decay. */
const DECAY_MS = 4_000;
/** Attempts without failure that are assumed beside the observed ones. */
const PRIOR_SUCCESSES = 2;
/** Standard deviations from the usual failure rate that are taken for chance. */
const CHANCE_DEVIATIONS = 2;
/** Fewer attempts at a replica say too little about what is usual in its service. */
const MIN_USUAL_ATTEMPTS = 5;

/** Reduces sums that are `ageMs` old. */
export function decayEvidence(sums: EvidenceSums, ageMs: number): EvidenceSums {
  const factor = Math.exp(-Math.max(0, ageMs) / DECAY_MS);
  return {
    attempts: sums.attempts * factor,
    failures: sums.failures * factor,
    predictedMs: sums.predictedMs * factor,
    tookMs: sums.tookMs * factor,
  };
}

export function addEvidence(a: EvidenceSums, b: EvidenceSums): EvidenceSums {
  return {
    attempts: a.attempts + b.attempts,
    failures: a.failures + b.failures,
    predictedMs: a.predictedMs + b.predictedMs,
    tookMs: a.tookMs + b.tookMs,
  };
}

/** Share of failed attempts, from 0 to 1; low while there is little evidence. */
export function estimateFailureRate(sums: EvidenceSums): number {
  return sums.failures / (sums.attempts + PRIOR_SUCCESSES);
}

/**
 * Failure rate of the better half of the replicas together, as the requests cause
 * it: also where half of the replicas are broken. 0 if too little is known.
 */
export function findUsualFailureRate(
  replicas: readonly EvidenceSums[],
): number {
  const known = replicas.filter(({ attempts }) =>
    attempts >= MIN_USUAL_ATTEMPTS
  ).toSorted((a, b) => a.failures / a.attempts - b.failures / b.attempts);
  const better = known.slice(0, Math.ceil(known.length / 2));
  const sums = better.reduce(addEvidence, NO_EVIDENCE);
  return sums.attempts === 0 ? 0 : sums.failures / sums.attempts;
}

/**
 * Share of failed attempts beyond the one that is usual in the service, for which
 * the requests are the reason, and beyond its chance variation. Without usual
 * failures it is the failure rate.
 */
export function estimateExcessFailureRate(
  sums: EvidenceSums,
  usualRate: number,
): number {
  const attempts = sums.attempts + PRIOR_SUCCESSES;
  const rate = (sums.failures + PRIOR_SUCCESSES * usualRate) / attempts;
  const deviation = Math.sqrt(usualRate * (1 - usualRate) / attempts);
  return Math.max(0, rate - usualRate - CHANCE_DEVIATIONS * deviation);
}

/** Evidence of one process about one replica. */
export class ReplicaEvidence {
  #sums = NO_EVIDENCE;
  #updatedAtMs = 0;

  recordSuccess(nowMs: number): void {
    this.#add({ ...NO_EVIDENCE, attempts: 1 }, nowMs);
  }

  recordFailure(nowMs: number): void {
    this.#add({ ...NO_EVIDENCE, attempts: 1, failures: 1 }, nowMs);
  }

  recordSpeed(sample: speeds.SpeedSample, nowMs: number): void {
    this.#add(
      { ...NO_EVIDENCE, ...speeds.weighSpeedSample(sample) },
      nowMs,
    );
  }

  read(nowMs: number): EvidenceSums {
    return decayEvidence(this.#sums, nowMs - this.#updatedAtMs);
  }

  #add(added: EvidenceSums, nowMs: number): void {
    this.#sums = addEvidence(this.read(nowMs), added);
    this.#updatedAtMs = nowMs;
  }
}
