/**
 * The router: routes callers' requests by host and path and sends them directly
 * to replicas. `registerRouter` starts it and closes it with its kernel.
 */
export * from "./decision_log.ts";
export * from "./ports.ts";
export * from "./router.ts";
export * from "./telemetry.ts";
