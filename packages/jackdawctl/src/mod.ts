/** The operators' client as a library. */
export * from "./fleet.ts";
export * from "./key_files.ts";
export * from "./roll.ts";
export * from "./usage.ts";
