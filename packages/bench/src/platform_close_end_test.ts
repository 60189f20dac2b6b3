/** Tests answers without length or chunks, whose end is that of their connection. */
import type * as net from "node:net";
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const { DRAFT, ROUTES, withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;

const ALL_IDS = [1, 2, 3, 4, 5, 6];
const REPLICAS = ["i-1", "i-2", "i-3"];
const ROUTE_TIMEOUT_MS = 5_000;
const CHECK_TIMEOUT_MS = 800;
/** No caller may pause for so long. */
const LONG_PAUSE_MS = 15_000;

/** Adds replicas whose streams end with their connection; returns all requests that they receive. */
async function addReplicas(
  harness: harnesses.PlatformHarness,
  behave: (
    request: fakes.ReceivedRequest,
  ) => Partial<Extract<fakes.ReplicaBehaviour, { type: "stream" }>>,
): Promise<() => readonly fakes.ReceivedRequest[]> {
  for (const id of REPLICAS) {
    await harness.addReplica(id, "llm", (request) => ({
      type: "stream",
      events: ALL_IDS.length,
      confidence: 90,
      endsByClose: true,
      ...behave(request),
    }));
  }
  return () =>
    [...harness.replicas.values()].flatMap(({ received }) => received);
}

// Guards against LOST: a whole stream without a length was taken for one that its replica broke off,
// and was cut at its end where all replicas ended theirs that way.
test("a stream that ends with its connection after an event is whole once a second replica adds none", (t) =>
  withHarness(async (harness) => {
    const listReceived = await addReplicas(harness, () => ({}));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
    t.deepEqual(
      listReceived().map(({ headers }) => headers["last-event-id"]).toSorted(),
      ["6", undefined],
    );
  }));

// Guards against ORDER: a replica that is stopped ends its connection, too, at times between two events.
test("a stream whose replica is stopped between two events goes on at another one", (t) =>
  withHarness(async (harness) => {
    const listReceived = await addReplicas(
      harness,
      ({ headers }) =>
        headers["last-event-id"] === undefined ? { events: 3 } : {},
    );
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
    t.is(listReceived().length, 3);
  }));

// Guards against LOST: the answer that was there was cut as no other replica could tell of its end.
for (
  const [what, behaviour] of [
    ["silent", { type: "hang" }],
    ["failing", { type: "failure", status: 500 }],
    ["broken", { type: "reset" }],
    ["full", { type: "not-run", status: 503 }],
  ] as const
) {
  test(`a stream that ends with its connection is whole where the other replicas are ${what}`, (t) =>
    withHarness(async (harness) => {
      for (const id of REPLICAS) {
        await harness.addReplica(
          id,
          "llm",
          ({ headers }) =>
            headers["last-event-id"] === undefined
              ? { type: "stream", events: 6, endsByClose: true, confidence: 90 }
              : behaviour,
        );
      }
      await harness.start();
      const startedAtMs = Date.now();
      const got = await harness.call(ROUTES.draft, DRAFT);
      t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
      t.false(got.isTruncated);
      t.true(Date.now() - startedAtMs < ROUTE_TIMEOUT_MS / 2);
    }));
}

// Guards against LOST: as above, in a stop; the dropped answer of the smaller model had used up a run.
test("a stream of the largest model that ends with its connection is whole in a stop", (t) =>
  withHarness(async (harness) => {
    const listReceived = await addReplicas(harness, (request) => ({
      eventIntervalMs: 100,
      confidence: harnesses.isSmallModel(request) ? 5 : 90,
    }));
    await harness.start({ graceMs: 4_000 });
    const call = harness.call(ROUTES.draft, DRAFT);
    await harness.waitFor(() => listReceived().length === 2);
    const stopped = harness.router.stop("SIGTERM");
    const got = await call;
    await stopped;
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
    t.is(listReceived().length, 3);
  }));

// Guards against LOST: as above, where an attempt may be the only one.
test("a stream that may not be resumed and ends with its connection is whole", (t) =>
  withHarness(async (harness) => {
    const configuration = harnesses.buildConfiguration();
    const routes = configuration["routes"] as Record<string, unknown>[];
    harness.store.putConfiguration({
      ...configuration,
      routes: routes.map((route) => ({ ...route, streamResume: false })),
    });
    await addReplicas(harness, () => ({}));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
  }));

// Guards against LOST: a replica that was slow to close was given up, and the empty rest of the next
// one, which had no length either, was taken for a loss with no run left.
test("a stream that is given up behind its last event is whole once a replica adds none", (t) =>
  withHarness(async (harness) => {
    const listReceived = await addReplicas(harness, (request) => ({
      confidence: harnesses.isSmallModel(request) ? 5 : 90,
      ...(request.headers["last-event-id"] === undefined
        ? { pauseAfter: { events: 6, durationMs: 2_000 } }
        : {}),
    }));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
    t.is(listReceived().length, 3);
  }));

// Guards against ORDER: a stream that its replica broke off must not be taken for a whole one.
test("a stream whose connection ends within an event goes on at another replica, or is cut", (t) =>
  withHarness(async (harness) => {
    let isBroken = true;
    const listReceived = await addReplicas(harness, (request) => {
      const isFirst = request.headers["last-event-id"] === undefined;
      return isFirst || isBroken ? { disconnectAfterEvents: 3 } : {};
    });
    await harness.start();
    const cut = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(cut.body), [1, 2, 3]);
    t.true(cut.isTruncated);
    isBroken = false;
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.false(got.isTruncated);
    t.true(listReceived().length > REPLICAS.length);
  }));

// Guards against ORDER: a replica that ends with no event has told nothing about the stream's end.
test("a stream that broke off within an event is not ended by a replica that sends nothing", (t) =>
  withHarness(async (harness) => {
    await addReplicas(
      harness,
      ({ headers }) =>
        headers["last-event-id"] === undefined
          ? { disconnectAfterEvents: 3 }
          : { events: 3 },
    );
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), [1, 2, 3]);
    t.true(got.isTruncated);
  }));

// Guards against ORDER: as above, where the caller has received nothing yet.
test("a stream that ends with its connection before any event is sent again", (t) =>
  withHarness(async (harness) => {
    let sends = 0;
    const listReceived = await addReplicas(harness, () => {
      sends += 1;
      return sends === 1 ? { events: 0 } : {};
    });
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
    t.deepEqual(
      listReceived().map(({ headers }) => headers["last-event-id"]).toSorted(),
      ["6", undefined, undefined],
    );
  }));

// Guards against LOST: a caller that resumes behind the last event got 502 in place of the empty rest.
test("the empty rest of a stream that ends with its connection reaches a caller that resumes", (t) =>
  withHarness(async (harness) => {
    await addReplicas(harness, () => ({}));
    await harness.start();
    const got = await harness.call(ROUTES.draft, {
      ...DRAFT,
      headers: { ...DRAFT.headers, "last-event-id": "6" },
    });
    t.is(got.status, 200);
    t.is(got.body, "");
    t.false(got.isTruncated);
  }));

// Guards against an answer lost to a retry: the answer to an idempotent request ended with its
// connection, and was dropped for that of another replica, which never came.
for (
  const [what, behaviour] of [
    ["silent", { type: "hang" }],
    ["failing", { type: "failure", status: 500 }],
    ["broken", { type: "reset" }],
    ["full", { type: "not-run", status: 503 }],
  ] as const
) {
  test(`an answer without a length is passed on where the other replica is ${what}`, (t) =>
    withHarness(async (harness) => {
      let sends = 0;
      for (const id of REPLICAS) {
        await harness.addReplica(id, "desk", () => {
          sends += 1;
          return sends === 1 ? { type: "unframed-truncated" } : behaviour;
        });
      }
      await harness.start();
      const startedAtMs = Date.now();
      const got = await harness.call(ROUTES.check);
      t.true(sends > 1);
      t.is(got.status, 200);
      t.is(got.body, "only part");
      t.is(got.headers["content-length"], undefined);
      t.is(got.headers["transfer-encoding"], undefined);
      t.true(Date.now() - startedAtMs < CHECK_TIMEOUT_MS);
    }));
}

// Guards against an answer lost to a retry: a replica's own failure was replaced by one of ours.
test("the failure of a replica is passed on where no other one answers", (t) =>
  withHarness(async (harness) => {
    let sends = 0;
    for (const id of REPLICAS) {
      await harness.addReplica(id, "desk", () => {
        sends += 1;
        return sends === 1
          ? { type: "failure", status: 500 }
          : { type: "reset" };
      });
    }
    await harness.start();
    const got = await harness.call(ROUTES.check);
    t.true(sends > 1);
    t.is(got.status, 500);
    t.is(got.body, "failed");
  }));

const LONG_BODY_BYTES = 8_000_000;

/** Calls for a long answer without a length, and reads none of it before `cut` has ended. */
async function readCutAnswer(
  harness: harnesses.PlatformHarness,
  cut: () => Promise<void>,
): Promise<{ readonly bytes: number; readonly wasReset: boolean }> {
  const body = "x".repeat(LONG_BODY_BYTES);
  await harness.addReplica("i-1", "desk", () => ({
    type: "raw",
    text: "HTTP/1.1 200 OK\r\nx-jackdawbank-attempt-id: ATTEMPT\r\n" +
      `x-jackdawbank-response-signature: RECEIPT\r\n\r\n${body}`,
    then: "close",
  }));
  await harness.start({ graceMs: 1_500 });
  const socket = await harness.connect();
  socket.pause();
  socket.write(
    `${fakes.renderHead(ROUTES.order)}content-length: 0\r\n\r\n`,
  );
  await harness.waitFor(() =>
    harness.findLogLines("attempt.ended").length === 1
  );
  await kernel.sleep(100);
  await cut();
  return await readAll(socket);
}

function readAll(socket: net.Socket) {
  return new Promise<{ bytes: number; wasReset: boolean }>((resolve) => {
    let bytes = 0;
    let wasReset = false;
    socket.on("data", (chunk: Buffer) => bytes += chunk.length);
    socket.on("error", () => wasReset = true);
    // The runtime reports an end if the reset comes with data; the socket has no peer then.
    socket.on("end", () => wasReset ||= socket.remoteAddress === undefined);
    socket.on("close", () => resolve({ bytes, wasReset }));
    socket.resume();
  });
}

// Guards against MIXED: an answer without a length that this process cut had an orderly end, which
// its caller takes for the end of the whole answer.
test("an answer without a length that a stop cuts is reset", (t) =>
  withHarness(async (harness) => {
    const { bytes, wasReset } = await readCutAnswer(
      harness,
      () => harness.router.stop("SIGTERM"),
    );
    t.true(bytes < LONG_BODY_BYTES);
    t.true(wasReset);
  }));

// Guards against MIXED: as above, where the caller does not read its answer for too long.
test("an answer without a length that is cut because nobody reads it is reset", (t) =>
  withHarness(async (harness) => {
    const { bytes, wasReset } = await readCutAnswer(
      harness,
      () =>
        harness.waitFor(
          () => harness.findLogLines("caller.cut").length === 1,
          LONG_PAUSE_MS,
        ),
    );
    t.true(bytes < LONG_BODY_BYTES);
    t.true(wasReset);
  }));

// Guards against MIXED: as above, for a caller of HTTP/1.0, who knows no chunks.
test("a stream to a caller without chunks is reset where it is cut", (t) =>
  withHarness(async (harness) => {
    await addReplicas(harness, () => ({ disconnectAfterEvents: 3 }));
    await harness.start();
    const socket = await harness.connect();
    const { headers, body } = DRAFT;
    const lines = Object.entries(headers).map(([name, value]) =>
      `${name}: ${value}\r\n`
    );
    socket.write(
      fakes.renderHead(ROUTES.draft, lines.join("")).replace("1.1", "1.0") +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
    const { bytes, wasReset } = await readAll(socket);
    t.true(bytes > 0);
    t.true(wasReset);
  }));

// Guards against needless retries: a success that has no body by its status was taken for one whose
// end its replica had not marked.
test("a success without a body is whole, and is not asked for again", (t) =>
  withHarness(async (harness) => {
    let sends = 0;
    for (const id of REPLICAS) {
      await harness.addReplica(id, "desk", () => {
        sends += 1;
        return {
          type: "raw",
          text:
            "HTTP/1.1 204 No Content\r\nx-jackdawbank-attempt-id: ATTEMPT\r\n" +
            "x-jackdawbank-response-signature: RECEIPT\r\n\r\n",
          then: "keep",
        };
      });
    }
    await harness.start();
    const got = await harness.call(ROUTES.check);
    t.is(got.status, 204);
    t.is(got.headers["transfer-encoding"], undefined);
    t.is(sends, 1);
  }));
