/** Decisions on data centres and regions: which may be used, and when another one pays. */
export * from "./cold_start.ts";
export * from "./evacuation.ts";
export * from "./homes.ts";
