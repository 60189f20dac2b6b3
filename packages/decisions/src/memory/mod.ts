/** Rules of what a process holds in memory for its callers. */
export * from "./memory_limits.ts";
export * from "./replica_memory.ts";
export * from "./yield_order.ts";
