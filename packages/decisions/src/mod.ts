/**
 * The system's decision rules as pure functions and state machines. The current
 * time, random numbers and other processes' state are passed in as arguments.
 */
export * from "./access.ts";
export * from "./admission.ts";
export * from "./adoption.ts";
export * from "./answer_digest.ts";
export * from "./answer_silence.ts";
export * from "./billing.ts";
export * from "./bounded_map.ts";
export * from "./cascade.ts";
export * from "./claim_types.ts";
export * from "./claims.ts";
export * from "./control_watchers.ts";
export * from "./engine_latency.ts";
export * from "./fair_queue.ts";
export * from "./rollout_guard.ts";
export * from "./failure_tally.ts";
export * from "./gap_baseline.ts";
export * from "./hash.ts";
export * from "./load_ledger.ts";
export * from "./replica_table.ts";
export * from "./retry_budget.ts";
export * from "./routing.ts";
export * from "./shares.ts";
export * from "./rollout_stops.ts";
export * from "./versions.ts";
export * from "./freshness.ts";
export * from "./memory/mod.ts";
export * from "./model_choice.ts";
export * from "./places/mod.ts";
export * from "./crash_blame.ts";
export * from "./rate_account.ts";
export * from "./replica_choice.ts";
export * from "./replica_demands.ts";
export * from "./replica_evidence.ts";
export * from "./replica_health.ts";
export * from "./room/account_shares.ts";
export * from "./room/stream_delay.ts";
export * from "./room/turn.ts";
export * from "./sliding_retry_budget.ts";
export * from "./rollout_merge.ts";
export * from "./rollout_plan.ts";
export * from "./stream_silence.ts";
export * from "./uneven/mod.ts";
export * from "./version_trial.ts";
