/** The operators' client as a library. */
export * from "./fleet.ts";
export * from "./key_files.ts";
export * from "./publish.ts";
export * from "./usage.ts";
