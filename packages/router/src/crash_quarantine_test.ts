/** Tests of the quarantine of prompt parts: verdicts, their storage, and what peers are told. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import * as neverthrow from "neverthrow";
import * as logs from "./decision_log.ts";
import * as quarantines from "./crash_quarantine.ts";
import type * as requests from "./request.ts";
import * as telemetry from "./telemetry.ts";

const test = ava.default;

function createQuarantine(t: ava.ExecutionContext) {
  const clock = new kernel.ManualClock(50_000);
  const log = new logs.DecisionLog(clock, {}, {
    write: (_text, onDone) => onDone(null),
  });
  const state = {
    clock,
    written: [] as string[],
    isStoreUp: true,
    suspicions: 0,
  };
  const quarantine = new quarantines.CrashQuarantine({
    clock,
    log,
    telemetry: new telemetry.Telemetry(),
    controlPlane: {
      writeQuarantine: (partId) => {
        if (!state.isStoreUp) {
          return Promise.resolve(kernel.fail("store-unavailable", "down"));
        }
        state.written.push(partId);
        return Promise.resolve(neverthrow.ok(undefined));
      },
    },
    random: () => 0.5,
    onSuspicion: () => state.suspicions += 1,
  });
  t.teardown(() => {
    quarantine.close();
    void log.close();
  });
  return { state, quarantine };
}

let builtRequests = 0;

/** A request like no other, with these shared parts and one of its own. */
function buildRequest(...sharedIds: readonly string[]) {
  builtRequests += 1;
  return {
    method: "POST",
    hostName: "shop.example",
    target: `/${builtRequests}`,
    body: Buffer.alloc(0),
    fields: {
      promptParts: [...sharedIds, "own"].map((id) => ({ id, tokens: 10 })),
    },
  } as unknown as requests.AdmittedRequest;
}

function crash(
  { state, quarantine }: ReturnType<typeof createQuarantine>,
  request: requests.AdmittedRequest,
  replicaKeys: readonly number[],
): void {
  for (const replicaKey of replicaKeys) {
    state.clock.advance(300);
    quarantine.recordCrash(request, { replicaKey, hadHead: true });
  }
}

/** Replicas crash on requests that have these parts in common, no two alike. */
function crashOnParts(
  setting: ReturnType<typeof createQuarantine>,
  sharedIds: readonly string[],
  replicaKeys: readonly number[],
): void {
  for (const replicaKey of replicaKeys) {
    const request = buildRequest(...sharedIds);
    crash(setting, request, [replicaKey]);
  }
}

test("requests with a quarantined part are refused as not run, the others are not", async (t) => {
  const setting = createQuarantine(t);
  const { quarantine, state } = setting;
  quarantine.recordBegun(buildRequest("first", "sound"));
  crashOnParts(setting, ["first", "deadly"], [1, 2]);
  t.is(quarantine.check(buildRequest("first", "deadly")), undefined);
  crashOnParts(setting, ["first", "deadly"], [3]);
  const refusal = quarantine.check(buildRequest("other", "deadly", "x"));
  t.is(refusal?.error.kind, "prompt-quarantined");
  t.true((refusal?.retryAfterMs ?? 0) > 0);
  t.is(quarantine.check(buildRequest("first", "sound")), undefined);
  await kernel.sleep(20);
  t.deepEqual(state.written, ["deadly"]);
});

// Guards against refusals of sound prompts: crashes still under way at the verdict condemned
// the part before the deadly one as well.
test("crashes after the verdict on requests with the quarantined part do not condemn its company", (t) => {
  const setting = createQuarantine(t);
  const { quarantine } = setting;
  crashOnParts(setting, ["company", "deadly"], [1, 2, 3, 4, 5, 6]);
  t.is(quarantine.check(buildRequest("company", "sound")), undefined);
  const nowMs = 100;
  const crashes = [7, 8, 9].map((replicaKey) => ({
    replicaKey,
    ageMs: nowMs,
    hadHead: true,
  }));
  const tallies = ["company", "deadly"].map((partId) => ({
    partId,
    crashes,
    begun: 0,
    lastBegunAgeMs: Infinity,
  }));
  quarantine.recordPeerTallies({ name: "edge-2", tallies });
  t.is(quarantine.check(buildRequest("company", "sound")), undefined);
  t.is(quarantine.countParts(), 1);
});

test("a verdict holds while the store is down, and is stored when it is back", async (t) => {
  const setting = createQuarantine(t);
  const { quarantine, state } = setting;
  state.isStoreUp = false;
  crashOnParts(setting, ["deadly"], [1, 2, 3]);
  await kernel.sleep(20);
  t.truthy(quarantine.check(buildRequest("deadly")));
  t.deepEqual(state.written, []);
  state.isStoreUp = true;
  await kernel.sleep(1_100);
  t.deepEqual(state.written, ["deadly"]);
});

test("a stored verdict is applied, not stored again, and lifted when it expires", async (t) => {
  const { quarantine, state } = createQuarantine(t);
  quarantine.applyStored("deadly");
  t.truthy(quarantine.check(buildRequest("deadly")));
  await kernel.sleep(20);
  t.deepEqual(state.written, []);
  quarantine.lift("deadly");
  t.is(quarantine.check(buildRequest("deadly")), undefined);
  quarantine.applyStored("other");
  state.clock.advance(quarantines.QUARANTINE_MS + 1);
  t.is(quarantine.check(buildRequest("other")), undefined);
  t.is(quarantine.countParts(), 0);
});

test("peers' crashes lead to a verdict, which is left to them to store", async (t) => {
  const { quarantine, state } = createQuarantine(t);
  const buildMessage = (name: string, replicaKey: number) =>
    ({
      name,
      tallies: [{
        partId: "deadly",
        crashes: [{ replicaKey, ageMs: 200, hadHead: true }],
        begun: 0,
        lastBegunAgeMs: Infinity,
      }],
    }) satisfies peers.PromptMessage;
  quarantine.recordPeerTallies(buildMessage("edge-2", 1));
  quarantine.recordPeerTallies(buildMessage("edge-3", 2));
  t.is(quarantine.countParts(), 0);
  quarantine.recordPeerTallies(buildMessage("edge-4", 3));
  t.truthy(quarantine.check(buildRequest("deadly")));
  await kernel.sleep(20);
  t.deepEqual(state.written, []);
});

test("a process answers a suspicion with the answers that began there, and only then", (t) => {
  const { quarantine, state } = createQuarantine(t);
  const tallies = ["hot", "unknown"].map((partId) => ({
    partId,
    crashes: [{ replicaKey: 1, ageMs: 10, hadHead: true }],
    begun: 0,
    lastBegunAgeMs: Infinity,
  }));
  quarantine.recordBegun(buildRequest("hot"));
  quarantine.recordPeerTallies({ name: "edge-2", tallies });
  t.is(state.suspicions, 1);
  t.deepEqual(quarantine.listTallies().map(({ partId }) => partId), ["hot"]);
  quarantine.recordPeerTallies({ name: "edge-3", tallies });
  t.is(state.suspicions, 1);
});

test("callers cannot grow the tables without bound", (t) => {
  const setting = createQuarantine(t);
  for (let part = 0; part < 1_200; part += 1) {
    setting.quarantine.applyStored(`part-${part}`);
    crashOnParts(setting, [`suspect-${part}`], [1]);
  }
  const longId = "f".repeat(9_000);
  crashOnParts(setting, [longId], [1, 2, 3]);
  t.truthy(setting.quarantine.check(buildRequest(longId)));
  t.true(
    setting.quarantine.listTallies().every(({ partId }) => partId.length <= 48),
  );
  t.true(setting.quarantine.countParts() <= 1_024);
  t.true(setting.quarantine.listTallies().length <= 64);
});

function readRequestTallies(quarantine: quarantines.CrashQuarantine) {
  return quarantine.listTallies().filter(({ partId }) =>
    partId.startsWith("request-")
  );
}

test("a request without shared parts is refused after three crashes, and no other one", async (t) => {
  const setting = createQuarantine(t);
  const { quarantine, state } = setting;
  const request = buildRequest();
  crash(setting, request, [1, 2]);
  t.is(quarantine.check(request), undefined);
  crash(setting, request, [3]);
  const refusal = quarantine.check(request);
  t.is(refusal?.error.kind, "request-quarantined");
  t.true((refusal?.retryAfterMs ?? 0) > 0);
  t.is(quarantine.check(buildRequest()), undefined);
  t.is(quarantine.countRequests(), 1);
  t.is(quarantine.countParts(), 0);
  await kernel.sleep(20);
  t.is(state.written.length, 1);
});

// Guards against BUDGET: each of several processes sees one crash of a request that comes to any of them.
test("crashes of a request that each process saw once are pooled", (t) => {
  const settings = [1, 2, 3].map(() => createQuarantine(t));
  const request = buildRequest();
  for (const [at, setting] of settings.entries()) {
    crash(setting, request, [at]);
    t.is(setting.state.suspicions, 1);
  }
  const [first, ...others] = settings.map(({ quarantine }) => quarantine);
  for (const [at, other] of others.entries()) {
    const tallies = readRequestTallies(other);
    t.is(tallies.length, 1);
    first?.recordPeerTallies({ name: `edge-${at}`, tallies });
  }
  t.truthy(first?.check(request));
});

test("an answer clears a request of the crashes before it, here or at a peer", (t) => {
  const setting = createQuarantine(t);
  const peer = createQuarantine(t);
  const request = buildRequest();
  crash(setting, request, [1, 2]);
  setting.quarantine.recordBegun(request);
  crash(setting, request, [3]);
  t.is(setting.quarantine.check(request), undefined);
  peer.state.clock.advance(10_000);
  peer.quarantine.recordBegun(request);
  const { quarantine } = setting;
  peer.quarantine.recordPeerTallies({
    name: "edge-1",
    tallies: readRequestTallies(quarantine),
  });
  quarantine.recordPeerTallies({
    name: "edge-2",
    tallies: readRequestTallies(peer.quarantine),
  });
  crash(setting, request, [4, 5]);
  t.is(quarantine.check(request), undefined);
});

// Guards against refusals of sound requests: one that was only near the crashes is tried again soon.
test("a request is tried again after its quarantine, and refused for longer if it crashes another replica", (t) => {
  const setting = createQuarantine(t);
  const { quarantine, state } = setting;
  const request = buildRequest();
  crash(setting, request, [1, 2, 3]);
  state.clock.advance(quarantines.FIRST_REQUEST_QUARANTINE_MS + 1);
  t.is(quarantine.check(request), undefined);
  crash(setting, request, [4]);
  t.truthy(quarantine.check(request));
  state.clock.advance(quarantines.FIRST_REQUEST_QUARANTINE_MS + 1);
  t.truthy(quarantine.check(request));
  state.clock.advance(quarantines.FIRST_REQUEST_QUARANTINE_MS);
  t.is(quarantine.check(request), undefined);
  quarantine.recordBegun(request);
  state.clock.advance(60_000);
  crash(setting, request, [5]);
  t.is(quarantine.check(request), undefined);
});

// Guards against refusals of sound prompts: one request that came again and again condemned the parts
// that it shares with others.
test("parts of a request on which replicas crash are to blame only if others crash on them", (t) => {
  const setting = createQuarantine(t);
  const { quarantine } = setting;
  const request = buildRequest("first", "second");
  crash(setting, request, [1, 2, 3, 4]);
  t.is(quarantine.check(request)?.error.kind, "request-quarantined");
  t.is(quarantine.check(buildRequest("first", "second")), undefined);
  crashOnParts(setting, ["first", "second"], [5]);
  t.is(
    quarantine.check(buildRequest("first", "second"))?.error.kind,
    "prompt-quarantined",
  );
});

test("a peer that hears of a request's crashes does not blame its parts", (t) => {
  const setting = createQuarantine(t);
  const peer = createQuarantine(t);
  const request = buildRequest("first", "second");
  crash(setting, request, [1, 2, 3]);
  const tallies = setting.quarantine.listTallies();
  t.true(tallies.length > 1);
  peer.quarantine.recordPeerTallies({ name: "edge-1", tallies });
  t.truthy(peer.quarantine.check(request));
  t.is(peer.quarantine.check(buildRequest("first", "second")), undefined);
});

test("a request that crashes a replica again after its quarantine is refused at peers, too", (t) => {
  const setting = createQuarantine(t);
  const peer = createQuarantine(t);
  const request = buildRequest();
  crash(setting, request, [1, 2, 3]);
  const tell = () =>
    peer.quarantine.recordPeerTallies({
      name: "edge-1",
      tallies: setting.quarantine.listTallies(),
    });
  tell();
  for (const { state } of [setting, peer]) {
    state.clock.advance(quarantines.FIRST_REQUEST_QUARANTINE_MS + 1_000);
  }
  t.is(peer.quarantine.check(request), undefined);
  t.is(setting.quarantine.check(request), undefined);
  tell();
  t.is(peer.quarantine.check(request), undefined);
  crash(setting, request, [4]);
  tell();
  t.truthy(peer.quarantine.check(request));
});

// Guards against BUDGET: a crash ends many requests at once, and only so many are told to peers.
test("peers are told first of the request that was lost in most crashes", (t) => {
  const setting = createQuarantine(t);
  const request = buildRequest();
  crash(setting, request, [1, 2]);
  for (let other = 0; other < 20; other += 1) {
    crash(setting, buildRequest("shared", `part-${other}`), [3]);
  }
  const told = setting.quarantine.listTallies().slice(-8);
  t.true(told.some(({ crashes }) => crashes.length === 2));
  t.true(readRequestTallies(setting.quarantine).length <= 4);
});

// Guards against refusals of sound requests: an answer that clears one was not told among many crashes.
test("peers are told of an answer to a request that they suspect, also after many crashes", (t) => {
  const setting = createQuarantine(t);
  const { quarantine } = setting;
  const request = buildRequest();
  quarantine.recordBegun(request);
  const peer = createQuarantine(t);
  crash(peer, request, [1]);
  quarantine.recordPeerTallies({
    name: "edge-2",
    tallies: readRequestTallies(peer.quarantine),
  });
  for (let other = 0; other < 20; other += 1) {
    crash(setting, buildRequest(), [2]);
  }
  const told = quarantine.listTallies().slice(-8);
  t.true(told.some(({ begun, crashes }) => begun > 0 && crashes.length === 0));
});
