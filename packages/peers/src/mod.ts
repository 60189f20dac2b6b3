/** Reports between the processes of one installation, over datagrams. */
export * from "./datagram_channel.ts";
export * from "./peer_table.ts";
export * from "./peer_reporter.ts";
export * from "./report.ts";
export * from "./report_budget.ts";
