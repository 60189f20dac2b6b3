/** Private: the means of the demo, the process tests and the measurements. */
export * from "./caller.ts";
export * from "./deployment.ts";
export * from "./processes.ts";
