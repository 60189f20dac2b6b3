/**
 * Evidence about a replica's answers that several processes can pool: sums that
 * decay with time, so that old answers count less, and that can be added up.
 */

/** Decayed sums over recent attempts. */
export interface EvidenceSums {
  readonly attempts: number;
  readonly failures: number;
  /** Sum of the latencies of the attempts that did not fail. */
  readonly latencyMs: number;
}

export const NO_EVIDENCE: EvidenceSums = {
  attempts: 0,
  failures: 0,
  latencyMs: 0,
};

/** Time constant of the exponential decay. */
const DECAY_MS = 4_000;
/** Attempts without failure that are assumed beside the observed ones. */
const PRIOR_SUCCESSES = 2;
/** Fewer attempts say too little about the latency. */
const MIN_LATENCY_ATTEMPTS = 3;

/** Reduces sums that are `ageMs` old. */
export function decayEvidence(sums: EvidenceSums, ageMs: number): EvidenceSums {
  const factor = Math.exp(-Math.max(0, ageMs) / DECAY_MS);
  return {
    attempts: sums.attempts * factor,
    failures: sums.failures * factor,
    latencyMs: sums.latencyMs * factor,
  };
}

export function addEvidence(a: EvidenceSums, b: EvidenceSums): EvidenceSums {
  return {
    attempts: a.attempts + b.attempts,
    failures: a.failures + b.failures,
    latencyMs: a.latencyMs + b.latencyMs,
  };
}

/** Share of failed attempts, from 0 to 1; low while there is little evidence. */
export function estimateFailureRate(sums: EvidenceSums): number {
  return sums.failures / (sums.attempts + PRIOR_SUCCESSES);
}

/** Mean latency, or `undefined` while there is little evidence. */
export function estimateMeanLatencyMs(sums: EvidenceSums): number | undefined {
  const successes = sums.attempts - sums.failures;
  return successes < MIN_LATENCY_ATTEMPTS
    ? undefined
    : sums.latencyMs / successes;
}

/** Evidence of one process about one replica. */
export class ReplicaEvidence {
  #sums = NO_EVIDENCE;
  #updatedAtMs = 0;

  recordSuccess(latencyMs: number, nowMs: number): void {
    this.#add({ attempts: 1, failures: 0, latencyMs }, nowMs);
  }

  recordFailure(nowMs: number): void {
    this.#add({ attempts: 1, failures: 1, latencyMs: 0 }, nowMs);
  }

  read(nowMs: number): EvidenceSums {
    return decayEvidence(this.#sums, nowMs - this.#updatedAtMs);
  }

  #add(added: EvidenceSums, nowMs: number): void {
    this.#sums = addEvidence(this.read(nowMs), added);
    this.#updatedAtMs = nowMs;
  }
}
