export * from "./answer_time.ts";
export * from "./replica_speed.ts";
