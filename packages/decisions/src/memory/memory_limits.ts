/** What a process may hold and how many callers it may be connected to, by its machine's limits. */

/** Memory of an idle process: code, heap and the buffers of its own connections. */
const BASE_BYTES = 115 * 1_048_576;
/** Share of the rest that callers may take; the other part is for garbage not collected yet. */
const CALLER_SHARE = 0.5;
/** Four bodies of the largest size in use. */
const MIN_BUDGET_BYTES = 16 * 1_048_576;
/** Used where the settings state no memory. */
const DEFAULT_BUDGET_BYTES = 256 * 1_048_576;
/** Share of the memory for the heap; the rest is for code, buffers and their garbage. */
const HEAP_SHARE = 0.4;
/** What the runtime's limit of the heap contains beside what callers may take: new objects, and an idle process. */
const BASE_HEAP_BYTES = 80 * 1_048_576;
/** Share of the rest that requests of callers may take; the other part is for what they cause. */
const CALLER_HEAP_SHARE = 0.5;
const MIN_CALLER_HEAP_BYTES = 8 * 1_048_576;
/** Descriptors that the platform reserves for files. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other ones for callers; the rest is for replicas, the store and peers. */
const CALLER_DESCRIPTOR_SHARE = 0.6;
const MIN_CALLER_CONNECTIONS = 32;

/** Most bytes that a process holds for callers, by its machine's memory in bytes. */
export function computeMemoryBudget(memoryBytes: number | undefined): number {
  if (memoryBytes === undefined) return DEFAULT_BUDGET_BYTES;
  return Math.max(
    MIN_BUDGET_BYTES,
    Math.floor((memoryBytes - BASE_BYTES) * CALLER_SHARE),
  );
}

/** Size of the heap above which a process collects garbage early, by its machine's memory in bytes. */
export function computeHeapBytes(memoryBytes: number | undefined): number {
  return memoryBytes === undefined ? Infinity : memoryBytes * HEAP_SHARE;
}

/** Most bytes of the heap that heads and objects of requests may take, by the runtime's limit of the heap in bytes. */
export function computeCallerHeap(heapLimitBytes: number): number {
  return Math.max(
    MIN_CALLER_HEAP_BYTES,
    Math.floor((heapLimitBytes - BASE_HEAP_BYTES) * CALLER_HEAP_SHARE),
  );
}

/** Most connections of callers that a process keeps open; infinite if no limit is known. */
export function computeCallerConnections(
  fileDescriptors: number | undefined,
): number {
  if (fileDescriptors === undefined) return Infinity;
  return Math.max(
    MIN_CALLER_CONNECTIONS,
    Math.floor(
      (fileDescriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE,
    ),
  );
}
