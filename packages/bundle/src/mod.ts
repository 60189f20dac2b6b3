/** The versioned bundle: schema, checks, canonical form, signature, diff. */
export * from "./check.ts";
export * from "./edit.ts";
export * from "./parse.ts";
export * from "./routes.ts";
export * from "./schema.ts";
export * from "./sign.ts";
