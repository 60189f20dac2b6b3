/** Tests that work is checked again between connecting to an upstream and sending. */
import * as http from "node:http";
import * as net from "node:net";
import * as ava from "ava";
import type * as kernel from "@jackdawbank/kernel";
import * as httpBackends from "./http_backends.ts";

const test = ava.default;
const MB = 1_048_576;
/** Above the largest answer that is read, with what both ends buffer. */
const MAX_TAKEN_BYTES = 48 * MB;
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
  isStreamed = false,
) {
  return backend.run({
    requestId: "r1",
    call: {
      type: "model",
      model: "verse",
      version: "v1",
      isStreamed,
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

const BODY = "whole";
const FRAMINGS = [
  `content-length: ${BODY.length}\r\n\r\n${BODY}`,
  `transfer-encoding: chunked\r\n\r\n5\r\n${BODY}\r\n0\r\n\r\n`,
  `connection: close\r\n\r\n${BODY}`,
];
const RESET_DELAY_MS = 5;

/** Starts a server of raw bytes; `serve` is called with each whole request head. */
async function startRawServer(
  t: ava.ExecutionContext,
  serve: (socket: net.Socket, requests: number) => void,
): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    let requests = 0;
    socket.on("data", (bytes) => {
      if (!bytes.toString("latin1").includes("\r\n\r\n")) return;
      requests += 1;
      serve(socket, requests);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

async function runServiceCall(
  backend: httpBackends.ServiceBackend,
): Promise<{ readonly isWhole: boolean; readonly body: string }> {
  let body = "";
  const result = await backend.run({
    requestId: "r1",
    call: {
      type: "service",
      service: "orders",
      isRepeatable: false,
      method: "POST",
      path: "/orders",
      headers: {},
    },
    body: new Uint8Array(),
    priority: 0,
    signal: new AbortController().signal,
    findRefusal: () => undefined,
  }, {
    onHead: () => {},
    onChunk: (data) => {
      body += Buffer.from(data).toString("latin1");
      return Promise.resolve();
    },
  });
  return { isWhole: result.isOk(), body };
}

// Guards against MIXED: an answer without length or chunks that was cut by a reset was
// passed on as a whole one.
test("an answer of a service that is reset at any byte is never whole", async (t) => {
  let text = "";
  const url = await startRawServer(t, (socket) => {
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  });
  const backend = new httpBackends.ServiceBackend(url, "orders");
  t.teardown(() => backend.close());
  for (const rest of FRAMINGS) {
    const whole = `HTTP/1.1 200 OK\r\nx: y\r\n${rest}`;
    for (let cut = 0; cut < whole.length; cut += 1) {
      text = whole.slice(0, cut);
      const { isWhole } = await runServiceCall(backend);
      t.false(isWhole, `cut at ${cut}: ${text}`);
    }
  }
});

// Guards against MIXED: a reset that arrives together with a part of an answer without a length
// was taken for the orderly end of the answer.
test("an answer of a service is not whole if a reset arrives with its data", async (t) => {
  const url = await startRawServer(t, (socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\n\r\npart",
      () => socket.resetAndDestroy(),
    );
  });
  const backend = new httpBackends.ServiceBackend(url, "orders");
  t.teardown(() => backend.close());
  for (let call = 0; call < 20; call += 1) {
    t.false((await runServiceCall(backend)).isWhole);
  }
});

// Guards against MIXED: an earlier answer that a service wrote once more on a kept connection
// was taken for the answer to the next call.
test("a service's answer that is written once more is not taken for that of the next call", async (t) => {
  let calls = 0;
  const render = (call: number) =>
    `HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nanswer ${call}`;
  const url = await startRawServer(t, (socket, requests) => {
    calls += 1;
    socket.write(requests > 1 ? render(calls - 1) : render(calls));
  });
  const backend = new httpBackends.ServiceBackend(url, "orders");
  t.teardown(() => backend.close());
  for (let call = 1; call <= 3; call += 1) {
    t.is((await runServiceCall(backend)).body, `answer ${call}`);
  }
});

// Guards against a process that keeps an event without end until its memory is full.
for (
  const { what, isStreamed, start } of [
    { what: "whole answer", isStreamed: false, start: "" },
    { what: "event", isStreamed: true, start: "data: " },
  ]
) {
  test(`a model's ${what} that never ends is given up`, async (t) => {
    let takenBytes = 0;
    const server = http.createServer((request, response) => {
      request.resume();
      const block = Buffer.alloc(MB, " ");
      response.write(start);
      const writeMore = () => {
        while (!response.destroyed && takenBytes <= 2 * MAX_TAKEN_BYTES) {
          takenBytes += block.length;
          if (!response.write(block)) return;
        }
        // A client without a bound would take all memory.
        response.destroy();
      };
      response.on("drain", writeMore);
      writeMore();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as net.AddressInfo;
    const backend = new httpBackends.ModelBackend(`http://127.0.0.1:${port}`);
    t.teardown(async () => {
      await backend.close();
      server.closeAllConnections();
      server.close();
    });
    const result = await runModelCall(backend, undefined, isStreamed);
    t.is(result._unsafeUnwrapErr().kind, "upstream-failed");
    t.log(`${takenBytes} bytes`);
    t.true(takenBytes <= MAX_TAKEN_BYTES);
  });
}
