/** Bills: numbering, storing exactly once, and backup copies at upstream processes. */
export * from "./ledger.ts";
export * from "./store_bills.ts";
export * from "./backup.ts";
