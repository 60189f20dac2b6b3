/** The HTTP admin listener and its commands. */
export * from "./commands.ts";
export * from "./server.ts";
