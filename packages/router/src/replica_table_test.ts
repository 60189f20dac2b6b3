import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import type * as groups from "./replica_group.ts";
import * as replicas from "./replica_table.ts";

const NO_PREFERENCE = { target: undefined, prefersTarget: false, banned: [] };

function createTable(): replicas.ReplicaTable {
  return new replicas.ReplicaTable({
    dataCentre: "a",
    prefixReuseWindowMs: 10_000,
    random: () => 0.5,
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
    readPeerLoad: () => decisions.NO_LOAD_STATE,
    onLoadChanged: () => {},
  });
}

function buildEntry(
  id: string,
  overrides: Partial<groups.ReplicaState["entry"]> = {},
) {
  return {
    id,
    service: "llm",
    address: { host: "127.0.0.1", port: 9 },
    dataCentre: "a",
    version: "v1",
    slots: 32,
    isDraining: false,
    coldForMs: 0,
    startedAtMs: 1,
    ...overrides,
  };
}

function buildRequest(
  overrides: Partial<groups.PlacementRequest> = {},
): groups.PlacementRequest {
  return {
    service: "llm",
    model: "small",
    promptTokens: 1_000,
    prefillMsPerToken: 0.025,
    answerMs: 0,
    neededTokens: 0,
    parts: [],
    excluded: new Set(),
    needsNewConnection: false,
    versionPreference: NO_PREFERENCE,
    reserved: 0,
    bodyBytes: 0,
    nowMs: 0,
    ...overrides,
  };
}

ava.default(
  "the connection limit follows the service's limit when that arrives after the replica",
  (t) => {
    const table = createTable();
    table.put(buildEntry("r1"));
    table.setServices(
      new Map([["llm", {
        name: "llm",
        maxConnections: 230,
        coldStart: undefined,
        engine: undefined,
      }]]),
    );
    const taken = Array.from({ length: 30 }, () => {
      const pick = table.pick(buildRequest());
      return pick?.state.pool.acquire(false);
    });
    t.true(taken.every((connection) => connection !== undefined));
    table.close();
  },
);

ava.default(
  "a restart under the same ID resets the replica's health",
  (t) => {
    const table = createTable();
    table.put(buildEntry("r1"));
    const first = table.pick(buildRequest())?.state;
    first?.health.recordNoAnswer(0);
    first?.health.recordNoAnswer(0);
    t.true(first?.health.isEjected(1));
    table.put(buildEntry("r1", { startedAtMs: 2 }));
    const second = table.pick(buildRequest())?.state;
    t.not(second, first);
    t.false(second?.health.isEjected(1));
    table.close();
  },
);

ava.default(
  "requests with a shared prefix go to the replica that has it cached, per model",
  (t) => {
    const table = createTable();
    for (const id of ["r1", "r2", "r3", "r4"]) table.put(buildEntry(id));
    const parts = [{ id: "a", tokens: 500 }, { id: "b", tokens: 4_000 }, {
      id: "own",
      tokens: 200,
    }];
    const request = buildRequest({ promptTokens: 4_700, parts });
    const first = table.pick(request);
    if (first === undefined) return t.fail();
    table.recordPrefill(first.state, {
      model: "small",
      parts,
      prefillMs: 100,
      nowMs: 0,
    });
    const again = table.pick({ ...request, nowMs: 100 });
    t.is(again?.state, first.state);
    t.is(again?.cachedTokens, 4_700);
    const other = table.pick({ ...request, model: "large", nowMs: 100 });
    t.is(other?.cachedTokens, 0);
    table.close();
  },
);

ava.default(
  "a banned version gets no requests, even if no other replica is left",
  (t) => {
    const table = createTable();
    table.put(buildEntry("r1", { version: "v2" }));
    const versionPreference = {
      target: "v2",
      prefersTarget: false,
      banned: ["v2"],
    };
    t.is(table.pick(buildRequest({ versionPreference })), undefined);
    t.not(table.pick(buildRequest()), undefined);
    table.close();
  },
);

ava.default("a draining replica gets no requests", (t) => {
  const table = createTable();
  table.put(buildEntry("r1", { isDraining: true }));
  t.is(table.pick(buildRequest()), undefined);
  table.close();
});

// Guards against DRAIN: after an outage, a replica whose entry was missing was used like the others.
ava.default(
  "a doubtful replica is used only if most of its service are doubtful",
  (t) => {
    const table = createTable();
    for (const id of ["r1", "r2", "r3", "r4"]) table.put(buildEntry(id));
    const listIds = () => table.listActive("llm").map(({ entry }) => entry.id);
    table.markDoubtful("r1");
    t.deepEqual(listIds(), ["r2", "r3", "r4"]);
    table.markDoubtful("r2");
    t.deepEqual(listIds(), ["r3", "r4"]);
    table.markDoubtful("r3");
    t.deepEqual(listIds(), ["r1", "r2", "r3", "r4"]);
    table.put(buildEntry("r3"));
    t.deepEqual(listIds(), ["r3", "r4"]);
  },
);

// Load: requests that are held back from a data centre, whose replicas alone run their session's
// version, or are alone available or free.
ava.default(
  "a request is held back only from replicas that others can stand in for",
  (t) => {
    const table = createTable();
    table.put(buildEntry("r1", { dataCentre: "a", slots: 1 }));
    table.put(buildEntry("r2", { dataCentre: "b", version: "v2" }));
    table.put(buildEntry("r3", { dataCentre: "c" }));
    const heldBackDataCentres = new Set(["b", "c"]);
    const pick = (overrides: Partial<groups.PlacementRequest> = {}) =>
      table.pick(buildRequest({ heldBackDataCentres, ...overrides }))?.state;
    const first = pick();
    t.is(first?.entry.id, "r1");
    const versionPreference = {
      target: "v2",
      prefersTarget: true,
      banned: [],
    };
    t.is(pick({ versionPreference })?.entry.id, "r2");
    t.is(pick({ excluded: new Set(["r1", "r2"]) })?.entry.id, "r3");
    if (first !== undefined) {
      table.recordSent(first, { prefillMs: 0, heldTokens: 0 });
    }
    t.not(pick()?.entry.id, "r1");
    table.close();
  },
);
