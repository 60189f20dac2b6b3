/** The daemon: settings, start and stop of the roles `entry` and `upstream`. */
export * from "./daemon.ts";
export * from "./settings.ts";
export * from "./watchers.ts";
