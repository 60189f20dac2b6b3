import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as colds from "./cold_replicas.ts";
import * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as queries from "./query_choice.ts";

const test = ava.default;

const START_MS = 1_000_000;
const SERVICES = new Map([["llm", {
  name: "llm",
  maxConnections: 100,
  engine: undefined,
  coldStart: { durationMs: 3_000, requestsPerS: 8.9 },
}]]);

function buildEntry(
  overrides: Partial<ports.ReplicaEntry> = {},
): ports.ReplicaEntry {
  return {
    id: "r1",
    service: "llm",
    address: { host: "127.0.0.1", port: 9 },
    dataCentre: "a",
    version: "v1",
    slots: 32,
    isDraining: false,
    coldForMs: 0,
    startedAtMs: START_MS - 60_000,
    ...overrides,
  };
}

function createColdReplicas(
  t: ava.ExecutionContext,
  { hasBound }: { readonly hasBound: boolean } = { hasBound: true },
) {
  const clock = new kernel.ManualClock(START_MS);
  const found: number[] = [];
  let text = "";
  const state = { hasView: false };
  const log = new logs.DecisionLog(clock, {}, {
    write: (part, onDone) => {
      text += part;
      onDone(null);
    },
  });
  const cold = new colds.ColdReplicas({
    clock,
    log,
    bound: hasBound ? { factor: 1.5, extraRequests: 5 } : undefined,
    hasView: () => state.hasView,
    recordCold: (_key, remainingMs) => found.push(remainingMs),
    isCold: () => false,
  });
  const readLog = () => {
    log.flush();
    return text;
  };
  t.teardown(async () => {
    cold.close();
    await log.close();
  });
  return { cold, found, readLog, state };
}

test("an entry that turns cold is recorded and logged with its evidence", (t) => {
  const { cold, found, readLog, state } = createColdReplicas(t);
  cold.setServices(SERVICES);
  cold.put(buildEntry());
  state.hasView = true;
  t.deepEqual(found, []);
  cold.put(buildEntry({ coldForMs: 2_000 }));
  cold.put(buildEntry({ coldForMs: 2_000, isDraining: true }));
  t.deepEqual(found, [2_000]);
  t.true(readLog().includes('"replica.cold"'));
  const key = decisions.hashText("r1");
  t.is(cold.findLimit(key)?.requestsPerS, 8.9);
});

test("an entry that was removed and comes back states its remaining time anew", (t) => {
  const { cold, found } = createColdReplicas(t);
  cold.setServices(SERVICES);
  const entry = buildEntry({ coldForMs: 2_000 });
  cold.put(entry);
  cold.remove(entry.id);
  cold.put(entry);
  t.is(found.length, 2);
});

test("an entry that came before its service is judged when the service is known", (t) => {
  const { cold, found } = createColdReplicas(t);
  cold.put(buildEntry({ startedAtMs: START_MS - 1_000 }));
  t.is(found.length, 0);
  cold.setServices(SERVICES);
  t.deepEqual(found, [2_500]);
});

test("without a bound, and for services without a rate, nothing is cold", (t) => {
  const entry = buildEntry({ coldForMs: 2_000 });
  const unbounded = createColdReplicas(t, { hasBound: false });
  unbounded.cold.setServices(SERVICES);
  unbounded.cold.put(entry);
  t.deepEqual(unbounded.found, []);
  const { cold, found } = createColdReplicas(t);
  cold.setServices(
    new Map([["llm", {
      name: "llm",
      maxConnections: 100,
      engine: undefined,
      coldStart: undefined,
    }]]),
  );
  cold.put(entry);
  t.deepEqual(found, []);
  t.is(cold.findLimit(decisions.hashText("r1")), undefined);
});

test("one replica with a rate is asked about, besides others that can take the request", (t) => {
  const choose = (from: readonly string[]) => from.slice(0, 3);
  const hasRate = (id: string) => id.startsWith("cold");
  const limit = (ids: readonly string[]) =>
    queries.limitRatedCandidates(ids, { choose, hasRate });
  t.deepEqual(limit(["cold1", "cold2", "cold3", "a", "b", "c"]), [
    "cold1",
    "a",
    "b",
  ]);
  t.deepEqual(limit(["cold1", "a", "cold2"]), ["cold1", "a"]);
  t.deepEqual(limit(["a", "cold1", "b", "cold2"]), ["a", "cold1", "b"]);
  t.deepEqual(limit(["cold1", "cold2"]), ["cold1", "cold2"]);
});
