/** The admin listener of a daemon: health, status, time line and bundle offers. */
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as honoServer from "@hono/node-server";
import * as hono from "hono";
import * as honoBodyLimit from "hono/body-limit";
import type * as http from "node:http";
import * as neverthrow from "neverthrow";
import * as commands from "./commands.ts";

const MAX_OFFER_BYTES = bundle.MAX_BUNDLE_BYTES + 65_536;

/** Where a listener binds. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A bound HTTP listener. */
export interface HttpListener {
  readonly port: number;
  close(): Promise<void>;
}

function listReasons(host: kernel.Kernel): readonly string[] {
  const reasons: string[] = [];
  host.dispatchCommand(commands.COLLECT_READINESS, {
    block: (reason) => reasons.push(reason),
  });
  return reasons;
}

function collectStatus(host: kernel.Kernel): Readonly<Record<string, unknown>> {
  const status: Record<string, unknown> = {};
  host.dispatchCommand(commands.COLLECT_STATUS, {
    add: (name, value) => {
      status[name] = value;
    },
  });
  return { processId: host.services.processId, ...status };
}

function offerBundle(
  host: kernel.Kernel,
  data: unknown,
): kernel.Outcome<bundle.VerifiedBundle> {
  let outcome: kernel.Outcome<bundle.VerifiedBundle> = kernel.fail(
    "no-bundle",
    "this process holds no bundles",
  );
  host.dispatchCommand(commands.OFFER_BUNDLE, {
    data,
    reply: (result) => {
      outcome = result;
    },
  });
  return outcome;
}

const limitOffer = honoBodyLimit.bodyLimit({
  maxSize: MAX_OFFER_BYTES,
  onError: (context) =>
    context.json(
      { error: { kind: "body-too-large", message: "the bundle is over 1 MB" } },
      413,
      {
        // The rest of the body is not read, so the connection cannot be used again.
        connection: "close",
      },
    ),
});

/** Builds the admin routes. */
export function createAdminApp(host: kernel.Kernel): hono.Hono {
  const app = new hono.Hono();
  app.get("/healthz", (context) => context.json({ isAlive: true }));
  app.get("/readyz", (context) => {
    const reasons = listReasons(host);
    return context.json(
      { isReady: reasons.length === 0, reasons },
      reasons.length === 0 ? 200 : 503,
    );
  });
  app.get("/status", (context) => context.json(collectStatus(host)));
  app.get("/timeline", (context) => {
    const after = Number(context.req.query("after") ?? 0);
    if (!Number.isInteger(after) || after < 0) {
      return context.json({ error: "after must be a sequence number" }, 400);
    }
    return context.json({ events: host.services.timeline.list(after) });
  });
  app.post(
    "/bundle",
    limitOffer,
    async (context) => {
      const data: unknown = await context.req.json().catch(() => undefined);
      const outcome = offerBundle(host, data);
      if (outcome.isOk()) {
        return context.json({
          revision: outcome.value.bundle.revision,
        });
      }
      const { kind, message } = outcome.error;
      return context.json(
        { error: { kind, message } },
        kernel.findErrorResponse(kind).status as 400,
      );
    },
  );
  app.notFound((context) => context.json({ error: "not found" }, 404));
  return app;
}

/** Binds an HTTP listener for an app. */
export function listenHttp<E extends hono.Env>(
  app: hono.Hono<E>,
  address: ListenAddress,
  options: http.ServerOptions = {},
): Promise<kernel.Outcome<HttpListener>> {
  return new Promise((resolve) => {
    const server = honoServer.createAdaptorServer({
      fetch: app.fetch,
      serverOptions: options,
    }) as http.Server;
    server.once("error", (error) => {
      resolve(
        kernel.fail("settings-invalid", `cannot listen: ${error.message}`),
      );
    });
    server.listen(address.port, address.host, () => {
      const bound = server.address();
      const port = typeof bound === "object" && bound !== null
        ? bound.port
        : address.port;
      resolve(neverthrow.ok({ port, close: () => closeServer(server) }));
    });
  });
}

function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
