/** Tests that work is checked again between connecting to an upstream and sending. */
import * as http from "node:http";
import type * as net from "node:net";
import * as ava from "ava";
import type * as kernel from "@jackdawbank/kernel";
import * as httpBackends from "./http_backends.ts";

const test = ava.default;
const SINK = { onHead: () => {}, onChunk: () => Promise.resolve() };

interface CountingServer {
  readonly url: string;
  readonly requests: () => number;
}

async function startServer(t: ava.ExecutionContext): Promise<CountingServer> {
  let requests = 0;
  const server = http.createServer((request, response) => {
    requests += 1;
    request.resume();
    response.end("{}");
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { url: `http://127.0.0.1:${port}`, requests: () => requests };
}

function runModelCall(
  backend: httpBackends.ModelBackend,
  refusal: kernel.ErrorKind | undefined,
) {
  return backend.run({
    requestId: "r1",
    call: {
      type: "model",
      model: "verse",
      version: "v1",
      isStreamed: false,
      wantsUsage: false,
    },
    body: Buffer.from("{}"),
    priority: 0,
    signal: new AbortController().signal,
    findRefusal: () => refusal,
  }, SINK);
}

test("a version withdrawn while the connection was opened receives no request", async (t) => {
  const server = await startServer(t);
  const backend = new httpBackends.ModelBackend(server.url);
  t.teardown(() => backend.close());
  const refused = await runModelCall(backend, "version-withdrawn");
  t.is(refused._unsafeUnwrapErr().kind, "version-withdrawn");
  t.is(server.requests(), 0);
  t.true((await runModelCall(backend, undefined)).isOk());
  // The connection is now open; a request on it is checked as well.
  const refusedAgain = await runModelCall(backend, "stale-configuration");
  t.is(refusedAgain._unsafeUnwrapErr().kind, "stale-configuration");
  t.is(server.requests(), 1);
});

test("a service call that was refused while the connection was opened has not run", async (t) => {
  const server = await startServer(t);
  const backend = new httpBackends.ServiceBackend(server.url, "orders");
  t.teardown(() => backend.close());
  const refused = await backend.run({
    requestId: "r1",
    call: {
      type: "service",
      service: "orders",
      method: "POST",
      path: "/orders",
      headers: {},
      isRepeatable: false,
    },
    body: Buffer.from("{}"),
    priority: 0,
    signal: new AbortController().signal,
    findRefusal: () => "leaving",
  }, SINK);
  t.is(refused._unsafeUnwrapErr().kind, "leaving");
  t.is(server.requests(), 0);
});
