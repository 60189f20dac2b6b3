/** Stand-ins for the outside systems that jackdawbank uses. */
export * from "./endless_bytes.ts";
export * from "./engine.ts";
export * from "./listen.ts";
export * from "./order_service.ts";
export * from "./vm_list.ts";
export * from "./etcd_store.ts";
export * from "./platform_store.ts";
export * from "./replica.ts";
export * from "./platform_caller.ts";
export * from "./platform_connection.ts";
export type * from "./answer_parser.ts";
export * as samples from "./platform_sample.ts";
