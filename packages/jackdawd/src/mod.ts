/** The daemon: settings, start and stop of either role. */
export * from "./daemon.ts";
export * from "./settings.ts";
export * from "./watchers.ts";
