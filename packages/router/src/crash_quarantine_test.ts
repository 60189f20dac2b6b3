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

/** A request with these shared parts, and one of its own. */
function buildRequest(...sharedIds: readonly string[]) {
  return {
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

test("requests with a quarantined part are refused as not run, the others are not", async (t) => {
  const setting = createQuarantine(t);
  const { quarantine, state } = setting;
  quarantine.recordBegun(buildRequest("first", "sound"));
  crash(setting, buildRequest("first", "deadly"), [1, 2]);
  t.is(quarantine.check(buildRequest("first", "deadly")), undefined);
  crash(setting, buildRequest("first", "deadly"), [3]);
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
  crash(setting, buildRequest("company", "deadly"), [1, 2, 3, 4, 5, 6]);
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
  t.is(quarantine.size, 1);
});

test("a verdict holds while the store is down, and is stored when it is back", async (t) => {
  const setting = createQuarantine(t);
  const { quarantine, state } = setting;
  state.isStoreUp = false;
  crash(setting, buildRequest("deadly"), [1, 2, 3]);
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
  t.is(quarantine.size, 0);
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
  t.is(quarantine.size, 0);
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
    crash(setting, buildRequest(`suspect-${part}`), [1]);
  }
  const longId = "f".repeat(9_000);
  crash(setting, buildRequest(longId), [1, 2, 3]);
  t.truthy(setting.quarantine.check(buildRequest(longId)));
  t.true(
    setting.quarantine.listTallies().every(({ partId }) => partId.length <= 48),
  );
  t.true(setting.quarantine.size <= 1_024);
  t.true(setting.quarantine.listTallies().length <= 64);
});
