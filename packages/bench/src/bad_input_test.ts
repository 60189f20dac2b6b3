/** Tests that bad input of any kind gets a clear error, changes nothing and ends no process. */
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

function assertAllRunning(
  t: ava.ExecutionContext,
  deployment: deployments.Deployment,
): void {
  for (const entry of deployment.entries.values()) t.true(entry.isRunning);
  for (const upstream of deployment.upstreams.values()) {
    t.true(upstream.process.isRunning);
  }
}

test("callers' bad requests are refused with the right error kind and not run", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  const caller = fixtures.createCaller(t, deployment);
  const unknownCaller = fixtures.createCaller(t, deployment, { key: "nobody" });
  const narrowCaller = fixtures.createCaller(t, deployment, {
    key: deployments.ACCOUNT_KEYS.narrow,
  });
  const send = (body: string, headers = {}) =>
    caller.send("POST", CHAT_PATH, { body, headers });
  const validBody = JSON.stringify({
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
    [
      await send(validBody, { "x-jackdaw-deadline-ms": "soon" }),
      400,
      "bad-request",
    ],
    [
      await send(validBody, { "x-jackdaw-session": "jds1.forged.token" }),
      400,
      "bad-request",
    ],
    [
      await send(validBody, { "idempotency-key": "k".repeat(300) }),
      400,
      "bad-request",
    ],
    [await send(`"${"x".repeat(1_100_000)}"`), 413, "body-too-large"],
    [
      await unknownCaller.chat({ model: "verse-small" }),
      401,
      "unauthenticated",
    ],
    [
      await narrowCaller.chat({ model: "verse-large" }),
      403,
      "model-not-allowed",
    ],
    [await narrowCaller.chat({ model: "verse" }), 403, "model-not-allowed"],
    [await caller.chat({ model: "no-such-model" }), 404, "unknown-model"],
    [await caller.send("GET", "/services/none/x"), 404, "unknown-service"],
    [await narrowCaller.placeOrder("order-1"), 403, "service-not-allowed"],
    [await caller.send("GET", "/nowhere"), 404, "not-found"],
  ] as const;
  for (const [result, status, kind] of cases) {
    t.is(result.status, status);
    t.is(result.errorKind, kind);
    t.is(result.notRun, true);
  }
  const oversizedHeaders = Object.fromEntries(
    Array.from(
      { length: 40 },
      (_, index) => [`x-flood-${index}`, "y".repeat(1_000)],
    ),
  );
  t.is((await send(validBody, oversizedHeaders)).status, 431);
  t.is((await deployment.listEngineRuns()).length, 0);
  t.is((await caller.chat({ model: "verse-small" })).status, 200);
  assertAllRunning(t, deployment);
});

test("a body over the size limit is refused before all of it is read", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
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

interface MeshSocket {
  readonly socket: ws.WebSocket;
  readonly closed: Promise<number>;
}

function openMeshSocket(deployment: deployments.Deployment): MeshSocket {
  const port = deployment.upstream("model-a").process.port("meshPort");
  const socket = new ws.WebSocket(`ws://127.0.0.1:${port}/`);
  socket.on("error", () => {});
  const closed = new Promise<number>((resolve) =>
    socket.once("close", resolve)
  );
  return { socket, closed };
}

function waitForFrame(socket: ws.WebSocket): Promise<mesh.Frame | undefined> {
  return new Promise((resolve) => {
    socket.once(
      "message",
      (data) => resolve(mesh.decodeFrame(mesh.toBytes(data))),
    );
  });
}

async function performHandshake(
  peer: MeshSocket,
  secret: string,
): Promise<mesh.Frame | undefined> {
  const challenge = await waitForFrame(peer.socket);
  if (challenge?.type !== "challenge") throw new Error("no challenge frame");
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
    waitForFrame(peer.socket),
    peer.closed.then(() => undefined),
  ]);
  peer.socket.send(mesh.encodeFrame({
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

test("mesh connections without the secret, or with malformed or oversized frames, are closed", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  const unauthenticated = openMeshSocket(deployment);
  t.is(
    await performHandshake(unauthenticated, "another secret, just as long"),
    undefined,
  );
  t.is(await unauthenticated.closed, 1008);

  const malformed = openMeshSocket(deployment);
  t.is(
    (await performHandshake(malformed, deployment.meshSecret))?.type,
    "welcome",
  );
  malformed.socket.send(Buffer.from([0xc1, 0xff, 0x00]));
  t.is(await malformed.closed, 1008);

  const wrongEncoding = openMeshSocket(deployment);
  await performHandshake(wrongEncoding, deployment.meshSecret);
  wrongEncoding.socket.send(Buffer.from(JSON.stringify({ type: "work" })));
  t.is(await wrongEncoding.closed, 1008);

  const oversized = openMeshSocket(deployment);
  await performHandshake(oversized, deployment.meshSecret);
  oversized.socket.send(Buffer.alloc(mesh.MAX_FRAME_BYTES + 1));
  t.is(await oversized.closed, 1009);

  const caller = fixtures.createCaller(t, deployment);
  t.is((await caller.chat({ model: "verse-small" })).status, 200);
  assertAllRunning(t, deployment);
});

async function offerBundle(
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

test("bad bundles are refused and the active one stays in force", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
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
  t.deepEqual(await offerBundle(deployment, tampered), {
    status: 422,
    kind: "bundle-unsigned",
  });
  const unknownPrivateKey = crypto.generateKeyPairSync("ed25519").privateKey;
  const signedByUnknownKey = bundle.signBundle(third, unknownPrivateKey);
  t.deepEqual(await offerBundle(deployment, signedByUnknownKey), {
    status: 422,
    kind: "bundle-unsigned",
  });
  t.deepEqual(await offerBundle(deployment, first), {
    status: 409,
    kind: "bundle-stale",
  });
  t.deepEqual(await offerBundle(deployment, "nonsense"), {
    status: 422,
    kind: "bundle-invalid",
  });
  const oversizedPayload = {
    ...signed,
    payload: "x".repeat(bundle.MAX_BUNDLE_BYTES + 1),
  };
  t.deepEqual(await offerBundle(deployment, oversizedPayload), {
    status: 422,
    kind: "bundle-invalid",
  });
  const oversizedBody = {
    ...signed,
    payload: "x".repeat(bundle.MAX_BUNDLE_BYTES * 2),
  };
  t.is((await offerBundle(deployment, oversizedBody)).status, 413);
  const bundleWithBadName = {
    ...third,
    models: [{ ...third.models[0], name: "Bad Name" }],
  };
  const invalid = deployment.sign(
    bundleWithBadName as unknown as bundle.Bundle,
  );
  t.deepEqual(await offerBundle(deployment, invalid), {
    status: 422,
    kind: "bundle-invalid",
  });
  t.is(await deployment.readRevision("entry-a"), 2);
  t.is(await deployment.readRevision("model-a"), 2);
  assertAllRunning(t, deployment);
});

test("a store with invalid replies changes nothing, and is used again after it recovers", async (t) => {
  const deployment = await fixtures.deploy(t, fixtures.buildSmallPlan());
  await deployment.setStoreFaults({ mode: "nonsense" });
  const caller = fixtures.createCaller(t, deployment);
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
  assertAllRunning(t, deployment);
});

test("all errors in the settings are reported together, with exit code 2", async (t) => {
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
