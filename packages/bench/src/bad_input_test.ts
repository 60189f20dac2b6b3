/** Bad input of every kind: a clear error, nothing lost, no process ends. */
import * as net from "node:net";
import * as crypto from "node:crypto";
import * as ava from "ava";
import * as bundle from "@jackdawbank/bundle";
import * as mesh from "@jackdawbank/mesh";
import * as undici from "undici";
import * as ws from "ws";
import * as deployments from "./deployment.ts";
import * as fixtures from "./fixture.ts";
import * as processes from "./processes.ts";

const test = ava.default;

const CHAT_PATH = "/v1/chat/completions";

function assertAlive(
  t: ava.ExecutionContext,
  deployment: deployments.Deployment,
): void {
  for (const entry of deployment.entries.values()) t.true(entry.isRunning);
  for (const upstream of deployment.upstreams.values()) {
    t.true(upstream.process.isRunning);
  }
}

test("callers' bad input is answered by its kind, and nothing is run", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const caller = fixtures.callFor(t, deployment);
  const stranger = fixtures.callFor(t, deployment, { key: "nobody" });
  const narrow = fixtures.callFor(t, deployment, {
    key: deployments.ACCOUNT_KEYS.narrow,
  });
  const send = (body: string, headers = {}) =>
    caller.send("POST", CHAT_PATH, { body, headers });
  const good = JSON.stringify({
    model: "verse-small",
    messages: [{ role: "user", content: "x" }],
  });
  const cases = [
    [await send("{not json"), 400, "bad-request"],
    [
      await send(JSON.stringify({ model: 7, messages: "none" })),
      400,
      "bad-request",
    ],
    [await send(good, { "x-jackdaw-deadline-ms": "soon" }), 400, "bad-request"],
    [
      await send(good, { "x-jackdaw-session": "jds1.forged.token" }),
      400,
      "bad-request",
    ],
    [
      await send(good, { "idempotency-key": "k".repeat(300) }),
      400,
      "bad-request",
    ],
    [await send(`"${"x".repeat(1_100_000)}"`), 413, "body-too-large"],
    [await stranger.chat({ model: "verse-small" }), 401, "unauthenticated"],
    [await narrow.chat({ model: "verse-large" }), 403, "model-not-allowed"],
    [await narrow.chat({ model: "verse" }), 403, "model-not-allowed"],
    [await caller.chat({ model: "no-such-model" }), 404, "unknown-model"],
    [await caller.send("GET", "/services/none/x"), 404, "unknown-service"],
    [await narrow.placeOrder("order-1"), 403, "service-not-allowed"],
    [await caller.send("GET", "/nowhere"), 404, "not-found"],
  ] as const;
  for (const [result, status, kind] of cases) {
    t.is(result.status, status);
    t.is(result.errorKind, kind);
    t.is(result.notRun, true);
  }
  const flood = Object.fromEntries(
    Array.from({ length: 40 }, (_, at) => [`x-flood-${at}`, "y".repeat(1_000)]),
  );
  t.is((await send(good, flood)).status, 431);
  t.is((await deployment.listEngineRuns()).length, 0);
  t.is((await caller.chat({ model: "verse-small" })).status, 200);
  assertAlive(t, deployment);
});

test("a body over the limit is refused before it is read whole", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const { port } = new URL(deployment.entryUrl("entry-a"));
  const socket = net.connect(Number(port), "127.0.0.1");
  t.teardown(() => {
    socket.destroy();
  });
  const answer = new Promise<string>((resolve) =>
    socket.once("data", (data) => resolve(String(data)))
  );
  socket.write(
    `POST ${CHAT_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n{"begin":`,
  );
  t.regex(await answer, /^HTTP\/1\.1 413 /);
});

interface SocketEnd {
  readonly socket: ws.WebSocket;
  readonly closed: Promise<number>;
}

function openMesh(deployment: deployments.Deployment): SocketEnd {
  const port = deployment.upstream("model-a").process.port("meshPort");
  const socket = new ws.WebSocket(`ws://127.0.0.1:${port}/`);
  socket.on("error", () => {});
  const closed = new Promise<number>((resolve) =>
    socket.once("close", resolve)
  );
  return { socket, closed };
}

function waitMessage(socket: ws.WebSocket): Promise<mesh.Frame | undefined> {
  return new Promise((resolve) => {
    socket.once(
      "message",
      (data) => resolve(mesh.decodeFrame(mesh.toBytes(data))),
    );
  });
}

async function greet(
  end: SocketEnd,
  secret: string,
): Promise<mesh.Frame | undefined> {
  const challenge = await waitMessage(end.socket);
  if (challenge?.type !== "challenge") throw new Error("no challenge");
  const nonce = mesh.createNonce();
  const processId = "stranger";
  const proof = mesh.computeProof({
    secret,
    side: "client",
    clientNonce: nonce,
    serverNonce: challenge.nonce,
    processId,
  });
  const reply = Promise.race([
    waitMessage(end.socket),
    end.closed.then(() => undefined),
  ]);
  end.socket.send(mesh.encodeFrame({
    type: "hello",
    protocol: mesh.PROTOCOL_VERSION,
    processId,
    incarnation: "stranger-1",
    dataCentre: "bkk-a",
    nonce,
    proof,
  }));
  return await reply;
}

test("mesh peers without the secret, and malformed or oversized frames, are cut off", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const stranger = openMesh(deployment);
  t.is(await greet(stranger, "another secret, just as long"), undefined);
  t.is(await stranger.closed, 1008);

  const malformed = openMesh(deployment);
  t.is((await greet(malformed, deployment.meshSecret))?.type, "welcome");
  malformed.socket.send(Buffer.from([0xc1, 0xff, 0x00]));
  t.is(await malformed.closed, 1008);

  const wrong = openMesh(deployment);
  await greet(wrong, deployment.meshSecret);
  wrong.socket.send(Buffer.from(JSON.stringify({ type: "work" })));
  t.is(await wrong.closed, 1008);

  const oversized = openMesh(deployment);
  await greet(oversized, deployment.meshSecret);
  oversized.socket.send(Buffer.alloc(mesh.MAX_FRAME_BYTES + 1));
  t.is(await oversized.closed, 1009);

  const caller = fixtures.callFor(t, deployment);
  t.is((await caller.chat({ model: "verse-small" })).status, 200);
  assertAlive(t, deployment);
});

async function offer(
  deployment: deployments.Deployment,
  data: unknown,
): Promise<{ readonly status: number; readonly kind: string | undefined }> {
  const port = deployment.entry("entry-a").port("adminPort");
  const response = await undici.request(`http://127.0.0.1:${port}/bundle`, {
    method: "POST",
    body: JSON.stringify(data),
  });
  const body = await response.body.json().catch(() => ({})) as {
    error?: { kind: string };
  };
  return { status: response.statusCode, kind: body.error?.kind };
}

test("bad bundles are refused and the one in force stays", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  const first = deployment.sign(deployment.plan.bundle);
  const second = await deployment.buildNextBundle((content) => ({
    ...content,
    comment: "second",
  }));
  (await deployment.roll(second))._unsafeUnwrap();
  await deployment.waitForRevision(2);
  const third = await deployment.buildNextBundle((content) => content);
  const signed = deployment.sign(third);
  const tampered = {
    ...signed,
    payload: signed.payload.replace("counter", "coumter"),
  };
  t.deepEqual(await offer(deployment, tampered), {
    status: 422,
    kind: "bundle-unsigned",
  });
  const other = crypto.generateKeyPairSync("ed25519").privateKey;
  const unknown = bundle.signBundle(third, other);
  t.deepEqual(await offer(deployment, unknown), {
    status: 422,
    kind: "bundle-unsigned",
  });
  t.deepEqual(await offer(deployment, first), {
    status: 409,
    kind: "bundle-stale",
  });
  t.deepEqual(await offer(deployment, "nonsense"), {
    status: 422,
    kind: "bundle-invalid",
  });
  const huge = { ...signed, payload: "x".repeat(bundle.MAX_BUNDLE_BYTES + 1) };
  t.deepEqual(await offer(deployment, huge), {
    status: 422,
    kind: "bundle-invalid",
  });
  const far = { ...signed, payload: "x".repeat(bundle.MAX_BUNDLE_BYTES * 2) };
  t.is((await offer(deployment, far)).status, 413);
  const unchecked = {
    ...third,
    models: [{ ...third.models[0], name: "Bad Name" }],
  };
  const invalid = deployment.sign(unchecked as unknown as bundle.Bundle);
  t.deepEqual(await offer(deployment, invalid), {
    status: 422,
    kind: "bundle-invalid",
  });
  t.is(await deployment.readRevision("entry-a"), 2);
  t.is(await deployment.readRevision("model-a"), 2);
  assertAlive(t, deployment);
});

test("a store that answers nonsense changes nothing, and is used again when it recovers", async (t) => {
  const deployment = await fixtures.startFor(t, fixtures.buildSmallPlan());
  await deployment.setStoreFaults({ mode: "nonsense" });
  const caller = fixtures.callFor(t, deployment);
  t.is((await caller.chat({ model: "verse-small" })).status, 200);
  const next = await deployment.buildNextBundle((content) => content).catch(
    () => undefined,
  );
  t.is(next, undefined);
  await deployment.setStoreFaults({ mode: "up" });
  (await deployment.roll(
    await deployment.buildNextBundle((content) => content),
  ))
    ._unsafeUnwrap();
  t.true(await deployment.waitForRevision(2) < 15_000);
  assertAlive(t, deployment);
});

test("faults in the settings are all reported at once, with exit code 2", async (t) => {
  const output = await processes.runProgram("jackdawd", [
    "entry",
    "--process-id",
    "bad id",
    "--listen",
    "nowhere",
    "--store",
    "ftp://x",
    "--mesh-secret",
    "short",
  ]);
  t.is(output.code, 2);
  const flags = [
    "--process-id",
    "--listen",
    "--store",
    "--mesh-secret",
    "--signers",
    "--vm-list",
  ];
  for (const flag of flags) t.true(output.stderr.includes(flag), flag);
  t.false(output.stderr.includes("short"));
});
