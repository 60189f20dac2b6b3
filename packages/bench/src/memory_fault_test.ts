/**
 * Tests that callers who keep to no limit do not end an entry by its memory or
 * descriptors. The crowds are small, as the machine's limits are.
 */
import * as ava from "ava";
import * as memory from "./memory_harness.ts";

const { KB, MB, MAX_BODY_BYTES, ROUTES, withSmallMachine } = memory;
// Serial, because each test measures the memory of a process under load.
const test = ava.default.serial;

const LIMITS: memory.MachineLimits = { memoryMb: 200, fileDescriptors: 700 };
/** Most that a replica holds here at one time of the requests that it never answers. */
const MAX_HELD_BY_REPLICA_BYTES = 12 * MB;
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

test("bodies in chunks of one byte that stop short of their end do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    await machine.crowd.send(30, [
      memory.renderHead(ROUTES.order, CHUNKED),
      memory.renderChunks(100 * KB, 1),
    ]);
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));

test("bodies in large chunks that stop short of their end do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    await machine.crowd.send(200, [
      memory.renderHead(ROUTES.order, CHUNKED),
      memory.renderChunks(15, 64 * KB),
    ]);
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));

test("bodies of an announced length that stop short of it do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    await machine.crowd.send(200, [
      memory.renderHead(
        ROUTES.order,
        `content-length: ${MAX_BODY_BYTES}\r\n\r\n`,
      ),
      Buffer.alloc(MAX_BODY_BYTES - KB, "x"),
    ]);
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));

test("bodies far over the limit, announced or just sent, do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    const parts = Array.from(
      { length: 6 },
      () => memory.renderChunks(16, 64 * KB),
    );
    await Promise.all([
      machine.crowd.send(60, [
        memory.renderHead(ROUTES.order, CHUNKED),
        ...parts,
      ]),
      machine.crowd.send(60, [
        memory.renderHead(
          ROUTES.order,
          `content-length: ${50 * MAX_BODY_BYTES}\r\n\r\n`,
        ),
        ...parts,
      ]),
    ]);
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));

test("connections that are idle or stop within a head leave an entry its other descriptors", async (t) => {
  const limits = { ...LIMITS, fileDescriptors: 400 };
  await withSmallMachine(limits, async (machine) => {
    const head = memory.renderHead(ROUTES.order);
    await machine.crowd.send(250, []);
    await machine.crowd.send(250, [`${head}x-long: ${"x".repeat(6 * KB)}`]);
    await memory.assertWithinLimits(t, machine, limits);
    t.is(await machine.callLargest(), 200);
  });
});

test("callers that read no answer do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    const body = "x".repeat(6 * MB);
    machine.desk.answer = ({ path }) =>
      path === ROUTES.open ? { type: "ok", body } : { type: "ok" };
    await machine.crowd.send(80, [
      memory.renderHead(ROUTES.open, "content-length: 0\r\n\r\n"),
    ], { readsAnswers: false });
    await machine.waitForRequests(machine.desk, 80);
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));

test("callers that send many requests on a connection and read no answer do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    const body = "x".repeat(256 * KB);
    machine.desk.answer = ({ path }) =>
      path === ROUTES.open ? { type: "ok", body } : { type: "ok" };
    const request = memory.renderHead(
      ROUTES.open,
      "content-length: 0\r\n\r\n",
    );
    await machine.crowd.send(60, [request.repeat(40)], { readsAnswers: false });
    await machine.waitForRequests(machine.desk, 2_400);
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));

test("requests in a row behind one that is not answered do not end an entry", async (t) => {
  const limits = { ...LIMITS, fileDescriptors: 2_000, replicaSlots: 2_400 };
  await withSmallMachine(limits, async (machine) => {
    machine.desk.answer = ({ path }) =>
      path === ROUTES.order ? { type: "hang" } : { type: "ok" };
    const first = memory.renderHead(
      ROUTES.order,
      "content-length: 0\r\n\r\n",
    );
    const next = memory.renderHead(
      ROUTES.check,
      `x-long: ${"x".repeat(6 * KB)}\r\ncontent-length: 0\r\n\r\n`,
    );
    await machine.crowd.send(300, [first, next.repeat(31)]);
    await memory.settle();
    machine.crowd.close();
    machine.desk.answer = () => ({ type: "ok" });
    await machine.waitUntilServing();
    await memory.assertWithinLimits(t, machine, limits);
    t.is(await machine.callLargest(), 200);
  });
});

test("callers that read no event of a stream do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    machine.engine.answer = () => ({
      type: "stream",
      events: 60,
      eventBytes: 128 * KB,
      confidence: 90,
    });
    const draft = memory.renderHead(
      ROUTES.draft,
      "x-jackdawbank-model: small\r\nx-jackdawbank-token-usage: 60,80\r\n" +
        "content-length: 0\r\n\r\n",
    );
    await machine.crowd.send(80, [draft], { readsAnswers: false });
    await machine.waitForRequests(machine.engine, 80);
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));

test("a replica that keeps its requests gets no more of them than a bound in bytes", async (t) => {
  const limits = { ...LIMITS, hasReplicaMemoryLimit: true };
  await withSmallMachine(limits, async (machine) => {
    machine.desk.answer = ({ path }) =>
      path === ROUTES.order ? { type: "hang" } : { type: "ok" };
    await machine.crowd.send(60, [
      memory.renderHead(
        ROUTES.order,
        `content-length: ${MAX_BODY_BYTES}\r\n\r\n`,
      ),
      Buffer.alloc(MAX_BODY_BYTES, "x"),
    ]);
    await machine.waitForRequests(machine.desk, Infinity);
    await memory.assertWithinLimits(t, machine, limits);
    const { peakHeldBytes } = machine;
    t.log(`held by the replica: ${peakHeldBytes} bytes`);
    t.true(peakHeldBytes > 0);
    t.true(peakHeldBytes <= MAX_HELD_BY_REPLICA_BYTES);
  });
});

test("connections to the metrics and the readiness address leave an entry its other descriptors", async (t) => {
  const limits = { ...LIMITS, fileDescriptors: 400 };
  await withSmallMachine(limits, async (machine) => {
    for (const crowd of [machine.metricsCrowd, machine.readinessCrowd]) {
      await crowd.send(150, []);
      await crowd.send(150, [
        `GET / HTTP/1.1\r\nx-long: ${"x".repeat(6 * KB)}`,
      ]);
    }
    await memory.settle();
    await memory.assertWithinLimits(t, machine, limits);
    t.is(await machine.callLargest(), 200);
  });
});

test("metrics that nobody reads do not end an entry", (t) =>
  withSmallMachine(LIMITS, async (machine) => {
    const request = `GET ${memory.METRICS_PATH} HTTP/1.1\r\nhost: a\r\n\r\n`;
    await machine.metricsCrowd.send(150, [request.repeat(200)], {
      readsAnswers: false,
    });
    await memory.settle();
    await memory.assertWithinLimits(t, machine, LIMITS);
    t.is(await machine.callLargest(), 200);
  }));
