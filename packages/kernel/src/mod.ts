/** The kernel: what every process and plug-in of the system builds on. */
export * from "./clock.ts";
export * from "./errors.ts";
export * from "./kernel.ts";
export * from "./log.ts";
export * from "./metrics.ts";
export * from "./observable_value.ts";
export * from "./timeline.ts";
