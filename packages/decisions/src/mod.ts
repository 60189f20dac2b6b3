/** The decision rules. Time, randomness and views of others are arguments. */
export * from "./access.ts";
export * from "./admission.ts";
export * from "./adoption.ts";
export * from "./answers.ts";
export * from "./billing.ts";
export * from "./cascade.ts";
export * from "./claim_types.ts";
export * from "./claims.ts";
export * from "./fair_queue.ts";
export * from "./guard.ts";
export * from "./hash.ts";
export * from "./replicas.ts";
export * from "./retries.ts";
export * from "./routing.ts";
export * from "./shares.ts";
export * from "./stops.ts";
export * from "./versions.ts";
