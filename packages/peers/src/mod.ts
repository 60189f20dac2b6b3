/** Reports that the processes of one installation exchange over UDP. */
export * from "./cold_grants.ts";
export * from "./datagram_channel.ts";
export * from "./known_rate.ts";
export * from "./load_exchange.ts";
export * from "./load_message.ts";
export * from "./peer_table.ts";
export * from "./peer_reporter.ts";
export * from "./prompt_exchange.ts";
export * from "./prompt_message.ts";
export * from "./rate_exchange.ts";
export * from "./rate_message.ts";
export * from "./report.ts";
export * from "./report_budget.ts";
export * from "./replica_owners.ts";
export * from "./split_channel.ts";
