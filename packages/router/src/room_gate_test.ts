/** Tests of the hold of prompts in one process: what ends it, and what passes at once. */
import * as ava from "ava";
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as requests from "./request.ts";
import * as gates from "./room_gate.ts";

const test = ava.default;

const ROUTES = [
  { name: "chat", targetLatencyMs: 1_500, priority: 0 },
  { name: "summary", targetLatencyMs: 4_000, priority: 1 },
].map((route) => ({ ...route, targets: [{ service: "llm", weight: 1 }] }));

function createGate() {
  const clock = new kernel.ManualClock(1_000);
  const state = {
    clock,
    backlogMs: 0,
    speedFactor: 1,
    memory: {
      heldTokens: 0,
      runningRequests: 0,
      capacityTokens: undefined,
    } as decisions.EngineMemory,
    hasEngine: true,
    isStopping: false,
    isRefused: false,
    questions: 0,
    random: 0.5,
    /** Keys whose owner answers. */
    keys: [7] as readonly number[],
    /** Keys whose owners answer to one question after the other. */
    batches: [] as readonly (readonly number[])[],
    /** What this process has at replicas, by key. */
    ownMs: new Map<number, number>(),
    gauges: new Map<string, number>(),
    events: [] as string[],
    logged: [] as Record<string, unknown>[],
    onSleep: (_durationMs: number): void => {},
  };
  const createReplica = (key: number) => ({
    key,
    pendingMs: state.ownMs.get(key) ?? 0,
    inFlight: 0,
    entry: { slots: 8 },
  });
  const index = () => ({
    table: { routes: ROUTES, accounts: [] },
    serviceByName: new Map([["llm", {
      engine: state.hasEngine ? {} : undefined,
    }]]),
  } as unknown as bundle.RouteIndex);
  const gate = new gates.RoomGate({
    clock,
    log: { addRoutine: (_event, fields) => state.logged.push({ ...fields }) },
    telemetry: {
      countEvent: (event) => state.events.push(event),
      observeRoomWait: () => {},
      setGauge: (name, value) => state.gauges.set(name, value),
    },
    table: {
      find: createReplica,
      listActive: () => state.keys.map(createReplica),
      speeds: { readFactor: () => state.speedFactor },
      memories: { read: () => state.memory },
    } as unknown as gates.RoomGateOptions["table"],
    fleet: {
      readLoad: () => ({
        ...decisions.NO_LOAD_STATE,
        pendingMs: state.backlogMs,
      }),
    },
    random: () => state.random,
    getRouteIndex: index,
    isStopping: () => state.isStopping,
    sleep: (durationMs) => {
      clock.advance(durationMs);
      state.onSleep(durationMs);
      return Promise.resolve();
    },
  });
  const enter = (
    routeIndex: number,
    options: {
      readonly prefillMs: number;
      readonly hasBeenSent?: boolean;
      readonly deadlineMs?: number;
      readonly signal?: AbortSignal;
    },
  ) => {
    const nowMs = clock.monotonicMs();
    const request = {
      requestId: "r1",
      route: ROUTES[routeIndex],
      service: "llm",
      fields: { promptTokens: 1_000 },
      receivedAtMs: nowMs,
      deadlineAtMs: nowMs + (options.deadlineMs ?? 25_000),
      signal: options.signal ?? new AbortController().signal,
    } as unknown as requests.AdmittedRequest;
    return gate.enter(request, {
      hasBeenSent: options.hasBeenSent ?? false,
      prefillMs: options.prefillMs,
      neededTokens: 1_000,
      queryLoads: (askedKeys) => {
        const batch = state.batches.find((keys) =>
          keys.every((key) => !askedKeys.has(key))
        );
        const keys = batch ??
          state.keys.filter((key) => !askedKeys.has(key));
        state.questions += keys.length;
        return Promise.resolve(new Set(keys));
      },
      isRefused: () => state.isRefused,
    });
  };
  return { state, enter };
}

/** Makes prompts of 100 ms the ordinary ones. */
async function learnMean(enter: ReturnType<typeof createGate>["enter"]) {
  for (let count = 0; count < 50; count += 1) {
    await enter(0, { prefillMs: 100, hasBeenSent: true });
  }
}

test("a long prompt waits for the backlog to fall, and a short one passes it", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  state.backlogMs = 900;
  state.onSleep = (durationMs) => {
    t.is(state.gauges.get("room_waiting"), 1);
    state.backlogMs = Math.max(0, state.backlogMs - durationMs);
  };
  const startedAtMs = state.clock.monotonicMs();
  await enter(1, { prefillMs: 800 });
  const heldMs = state.clock.monotonicMs() - startedAtMs;
  t.true(heldMs >= 500 && heldMs <= 900, `${heldMs}`);
  t.is(state.gauges.get("room_waiting"), 0);
  t.is(state.logged.length, 1);
  t.like(state.logged[0], { requestId: "r1", reason: "above-ceiling" });
  state.backlogMs = 900;
  state.onSleep = () => t.fail("a short prompt was held");
  await enter(0, { prefillMs: 15 });
});

test("a prompt is held for a bounded time and with few questions", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  state.backlogMs = 6_000;
  const startedAtMs = state.clock.monotonicMs();
  state.questions = 0;
  await enter(1, { prefillMs: 800 });
  const heldMs = state.clock.monotonicMs() - startedAtMs;
  t.true(heldMs <= 3_000, `${heldMs}`);
  t.true(state.questions <= 1 + heldMs / 150, `${state.questions}`);
});

test("escalations, calm services and silent owners pass at once", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  state.onSleep = () => t.fail("a request was held");
  state.backlogMs = 900;
  await enter(1, { prefillMs: 800, hasBeenSent: true });
  state.keys = [];
  t.deepEqual(await enter(1, { prefillMs: 800 }), { keys: new Set() });
  state.keys = [7];
  state.backlogMs = 50;
  await enter(1, { prefillMs: 800 });
  state.backlogMs = 900;
  state.isStopping = true;
  await enter(1, { prefillMs: 800 });
  const plain = createGate();
  plain.state.hasEngine = false;
  plain.state.backlogMs = 900;
  plain.state.onSleep = () => t.fail("a request without an engine was held");
  await plain.enter(1, { prefillMs: 800 });
});

test("a hold ends when the request is refused or the process stops", async (t) => {
  for (const reason of ["isRefused", "isStopping"] as const) {
    const { state, enter } = createGate();
    await learnMean(enter);
    state.backlogMs = 900;
    let sleeps = 0;
    state.onSleep = () => {
      sleeps += 1;
      state[reason] = true;
    };
    await enter(1, { prefillMs: 800 });
    t.is(sleeps, 1);
    t.is(state.gauges.get("room_waiting"), 0);
  }
});

test("a request that cannot begin before its deadline is refused at once", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  state.onSleep = () => t.fail("a hopeless request was held");
  state.backlogMs = 8_000;
  const { refusal } = await enter(1, { prefillMs: 800, deadlineMs: 6_000 });
  t.is(refusal?.error.kind, "overloaded");
  t.true((refusal?.retryAfterMs ?? 0) > 500);
  t.true((refusal?.retryAfterMs ?? Infinity) <= 2_000);
  t.deepEqual(state.events, ["room.refused.rank-1"]);
  // It has run before, so it must not be told that it has not.
  const again = await enter(1, {
    prefillMs: 800,
    deadlineMs: 6_000,
    hasBeenSent: true,
  });
  t.is(again.refusal, undefined);
});

test("a crowd that is refused does not come back at once, nor at one moment", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  state.backlogMs = 8_000;
  const delaysMs: number[] = [];
  for (let caller = 0; caller < 20; caller += 1) {
    state.random = caller / 20;
    const { refusal } = await enter(0, { prefillMs: 15, deadlineMs: 6_000 });
    delaysMs.push(refusal?.retryAfterMs ?? 0);
  }
  t.true(Math.min(...delaysMs) >= 1_000);
  t.true(Math.max(...delaysMs) <= 2_000);
  for (const delayMs of delaysMs) {
    const near = delaysMs.filter((other) => Math.abs(other - delayMs) < 100);
    t.true(near.length <= 4);
  }
});

test("a held request learns within a moment that its caller has left", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  state.backlogMs = 3_000;
  const abort = new AbortController();
  let slept = 0;
  state.onSleep = (durationMs) => {
    slept += durationMs;
    abort.abort();
    state.isRefused = true;
  };
  await enter(1, { prefillMs: 800, signal: abort.signal });
  t.true(slept <= 250);
});

test("more candidates are asked while the known ones have a long backlog", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  state.batches = [[1, 2, 3], [4, 5, 6], [7, 8, 9], [10, 11, 12]];
  for (let key = 1; key <= 3; key += 1) state.ownMs.set(key, 900);
  const { keys } = await enter(0, { prefillMs: 15 });
  t.deepEqual([...keys], [1, 2, 3, 4, 5, 6]);
  for (let key = 1; key <= 12; key += 1) state.ownMs.set(key, 900);
  t.is((await enter(0, { prefillMs: 15 })).keys.size, 9);
});

test("in a fleet of many replicas as many questions are asked as in a small one", async (t) => {
  const { state, enter } = createGate();
  state.backlogMs = 400;
  state.batches = [[1, 2, 3], [4, 5, 6], [7, 8, 9]];
  state.keys = Array.from({ length: 600 }, (_, key) => key);
  const { keys } = await enter(0, { prefillMs: 20 });
  t.deepEqual([...keys], [1, 2, 3, 4, 5, 6, 7, 8, 9]);
});

test("the backlog of a slow replica counts by the time that it takes there", async (t) => {
  const { state, enter } = createGate();
  state.batches = [[1, 2, 3], [4, 5, 6]];
  for (let key = 1; key <= 3; key += 1) state.ownMs.set(key, 100);
  t.is((await enter(0, { prefillMs: 15 })).keys.size, 3);
  state.speedFactor = 3;
  t.is((await enter(0, { prefillMs: 15 })).keys.size, 6);
});

test("where the memory of engines is short, it counts like slots", async (t) => {
  const { state, enter } = createGate();
  await learnMean(enter);
  const held = { heldTokens: 40_000, runningRequests: 20 };
  state.memory = { ...held, capacityTokens: 50_000 };
  state.questions = 0;
  await enter(1, { prefillMs: 800 });
  t.is(state.questions, 1);
  // Two requests of mean size more than fit, and then room again.
  state.memory = { ...held, capacityTokens: 37_000 };
  state.onSleep = () => {
    state.memory = { ...held, capacityTokens: 50_000 };
  };
  await enter(1, { prefillMs: 800 });
  t.is(state.logged.at(-1)?.["sentAs"], "no-shortage");
  t.is(state.logged.at(-1)?.["reason"], "above-ceiling");
});
