/** The kernel: the base of every process and plug-in. */
export * from "./answer_bound.ts";
export * from "./clock.ts";
export * from "./content_allowance.ts";
export * from "./errors.ts";
export * from "./history_position.ts";
export * from "./kernel.ts";
export * from "./log.ts";
export * from "./metrics.ts";
export * from "./observable_value.ts";
export * from "./received_bytes.ts";
export * from "./reset_error.ts";
export * from "./timeline.ts";
