/** The versioned bundle of configuration: schema, validation, canonical form, signature, diff; and the route table. */
export * from "./check.ts";
export * from "./edit.ts";
export * from "./parse.ts";
export * from "./routes.ts";
export * from "./schema.ts";
export * from "./sign.ts";
