/** HTTP admin listener of a daemon: health, status, timeline and bundle submission. */
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as honoServer from "@hono/node-server";
import * as hono from "hono";
import * as honoBodyLimit from "hono/body-limit";
import * as http from "node:http";
import * as neverthrow from "neverthrow";
import * as commands from "./commands.ts";
import * as drains from "./connection_drain.ts";

export const MAX_BUNDLE_REQUEST_BYTES = bundle.MAX_BUNDLE_BYTES + 65_536;

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A bound HTTP listener. */
export interface HttpListener {
  readonly port: number;
  close(): Promise<void>;
}

function listUnreadyReasons(host: kernel.Kernel): readonly string[] {
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
    "this process does not accept bundles",
  );
  host.dispatchCommand(commands.OFFER_BUNDLE, {
    data,
    reply: (result) => {
      outcome = result;
    },
  });
  return outcome;
}

const limitBundleSize = honoBodyLimit.bodyLimit({
  maxSize: MAX_BUNDLE_REQUEST_BYTES,
  onError: (context) =>
    context.json(
      { error: { kind: "body-too-large", message: "the bundle exceeds 1 MB" } },
      413,
      {
        // The rest of the body is not read, so the connection cannot be reused.
        connection: "close",
      },
    ),
});

/** Creates the app with the admin routes. */
export function createAdminApp(host: kernel.Kernel): hono.Hono {
  const app = new hono.Hono();
  app.get("/healthz", (context) => context.json({ isAlive: true }));
  app.get("/readyz", (context) => {
    const reasons = listUnreadyReasons(host);
    return context.json(
      { isReady: reasons.length === 0, reasons },
      reasons.length === 0 ? 200 : 503,
    );
  });
  app.get("/status", (context) => context.json(collectStatus(host)));
  app.get("/timeline", (context) => {
    const after = Number(context.req.query("after") ?? 0);
    if (!Number.isInteger(after) || after < 0) {
      return context.json(
        { error: "after must be a non-negative integer" },
        400,
      );
    }
    return context.json({ events: host.services.timeline.list(after) });
  });
  app.post(
    "/bundle",
    limitBundleSize,
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

/** Keeps what callers send and do not read within the process's memory and descriptors. */
export interface RequestGuard {
  readonly serverOptions: http.ServerOptions;
  /** Guards the connections of a server; `onConnection` is called for each new one. */
  watch(
    server: http.Server,
    onConnection: (socket: drains.Connection) => void,
  ): void;
  /** Fails with the error to answer, or with `undefined` if the connection is closed. */
  readBody(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    expectsContinue?: boolean,
  ): Promise<neverthrow.Result<Buffer, kernel.AppError | undefined>>;
}

/** How a listener treats requests before its app gets them. */
export interface ListenOptions {
  readonly guard: RequestGuard;
  readonly renderRefusal: (error: kernel.AppError) => Response;
}

/** Renders the refusal of a request to the admin listener. */
export function renderAdminRefusal(
  { kind, message }: kernel.AppError,
): Response {
  const { status } = kernel.findErrorResponse(kind);
  return Response.json({ error: { kind, message } }, { status });
}

/** Creates a server that passes whole requests on to an app, and what closes its connections. */
function createServer<E extends hono.Env>(
  app: hono.Hono<E>,
  { guard, renderRefusal }: ListenOptions,
): { readonly server: http.Server; readonly drain: drains.ConnectionDrain } {
  const pass = honoServer.getRequestListener(app.fetch);
  const handle = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    expectsContinue: boolean,
  ) => {
    const body = await guard.readBody(request, response, expectsContinue);
    if (body.isOk()) {
      // The adapter takes the body from here, as the request has been read.
      await pass(Object.assign(request, { rawBody: body.value }), response);
    } else if (body.error !== undefined) {
      const refusal = renderRefusal(body.error);
      response.writeHead(refusal.status, {
        ...Object.fromEntries(refusal.headers),
        connection: "close",
      });
      response.end(await refusal.text());
    }
  };
  const server = http.createServer(guard.serverOptions);
  const drain = new drains.ConnectionDrain(server);
  for (const event of ["request", "checkContinue", "checkExpectation"]) {
    server.on(event, (request, response) => {
      void handle(request, response, event === "checkContinue");
    });
  }
  guard.watch(server, (socket) => drain.add(socket));
  return { server, drain };
}

/** Binds an HTTP listener for an app. */
export function listenHttp<E extends hono.Env>(
  app: hono.Hono<E>,
  address: ListenAddress,
  options: ListenOptions,
): Promise<kernel.Outcome<HttpListener>> {
  return new Promise((resolve) => {
    const { server, drain } = createServer(app, options);
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
      resolve(neverthrow.ok({ port, close: () => drain.close() }));
    });
  });
}
