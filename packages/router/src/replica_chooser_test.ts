import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import type * as groups from "./replica_group.ts";
import * as replicas from "./replica_table.ts";

const test = ava.default;
const SERVICE = "llm";
const ANY_VERSION = { target: undefined, prefersTarget: false, banned: [] };

function createFleet(count: number, seed = 1) {
  const generator = xoroshiro.xoroshiro128plus(seed);
  const state = { loadReads: 0, evacuated: new Set<string>() };
  const table = new replicas.ReplicaTable({
    dataCentre: "a",
    prefixReuseWindowMs: 10_000,
    random: () => float64.uniformFloat64(generator),
    onConnectionOpened: () => {},
    rates: {
      readRate: () => undefined,
      listRated: () => [],
      findWaitMs: () => 0,
      reset: () => {},
    },
    bodies: {
      maxBodyBytes: 1_048_576,
      readBodies: () => undefined,
      buildSilentAccount: () => ({ type: "silent", processes: 1, rank: 0 }),
    },
    isEvacuated: (dataCentre) => state.evacuated.has(dataCentre),
    readPeerLoad: () => {
      state.loadReads += 1;
      return decisions.NO_LOAD_STATE;
    },
    onLoadChanged: () => {},
  });
  const put = (at: number, isDraining = false) =>
    table.put({
      id: `r${at}`,
      service: SERVICE,
      address: { host: "127.0.0.1", port: 9 },
      dataCentre: at % 2 === 0 ? "a" : "b",
      version: at % 500 === 0 ? "v2" : "v1",
      slots: 32,
      isDraining,
      coldForMs: 0,
      startedAtMs: 1,
    });
  for (let at = 0; at < count; at += 1) put(at);
  return { table, state, put };
}

function buildRequest(
  overrides: Partial<groups.PlacementRequest> = {},
): groups.PlacementRequest {
  return {
    service: SERVICE,
    model: "small",
    promptTokens: 1_000,
    bodyBytes: 0,
    prefillMsPerToken: 0.025,
    answerMs: 0,
    neededTokens: 0,
    parts: [{ id: "shared", tokens: 800 }, { id: "own", tokens: 200 }],
    excluded: new Set(),
    needsNewConnection: false,
    versionPreference: ANY_VERSION,
    reserved: 0,
    nowMs: 0,
    ...overrides,
  };
}

// Load: prompts in a fleet of which each process knows thousands of replicas.
test("a choice among 3,000 replicas reads no more loads than one among 300", (t) => {
  const counts = [300, 3_000].map((count) => {
    const { table, state } = createFleet(count);
    const queriedKeys = new Set(table.listQueryKeys(buildRequest()));
    t.is(queriedKeys.size, 3);
    table.pick(buildRequest({ queriedKeys }));
    table.pick(buildRequest());
    table.close();
    return state.loadReads;
  });
  t.true(Math.max(...counts) <= 200, `${counts}`);
});

test("processes that know thousands of replicas ask the same two for a prompt's prefix", (t) => {
  const asked = [1, 2, 3].map((seed) => {
    const { table } = createFleet(3_000, seed);
    const keys = table.listQueryKeys(buildRequest());
    table.close();
    return keys;
  });
  const [first = [], ...others] = asked;
  const shared = first.filter((key) =>
    others.every((keys) => keys.includes(key))
  );
  t.true(shared.length >= 2, `${asked.join(" | ")}`);
});

test("among thousands of replicas, the few of a wanted version and the only usable one are found", (t) => {
  const { table } = createFleet(3_000);
  const versionPreference = { target: "v2", prefersTarget: true, banned: [] };
  const pick = table.pick(buildRequest({ versionPreference }));
  t.is(pick?.state.entry.version, "v2");
  const states = table.listActive(SERVICE);
  const excluded = new Set(states.slice(1).map(({ entry }) => entry.id));
  t.is(table.pick(buildRequest({ excluded }))?.state, states[0]);
  table.close();
});

test("entries that drain, leave or are evacuated are not chosen from then on", (t) => {
  const { table, state, put } = createFleet(200);
  const isChosen = (id: string) =>
    table.listActive(SERVICE).some(({ entry }) => entry.id === id);
  t.true(isChosen("r0") && isChosen("r1") && isChosen("r2"));
  table.remove("r0");
  put(2, true);
  state.evacuated.add("b");
  t.false(isChosen("r0") || isChosen("r1") || isChosen("r2"));
  t.is(table.pick(buildRequest())?.state.entry.dataCentre, "a");
  state.evacuated.clear();
  put(2);
  t.true(isChosen("r1") && isChosen("r2"));
  table.close();
});
