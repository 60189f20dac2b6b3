/** The parts of `jackdawctl` that other programs use as a library. */
export * from "./fleet.ts";
export * from "./key_files.ts";
export * from "./publish.ts";
export * from "./usage.ts";
