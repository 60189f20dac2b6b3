export * from "./answer_time.ts";
export * from "./engine_memory.ts";
export * from "./output_length.ts";
export * from "./replica_speed.ts";
