/** Private stand-ins for the systems around jackdawbank. */
export * from "./engine.ts";
export * from "./listen.ts";
export * from "./orders.ts";
export * from "./platform.ts";
export * from "./store.ts";
export * from "./kv_store.ts";
export * from "./replica.ts";
export * from "./platform_caller.ts";
export * as samples from "./platform_sample.ts";
