/** Authenticated WebSocket connections with msgpack frames between the system's processes. */
export * from "./connection.ts";
export * from "./dialer.ts";
export * from "./frames.ts";
export * from "./handshake.ts";
export * from "./identity.ts";
export * from "./server.ts";
