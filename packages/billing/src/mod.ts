/** Bills: numbering, storing exactly once, and copies at witnesses. */
export * from "./ledger.ts";
export * from "./store_bills.ts";
export * from "./backup.ts";
