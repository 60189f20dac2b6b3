/** Tests what becomes of requests on kept connections that are closed, around a stop above all. */
import * as net from "node:net";
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;

const ATTEMPT_ID = "x-jackdawbank-attempt-id";

function renderRequest(path: string, id: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: ${harnesses.HOST}\r\n` +
    `authorization: Token ${harnesses.KEY}\r\n` +
    `${ATTEMPT_ID}: ${id}\r\ncontent-length: 6\r\n\r\ncrates`;
}

function renderDraft(id: string): string {
  return renderRequest(ROUTES.draft, id).replace(
    "content-length",
    "x-jackdawbank-model: *\r\nx-jackdawbank-token-usage: 600,80\r\ncontent-length",
  );
}

/** The ids of the requests that the replica has run. */
function listRuns(replica: fakes.FakeReplica): readonly string[] {
  return replica.received.map(({ headers }) => String(headers[ATTEMPT_ID]));
}

/** The ids of the requests whose answers were received, by the bodies of these. */
function listAnswered(received: string): readonly string[] {
  return [...received.matchAll(/answer to (\w+)\./g)].map(([, id]) =>
    String(id)
  );
}

function addDesk(
  harness: harnesses.PlatformHarness,
  delayMsById: Readonly<Record<string, number>> = {},
): Promise<fakes.FakeReplica> {
  return harness.addReplica("i-1", "desk", ({ headers }) => ({
    type: "ok",
    body: `answer to ${headers[ATTEMPT_ID]}.`,
    delayMs: delayMsById[String(headers[ATTEMPT_ID])] ?? 200,
  }));
}

/** Gives all routes a time-out that is longer than the wait for a turn. */
function extendTimeouts(
  harness: harnesses.PlatformHarness,
  rest: Readonly<Record<string, unknown>> = {},
): void {
  const { routes, ...configuration } = harnesses.buildConfiguration() as {
    readonly routes: readonly Readonly<Record<string, unknown>>[];
  };
  harness.store.putConfiguration({
    ...configuration,
    routes: routes.map((route) => ({ ...route, timeoutMs: 8_000, ...rest })),
  });
}

// Guards against LOST: the answer to the first of two requests closed the connection, though the
// second one had been passed on.
for (const when of ["before", "after"] as const) {
  test(`requests in a row that were sent ${when} the signal are all answered`, (t) =>
    withHarness(async (harness) => {
      const desk = await addDesk(harness);
      extendTimeouts(harness);
      await harness.start({ graceMs: 4_000 });
      const socket = await harness.connect();
      const received = harnesses.readToEnd(socket);
      const sendAll = async () => {
        for (const id of ["one", "two", "three"]) {
          socket.write(renderRequest(ROUTES.order, id));
          await kernel.sleep(10);
        }
      };
      if (when === "before") await sendAll();
      const stopped = harness.router.stop("SIGTERM");
      if (when === "after") await sendAll();
      t.deepEqual(listAnswered(await received), ["one", "two", "three"]);
      t.is(listRuns(desk).length, 3);
      await stopped;
    }));
}

/** Connects a caller that goes on sending after the end of its connection. */
async function connectHalfOpen(
  harness: harnesses.PlatformHarness,
): Promise<net.Socket> {
  const probe = await harness.connect();
  const { remotePort, remoteAddress } = probe;
  probe.destroy();
  const socket = net.connect({
    port: Number(remotePort),
    host: String(remoteAddress),
    allowHalfOpen: true,
  });
  await new Promise((resolve) => socket.once("connect", resolve));
  return socket;
}

function readUntil(socket: net.Socket, pattern: RegExp): Promise<void> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString();
      if (pattern.test(text)) resolve();
    });
  });
}

// Guards against LOST: the head of a stream closed the connection, so that a request that came behind it
// while the process still accepted was lost with the connection.
test("a request behind a stream of a stopping process is answered", (t) =>
  withHarness(async (harness) => {
    const desk = await addDesk(harness);
    await harness.addReplica("i-2", "llm", () => ({
      type: "stream",
      events: 6,
      confidence: 100,
      eventIntervalMs: 100,
    }));
    extendTimeouts(harness);
    await harness.start({ graceMs: 4_000 });
    const stopped = harness.router.stop("SIGTERM");
    const socket = await harness.connect();
    const received = harnesses.readToEnd(socket);
    const begun = readUntil(socket, /piece 1/);
    socket.write(renderDraft("draft"));
    await begun;
    socket.write(renderRequest(ROUTES.order, "behind"));
    t.regex(
      await received,
      /piece 6[^]*\r\n0\r\n\r\nHTTP\/1\.1 200 [^]*answer to behind\.$/,
    );
    t.deepEqual(listRuns(desk), ["behind"]);
    await stopped;
  }));

// Guards against LOST: a request that came behind an answer that closes its connection was passed
// on, though it could not be answered any more.
test("a request behind an answer that closes the connection is not passed on", (t) =>
  withHarness(async (harness) => {
    const desk = await addDesk(harness, { one: 50 });
    await harness.start({ graceMs: 4_000 });
    const stopped = harness.router.stop("SIGTERM");
    const socket = await connectHalfOpen(harness);
    const received = harnesses.readToEnd(socket);
    const answered = readUntil(socket, /connection: close[^]*answer to one\./i);
    socket.write(renderRequest(ROUTES.order, "one"));
    await answered;
    socket.write(renderRequest(ROUTES.order, "behind"));
    await kernel.sleep(300);
    socket.destroy();
    t.deepEqual(listAnswered(await received), ["one"]);
    await stopped;
    t.deepEqual(listRuns(desk), ["one"]);
  }));

// Guards against LOST: a request with a body that is too large ended its connection at once, though
// the request before it had been passed on and had no answer yet.
test("an answer is written before its connection is closed because of a later request", (t) =>
  withHarness(async (harness) => {
    await addDesk(harness);
    await harness.start();
    const socket = await harness.connect();
    const received = harnesses.readToEnd(socket);
    socket.write(renderRequest(ROUTES.order, "one"));
    socket.write(
      renderRequest(ROUTES.order, "two").replace(
        "content-length: 6",
        "content-length: 99999999",
      ),
    );
    const text = await received;
    t.deepEqual(listAnswered(text), ["one"]);
    t.regex(text, /HTTP\/1\.1 413 /);
  }));

// Guards against LOST: bytes that are no request, behind one that had been passed on, closed the
// connection before its answer.
test("an answer is written though malformed bytes follow its request", (t) =>
  withHarness(async (harness) => {
    await addDesk(harness);
    await harness.start();
    const socket = await harness.connect();
    const received = harnesses.readToEnd(socket);
    socket.write(renderRequest(ROUTES.order, "one"));
    socket.write("no request\r\n\r\n");
    await kernel.sleep(50);
    socket.write("no request\r\n\r\n");
    t.deepEqual(listAnswered(await received), ["one"]);
    t.is(harness.findLogLines("request.malformed").length, 1);
  }));

// Guards against LOST: a request had arrived, but the process lagged, and closed the connection as
// idle before it read the request.
test("a request that arrives before the process accepts no more is answered though it is read late", (t) =>
  withHarness(async (harness) => {
    await addDesk(harness);
    await harness.start({ graceMs: 4_000 });
    const socket = await harness.connect();
    const received = harnesses.readToEnd(socket);
    const stopped = harness.router.stop("SIGTERM");
    await kernel.sleep(1_900);
    socket.write(renderRequest(ROUTES.order, "late"));
    // After this, timers run before sockets are read.
    setImmediate(() => {
      const endAtMs = performance.now() + 400;
      while (performance.now() < endAtMs);
    });
    t.deepEqual(listAnswered(await received), ["late"]);
    await stopped;
  }));

// Guards against MIXED: the runtime wrote the interim response to a request behind another one after
// the head of its final response, where its caller took it for a part of the body.
test("an interim response comes before the head of the final one, and after the answers before", (t) =>
  withHarness(async (harness) => {
    await addDesk(harness, { two: 50 });
    await harness.start();
    const socket = await harness.connect();
    const received = harnesses.readToEnd(socket);
    socket.write(renderRequest(ROUTES.order, "one"));
    socket.write(
      renderRequest(ROUTES.order, "two")
        .replace("content-length", "expect: 100-continue\r\ncontent-length"),
    );
    await kernel.sleep(600);
    socket.end();
    const answer = (id: string) =>
      `HTTP/1\\.1 200 OK\r\n(?:[^\r]+\r\n)+\r\nanswer to ${id}\\.`;
    const interim = "(?:HTTP/1\\.1 100 Continue\r\n\r\n)?";
    t.regex(
      await received,
      new RegExp(`^${answer("one")}${interim}${answer("two")}$`),
    );
  }));

// Guards against a caller that is never told to send its body.
test("a request that expects an interim response gets it before its body", (t) =>
  withHarness(async (harness) => {
    await addDesk(harness);
    await harness.start();
    const socket = await harness.connect();
    const begun = readUntil(socket, /^HTTP\/1\.1 100 Continue\r\n\r\n$/);
    const received = readUntil(socket, /answer to one\./);
    const [head, body] = renderRequest(ROUTES.order, "one")
      .replace("content-length", "expect: 100-continue\r\ncontent-length")
      .split("\r\n\r\n") as [string, string];
    socket.write(`${head}\r\n\r\n`);
    await begun;
    socket.write(body);
    await received;
    socket.destroy();
    t.pass();
  }));

// Guards against LOST: an answer that waited behind a longer one was taken for one that its caller
// does not read, and its connection was closed.
test("an answer that waits behind a long stream does not close the connection", (t) =>
  withHarness(async (harness) => {
    await addDesk(harness);
    await harness.addReplica("i-2", "llm", () => ({
      type: "stream",
      events: 14,
      confidence: 100,
      eventIntervalMs: 240,
    }));
    // Callers of routes with short gaps bear pauses of 2 s.
    extendTimeouts(harness, { gapTargetMs: 250 });
    await harness.start();
    const socket = await harness.connect();
    const received = harnesses.readToEnd(socket);
    socket.write(
      renderDraft("draft") + renderRequest(ROUTES.order, "behind") +
        // A refusal without reading is written at once.
        renderRequest(ROUTES.order, "refused")
          .replace("content-length: 6", "content-length: 99999999"),
    );
    const text = await received;
    t.regex(
      text,
      /piece 14[\s\S]*answer to behind\.HTTP\/1\.1 413 [^]*not_run[^]*\}$/,
    );
    t.is(harness.findLogLines("caller.cut").length, 0);
  }));

// Guards against LOST: the runtime closes the connection after a final response that no interim one
// came before, though further requests had been passed on.
test("a request behind one whose interim response was left out is answered", (t) =>
  withHarness(async (harness) => {
    await addDesk(harness, { two: 50 });
    await harness.start();
    const socket = await harness.connect();
    const answered = readUntil(socket, /answer to three\./);
    const received = harnesses.readToEnd(socket);
    socket.write(renderRequest(ROUTES.order, "one"));
    socket.write(
      renderRequest(ROUTES.order, "two")
        .replace("content-length", "expect: 100-continue\r\ncontent-length"),
    );
    socket.write(renderRequest(ROUTES.order, "three"));
    await Promise.race([answered, received]);
    socket.destroy();
    t.deepEqual(listAnswered(await received), ["one", "two", "three"]);
  }));

// Guards against LOST: a refusal said keep-alive and ended its connection; a request that crossed the
// end was passed on, and not answered.
test("a refusal that ends its connection says so, and nothing behind it is passed on", (t) =>
  withHarness(async (harness) => {
    const desk = await addDesk(harness);
    await harness.start();
    const socket = await connectHalfOpen(harness);
    const received = harnesses.readToEnd(socket);
    const refused = readUntil(socket, /HTTP\/1\.1 431 /);
    socket.write(
      renderRequest(ROUTES.order, "one").replace(
        "content-length",
        `x-long: ${"x".repeat(9_000)}\r\ncontent-length`,
      ),
    );
    await refused;
    socket.write(renderRequest(ROUTES.order, "two"));
    await kernel.sleep(300);
    socket.destroy();
    t.regex(await received, /^HTTP\/1\.1 431 [^]*\r\nconnection: close\r\n/i);
    t.deepEqual(listRuns(desk), []);
  }));
