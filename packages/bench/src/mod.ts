/** Private: what the demonstration, the process tests and the measurements share. */
export * from "./caller.ts";
export * from "./deployment.ts";
export * from "./processes.ts";
