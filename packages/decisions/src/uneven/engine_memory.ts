/**
 * Whether a request fits into the memory of a replica's engine beside those that
 * all processes have there, and what it costs where that memory is nearly full:
 * engines preempt the newest of the least urgent requests, and read its prompt
 * and output in again.
 */

/** Memory of one engine. */
export interface EngineMemory {
  /** Predicted tokens of the requests in flight. */
  readonly heldTokens: number;
  readonly runningRequests: number;
  /** Absent if the service's replicas are no engines. */
  readonly capacityTokens: number | undefined;
}

/** Share of the memory up to which no request is expected to be preempted. */
const FREE_SHARE = 0.85;
/** Least share of the memory that is taken as held by a mean request. */
const MIN_MEAN_SHARE = 1 / 512;

/** Share of the memory that would be held with one more request; 0 without a bound. */
export function computeMemoryShare(
  { heldTokens, capacityTokens }: EngineMemory,
  neededTokens: number,
): number {
  return capacityTokens === undefined || capacityTokens <= 0
    ? 0
    : (heldTokens + neededTokens) / capacityTokens;
}

/** Whether a request can be held beside the others. */
export function fitsMemory(memoryShare: number): boolean {
  return memoryShare <= 1;
}

/**
 * Predicted time for reading requests in again, in multiples of the prefill of
 * the new one: 0 while there is memory, 1 where it is just full, more beyond.
 */
export function computePreemptions(memoryShare: number): number {
  return Math.max(0, (memoryShare - FREE_SHARE) / (1 - FREE_SHARE));
}

/** Number of requests of mean size that must end before one more fits. */
export function countMissingRequests(
  memory: EngineMemory,
  neededTokens: number,
): number {
  const { heldTokens, runningRequests, capacityTokens } = memory;
  if (capacityTokens === undefined || runningRequests <= 0) return 0;
  const missingTokens = heldTokens + neededTokens - capacityTokens;
  const meanTokens = Math.max(
    MIN_MEAN_SHARE * capacityTokens,
    heldTokens / runningRequests,
  );
  return Math.max(0, missingTokens / meanTokens);
}

/** Whether a prompt is larger than the memory of every replica of a service. */
export function isLargerThanMemory(
  promptTokens: number,
  capacityTokens: number | undefined,
): boolean {
  return capacityTokens !== undefined && capacityTokens > 0 &&
    promptTokens > capacityTokens;
}
