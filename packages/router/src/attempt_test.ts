/** Tests when an attempt tells its listener of its end. */
import * as ava from "ava";
import * as net from "node:net";
import * as attempts from "./attempt.ts";
import * as connections from "./connections.ts";

const test = ava.default;
/** A header value that no HTTP message can carry. */
const INVALID_VALUE = "3\u{fffd}";

function createPool(t: ava.ExecutionContext): connections.ConnectionPool {
  const pool = new connections.ConnectionPool(
    { host: "127.0.0.1", port: 9 },
    { limit: 4, onOpened: () => {} },
  );
  t.teardown(() => pool.close());
  return pool;
}

// Guards against CONFIG: an attempt that ended while it was being constructed told a listener that
// was not ready yet; the end was lost, and its request never ended.
for (
  const { what, headers, path } of [
    { what: "header", headers: ["last-event-id", INVALID_VALUE], path: "/" },
    { what: "path", headers: [], path: "/a\tb" },
  ]
) {
  test(`an attempt with an invalid ${what} ends after its constructor has returned`, async (t) => {
    const pool = createPool(t);
    const connection = pool.acquire(false) as connections.Connection;
    let isConstructed = false;
    let attempt: attempts.Attempt | undefined;
    const end = await new Promise<attempts.AttemptEnd>((resolve, reject) => {
      attempt = new attempts.Attempt(pool, connection, {
        method: "GET",
        path,
        headers,
        body: Buffer.alloc(0),
      }, {
        onHead: () => {},
        onData: () => {},
        onEnd: (ended) =>
          isConstructed
            ? resolve(ended)
            : reject(new Error("told before the constructor has returned")),
      });
      isConstructed = true;
    });
    t.is(end.type, "unsent");
    t.false(attempt?.isSent);
  });
}

// Seen as 500 ms of delay for each request that met a replica that had just crashed.
test("an attempt at a replica that refuses connections ends with that reason, not with a time-out", async (t) => {
  const server = net.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  const pool = new connections.ConnectionPool(
    { host: "127.0.0.1", port },
    { limit: 4, onOpened: () => {} },
  );
  t.teardown(() => pool.close());
  const connection = pool.acquire(false) as connections.Connection;
  const end = await new Promise<attempts.AttemptEnd>((resolve) => {
    new attempts.Attempt(pool, connection, {
      method: "GET",
      path: "/",
      headers: [],
      body: Buffer.alloc(0),
    }, { onHead: () => {}, onData: () => {}, onEnd: resolve });
  });
  t.is(end.type, "unsent");
  t.true(end.type === "unsent" && end.reason.includes("ECONNREFUSED"));
});

// Guards against EVAC and HOME: while an attempt waited for its connection, its data centre was
// evacuated, and the request was sent all the same.
test("an attempt with an obstacle sends nothing once its connection is ready", async (t) => {
  let receivedBytes = 0;
  let opened = 0;
  const server = net.createServer((socket) => {
    opened += 1;
    socket.on("data", (chunk) => receivedBytes += chunk.length);
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const pool = new connections.ConnectionPool(
    { host: "127.0.0.1", port },
    { limit: 4, onOpened: () => {} },
  );
  t.teardown(() => pool.close());
  let obstacle: string | undefined;
  let attempt: attempts.Attempt | undefined;
  const end = await new Promise<attempts.AttemptEnd>((resolve) => {
    attempt = new attempts.Attempt(
      pool,
      pool.acquire(true) as connections.Connection,
      {
        method: "POST",
        path: "/",
        headers: [],
        body: Buffer.alloc(100),
        findObstacle: () => obstacle,
      },
      { onHead: () => {}, onData: () => {}, onEnd: resolve },
    );
    obstacle = "the data centre is evacuated";
  });
  t.deepEqual(end, { type: "unsent", reason: "the data centre is evacuated" });
  t.true(attempt?.isHeldBack);
  t.is(opened, 1);
  t.is(receivedBytes, 0);
});

// Guards against requests refused for want of a replica: a process that lagged took connections
// that were ready for timed out, and had no other replica.
test.serial("a connection that was ready while this process lagged is used, not timed out", async (t) => {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on(
      "data",
      () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const pool = new connections.ConnectionPool(
    { host: "127.0.0.1", port },
    { limit: 4, onOpened: () => {} },
  );
  t.teardown(() => pool.close());
  const connection = pool.acquire(false) as connections.Connection;
  const ended = new Promise<attempts.AttemptEnd>((resolve) => {
    new attempts.Attempt(pool, connection, {
      method: "GET",
      path: "/",
      headers: [],
      body: Buffer.alloc(0),
    }, { onHead: () => {}, onData: () => {}, onEnd: resolve });
  });
  // The connection has been asked for, and nothing of it is read.
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700);
  t.deepEqual(await ended, { type: "whole" });
});
