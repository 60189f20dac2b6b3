/** Clients of the platform's services: key-value store, VM list and ratings. */
export * from "./etcd_store.ts";
export * from "./keys.ts";
export * from "./merge.ts";
export * from "./ratings.ts";
export * from "./store.ts";
export * from "./vm_list.ts";
