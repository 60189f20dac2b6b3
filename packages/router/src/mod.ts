/**
 * The router: takes callers' requests by host and path and sends them straight
 * to replicas. `registerRouter` starts it on a kernel and returns its tear-down.
 */
export * from "./decision_log.ts";
export * from "./ports.ts";
export * from "./router.ts";
export * from "./telemetry.ts";
