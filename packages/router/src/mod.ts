/**
 * The router: routes callers' requests by host and path and sends them directly
 * to replicas. `registerRouter` starts it and closes it when its kernel closes.
 */
export * from "./caller_resources.ts";
export * from "./decision_log.ts";
export * from "./descriptor_sink.ts";
export * from "./ports.ts";
export * from "./replica_table.ts";
export * from "./request_guard.ts";
export * from "./router.ts";
export * from "./router_options.ts";
export * from "./telemetry.ts";
