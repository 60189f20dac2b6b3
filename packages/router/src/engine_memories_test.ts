/** Tests of one process's account of the engines' memory. */
import * as ava from "ava";
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as memories from "./engine_memories.ts";
import type * as groups from "./replica_group.ts";

const test = ava.default;

const SERVICES = new Map([
  ["llm", { engine: { slots: 32, kvCacheTokens: 50_000, models: [] } }],
  ["orders", { engine: undefined }],
]) as unknown as ReadonlyMap<string, bundle.RouteTableService>;

function createMemories() {
  const created = new memories.EngineMemories({
    readPeerLoad: () => ({
      ...decisions.NO_LOAD_STATE,
      running: 3,
      heldTokens: 20_000,
    }),
  });
  created.setServices(SERVICES);
  return created;
}

function buildRequest(service: string, promptTokens: number) {
  return {
    service,
    route: { name: "chat" },
    fields: { promptTokens, expectedOutputTokens: 100 },
  };
}

function buildState(service: string) {
  return {
    key: 1,
    entry: { service },
    inFlight: 1,
    heldTokens: 10_000,
  } as unknown as groups.ReplicaState;
}

test("memory is counted over all processes, and only where engines serve", (t) => {
  const created = createMemories();
  t.is(created.readShare(buildState("llm"), 10_000), 0.8);
  t.is(created.readShare(buildState("orders"), 10_000), 0);
  t.is(created.predictTokens(buildRequest("llm", 1_000)), 1_100);
  t.is(created.predictTokens(buildRequest("orders", 0)), 0);
});

test("a prompt larger than any replica's memory is refused as not run, others are not", (t) => {
  const created = createMemories();
  const refusal = created.findRefusal(buildRequest("llm", 50_001));
  t.is(refusal?.error.kind, "overloaded");
  t.is(refusal?.retryAfterMs, undefined);
  t.is(created.findRefusal(buildRequest("llm", 50_000)), undefined);
  t.is(created.findRefusal(buildRequest("orders", 50_001)), undefined);
});

test("output beyond its estimate counts as what it is, and is given back once", (t) => {
  const created = createMemories();
  const request = buildRequest("llm", 1_000);
  for (let count = 0; count < 30; count += 1) {
    created.recordLength(request, 10);
  }
  const state = buildState("llm");
  const output = { extraTokens: 0, splitter: { count: 5 } };
  const sent = { state, heldTokens: 1_100 };
  created.recordOutput(request, sent, output);
  t.is(output.extraTokens, 0);
  output.splitter.count = 30;
  created.recordOutput(request, sent, output);
  created.recordOutput(request, sent, output);
  t.is(Math.round(output.extraTokens), 200);
  t.is(Math.round(state.heldTokens), 10_200);
});
