/** Binds a stand-in's HTTP listener on the loopback address. */
import * as honoServer from "@hono/node-server";
import type * as hono from "hono";
import type * as http from "node:http";

/** A running stand-in. */
export interface FakeServer {
  readonly port: number;
  readonly url: string;
  close(): Promise<void>;
}

/** Listens on a port; 0 picks a free port. */
export function listen(app: hono.Hono, port = 0): Promise<FakeServer> {
  const server = honoServer.createAdaptorServer({
    fetch: app.fetch,
  }) as http.Server;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => {
      const bound = server.address();
      const boundPort = typeof bound === "object" && bound !== null
        ? bound.port
        : port;
      resolve({
        port: boundPort,
        url: `http://127.0.0.1:${boundPort}`,
        close: () =>
          new Promise((resolveClose) => {
            server.close(() => resolveClose());
            server.closeAllConnections();
          }),
      });
    });
  });
}
