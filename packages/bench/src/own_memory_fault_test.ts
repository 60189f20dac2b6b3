/**
 * Tests that callers who keep to no limit do not end an entry or an upstream
 * process on our own interfaces: callers' HTTP API, admin listener, mesh listener.
 * The crowds are small, as the limits in the processes' settings are.
 */
import * as crypto from "node:crypto";
import * as ava from "ava";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as crowds from "./crowd.ts";
import * as memory from "./memory_harness.ts";
import * as usages from "./process_usage.ts";
import type * as processes from "./processes.ts";

const { KB, MB } = memory;
// Serial, because each test measures the memory of a process under load.
const test = ava.default.serial;

const MEMORY_MB = 200;
const MAX_BODY_BYTES = MB;
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
/** Largest frame that the mesh accepts. */
const MAX_FRAME_BYTES = 4 * MB;
const CHAT_PATH = "/v1/chat/completions";

function renderHead(path: string, rest: string): string {
  return `POST ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\n` +
    `authorization: Bearer ${deployments.ACCOUNT_KEYS.counter}\r\n` +
    `content-type: application/json\r\n${rest}`;
}

/** Sends a crowd to one port of a process, then checks the process and an ordinary request. */
async function runCrowd(
  t: ava.ExecutionContext,
  options: {
    readonly fileDescriptors?: number;
    readonly choose: (
      deployment: deployments.Deployment,
    ) => {
      readonly process: processes.TestProcess;
      readonly portName: string;
    };
    readonly send: (crowd: crowds.Crowd) => Promise<void>;
  },
): Promise<void> {
  const { fileDescriptors = 700, choose, send } = options;
  process.env["JACKDAW_MEMORY_MB"] = String(MEMORY_MB);
  process.env["JACKDAW_FILE_DESCRIPTORS"] = String(fileDescriptors);
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  const caller = fixtures.createCaller(t, deployment);
  const target = choose(deployment);
  const usage = new usages.ProcessUsage(target.process.pid);
  const crowd = new crowds.Crowd(target.process.port(target.portName));
  try {
    await send(crowd);
    await memory.settle();
    t.true(target.process.isRunning, target.process.log.slice(-5).join("; "));
    const ordinary = await caller.chat({ model: "verse-small" });
    t.is(ordinary.status, 200, JSON.stringify(ordinary).slice(0, 300));
    t.log(`peak: ${usage.peakMb} MB, ${usage.peakDescriptors} descriptors`);
    t.true(usage.peakMb <= MEMORY_MB, `peak of ${usage.peakMb} MB`);
    t.true(
      usage.peakDescriptors <= fileDescriptors,
      `peak of ${usage.peakDescriptors} descriptors`,
    );
    const largest = JSON.stringify({
      model: "verse-small",
      messages: [{ role: "user", content: "x".repeat(MAX_BODY_BYTES - KB) }],
    });
    const got = await caller.send("POST", CHAT_PATH, { body: largest });
    t.is(got.status, 200);
    t.true(target.process.isRunning, target.process.log.slice(-5).join("; "));
  } finally {
    crowd.close();
    usage.close();
  }
}

const chooseEntry = (deployment: deployments.Deployment) => ({
  process: deployment.entry("entry-a"),
  portName: "port",
});
const chooseAdmin = (deployment: deployments.Deployment) => ({
  process: deployment.entry("entry-a"),
  portName: "adminPort",
});
const chooseMesh = (deployment: deployments.Deployment) => ({
  process: deployment.upstream("model-a").process,
  portName: "meshPort",
});

test("entry: bodies in chunks of one byte that stop short of their end", (t) =>
  runCrowd(t, {
    choose: chooseEntry,
    send: (crowd) =>
      crowd.send(30, [
        renderHead(CHAT_PATH, CHUNKED),
        memory.renderChunks(100 * KB, 1),
      ]),
  }));

test("entry: bodies in large chunks that stop short of their end", (t) =>
  runCrowd(t, {
    choose: chooseEntry,
    send: (crowd) =>
      crowd.send(200, [
        renderHead(CHAT_PATH, CHUNKED),
        memory.renderChunks(15, 64 * KB),
      ]),
  }));

test("entry: bodies far over the limit, announced or just sent", (t) =>
  runCrowd(t, {
    choose: chooseEntry,
    send: async (crowd) => {
      const parts = Array.from(
        { length: 6 },
        () => memory.renderChunks(16, 64 * KB),
      );
      const length = `content-length: ${50 * MAX_BODY_BYTES}\r\n\r\n`;
      await Promise.all([
        crowd.send(60, [renderHead(CHAT_PATH, CHUNKED), ...parts]),
        crowd.send(60, [renderHead(CHAT_PATH, length), ...parts]),
      ]);
    },
  }));

test("entry: connections that are idle or stop within a head", (t) =>
  runCrowd(t, {
    fileDescriptors: 400,
    choose: chooseEntry,
    send: async (crowd) => {
      await crowd.send(250, []);
      await crowd.send(250, [
        renderHead(CHAT_PATH, `x-long: ${"x".repeat(6 * KB)}`),
      ]);
    },
  }));

test("entry: requests in a row whose answers nobody reads", (t) =>
  runCrowd(t, {
    choose: chooseEntry,
    send: async (crowd) => {
      const request = renderHead(
        "/nowhere",
        `x-long: ${"x".repeat(6 * KB)}\r\ncontent-length: 0\r\n\r\n`,
      );
      await crowd.send(100, [request.repeat(400)], { readsAnswers: false });
    },
  }));

/** The shortest request that a listener takes for one. */
const BARE_REQUEST = "GET / HTTP/1.1\r\n\r\n";
const REQUEST_WITHOUT_KEY = "GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n";

/** Sends requests ahead of their answers, which one half of the crowd reads. */
async function sendAhead(crowd: crowds.Crowd, request: string): Promise<void> {
  const parts = [request.repeat(10_000)];
  await Promise.all([
    crowd.send(50, parts),
    crowd.send(50, parts, { readsAnswers: false }),
  ]);
}

test("entry: requests sent ahead without any header", (t) =>
  runCrowd(t, {
    choose: chooseEntry,
    send: (crowd) => sendAhead(crowd, BARE_REQUEST),
  }));

test("entry: requests sent ahead without a key", (t) =>
  runCrowd(t, {
    choose: chooseEntry,
    send: (crowd) => sendAhead(crowd, REQUEST_WITHOUT_KEY),
  }));

test("admin: requests sent ahead without a key", (t) =>
  runCrowd(t, {
    choose: chooseAdmin,
    send: (crowd) => sendAhead(crowd, REQUEST_WITHOUT_KEY),
  }));

test("mesh: requests sent ahead without any header", (t) =>
  runCrowd(t, {
    choose: chooseMesh,
    send: (crowd) => sendAhead(crowd, BARE_REQUEST),
  }));

test("mesh: requests sent ahead with a host", (t) =>
  runCrowd(t, {
    choose: chooseMesh,
    send: (crowd) => sendAhead(crowd, REQUEST_WITHOUT_KEY),
  }));

test("admin: bodies in large chunks that stop short of their end", (t) =>
  runCrowd(t, {
    choose: chooseAdmin,
    send: (crowd) =>
      crowd.send(200, [
        renderHead("/bundle", CHUNKED),
        memory.renderChunks(15, 64 * KB),
      ]),
  }));

test("mesh: frames of strangers that stop short of their end", (t) =>
  runCrowd(t, {
    choose: chooseMesh,
    send: async (crowd) => {
      const head = "GET / HTTP/1.1\r\nhost: 127.0.0.1\r\n" +
        "connection: Upgrade\r\nupgrade: websocket\r\n" +
        "sec-websocket-version: 13\r\n" +
        `sec-websocket-key: ${crypto.randomBytes(16).toString("base64")}` +
        "\r\n\r\n";
      // A masked binary frame with a length of 64 bits.
      const frame = Buffer.alloc(14 + MAX_FRAME_BYTES - KB);
      frame.writeUInt8(0x82, 0);
      frame.writeUInt8(0xff, 1);
      frame.writeBigUInt64BE(BigInt(MAX_FRAME_BYTES), 2);
      await crowd.send(80, [head, frame]);
    },
  }));

test("mesh: connections that are idle or stop within a head", (t) =>
  runCrowd(t, {
    fileDescriptors: 400,
    choose: chooseMesh,
    send: async (crowd) => {
      await crowd.send(250, []);
      await crowd.send(250, [
        `GET / HTTP/1.1\r\nx-long: ${"x".repeat(6 * KB)}`,
      ]);
    },
  }));
