/** Tests that what replicas demand in their answers is kept by all entries together. */
import * as ava from "ava";
import type * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const test = ava.default.serial;
const { ROUTES, DRAFT, withHarness } = harnesses;

const ENTRIES = 3;
const CALL_INTERVAL_MS = 25;
const OBSERVED_MS = 5_500;
/** An entry must keep to a demand from this time after it has passed it on. */
const REACTION_MS = 500;
const WINDOW_MS = 4_000;
/** Requests in a window that a rate allows, as the operators count. */
function countAllowed(requestsPerS: number): number {
  return 1.5 * requestsPerS * WINDOW_MS / 1_000 + 5;
}

/** Largest number of requests that a replica received within a window. */
function findBusiestWindow(
  received: readonly fakes.ReceivedRequest[],
  fromMs: number,
): number {
  const times = received.map(({ atMs }) => atMs).filter((at) => at >= fromMs);
  return Math.max(
    0,
    ...times.map((start) =>
      times.filter((at) => at >= start && at < start + WINDOW_MS).length
    ),
  );
}

/** Starts further entries beside the harness's own; all know each other. */
async function startEntries(
  t: ava.ExecutionContext,
  harness: harnesses.PlatformHarness,
): Promise<readonly harnesses.PlatformHarness[]> {
  await harness.start();
  const entries = [harness];
  for (let at = 2; at <= ENTRIES; at += 1) {
    const entry = new harnesses.PlatformHarness(harness.store, `edge-${at}`);
    t.teardown(() => entry.router.close());
    await entry.startRouter();
    await entry.waitFor(() => entry.router.isReady);
    entries.push(entry);
  }
  for (const entry of entries) {
    await entry.waitFor(() =>
      entry.findLogLines("peer.known").length >= ENTRIES
    );
  }
  return entries;
}

/** Calls the entries in turn at a constant rate; returns the statuses of the answers. */
async function callInTurn(
  entries: readonly harnesses.PlatformHarness[],
  call: (
    entry: harnesses.PlatformHarness,
    at: number,
  ) => Promise<fakes.CallerResponse>,
  durationMs: number,
): Promise<readonly number[]> {
  const calls: Promise<fakes.CallerResponse>[] = [];
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs) {
    const at = calls.length;
    calls.push(
      call(entries[at % entries.length] as harnesses.PlatformHarness, at),
    );
    await kernel.sleep(CALL_INTERVAL_MS);
  }
  return (await Promise.all(calls)).map(({ status }) => status);
}

function answerStream(): fakes.ReplicaBehaviour {
  return { type: "stream", events: 3, confidence: 90 };
}

function callDraft(entry: harnesses.PlatformHarness, at: number) {
  const own = (0xc000 + at).toString(16);
  return entry.call(ROUTES.draft, {
    ...DRAFT,
    headers: {
      ...DRAFT.headers,
      "x-jackdawbank-attempt-id": `draft-${at}`,
      // No shared parts, so that no replica is preferred for what it has cached.
      "x-jackdawbank-prefix-hash": `a${own}:100,b${own}:400,${own}:100`,
    },
  });
}

function callCheck(entry: harnesses.PlatformHarness, at: number) {
  const headers = { "x-jackdawbank-attempt-id": `check-${at}` };
  return entry.call(ROUTES.check, { headers });
}

// Guards against LIMIT: a replica that named a rate for all entries together went on getting
// as many requests as before, since no entry read the rate.
for (
  const { kind, service, answer, call } of [
    { kind: "prompts", service: "llm", answer: answerStream, call: callDraft },
    {
      kind: "plain requests",
      service: "desk",
      answer: () => ({ type: "ok" }) as const,
      call: callCheck,
    },
  ]
) {
  test(`all entries together keep to the rate that a replica names: ${kind}`, (t) =>
    withHarness(async (harness) => {
      const limited = await harness.addReplica("i-1", service, answer);
      const other = await harness.addReplica("i-2", service, answer);
      limited.extraHeaders = { "server-limit": "1.5" };
      const entries = await startEntries(t, harness);
      const startedAtMs = performance.now();
      const statuses = await callInTurn(entries, call, OBSERVED_MS);
      t.deepEqual([...new Set(statuses)], [200]);
      const busiest = findBusiestWindow(
        limited.received,
        startedAtMs + REACTION_MS,
      );
      t.true(busiest <= countAllowed(1.5), `${busiest} requests in 4 s`);
      // Without requests nobody would learn that the rate is no longer named.
      t.true(busiest > 1, `${busiest} requests in 4 s`);
      t.true(other.received.length > 0);
      limited.extraHeaders = {};
      await callInTurn(entries, call, 2_000);
      harness.store.putReplica(
        "i-2",
        other.buildEntry(service, { state: "draining" }),
      );
      for (const entry of entries) {
        await entry.waitFor(() =>
          entry.findLogLines("replica.known").some((line) => line["isDraining"])
        );
      }
      // Each entry has noticed that the rate is no longer named.
      const last = await callInTurn(entries, call, 1_000);
      t.deepEqual([...new Set(last)], [200]);
    }));
}

const MAX_CALLS = 200;

/** Sends prompts one after the other until a condition is met. */
async function callUntil(
  entry: harnesses.PlatformHarness,
  condition: () => boolean,
): Promise<void> {
  for (let calls = 0; !condition(); calls += 1) {
    if (calls > MAX_CALLS) throw new Error("condition not met");
    await callDraft(entry, 1_000 + calls);
  }
}

/** Time for which only the other replica should be used. */
const ALONE_MS = 1_500;

// Guards against DRAIN: a replica that said in its answers that it leaves went on getting
// requests until the list of replicas said so, too.
test("a replica whose answers say that it leaves gets no further request, whatever the list says", (t) =>
  withHarness(async (harness) => {
    const leaving = await harness.addReplica("i-1", "llm", answerStream);
    const other = await harness.addReplica("i-2", "llm", answerStream);
    await harness.start();
    await callInTurn([harness], callDraft, 500);
    t.true(leaving.received.length > 0);
    leaving.extraHeaders = { "server-leaving": "1" };
    await callUntil(
      harness,
      () => harness.findLogLines("replica.demands").length > 0,
    );
    await kernel.sleep(REACTION_MS);
    const before = leaving.received.length;
    // A heartbeat, and an entry that lapses and comes back: the same process both times.
    harness.store.putReplica("i-1", leaving.buildEntry("llm", { sequence: 2 }));
    harness.store.remove("servers/i-1");
    await harness.waitFor(() =>
      harness.findLogLines("replica.gone").length > 0
    );
    harness.store.putReplica("i-1", leaving.buildEntry("llm", { sequence: 3 }));
    await harness.waitFor(() =>
      harness.findLogLines("replica.known").length >= 3
    );
    const statuses = await callInTurn([harness], callDraft, ALONE_MS);
    t.deepEqual([...new Set(statuses)], [200]);
    t.is(leaving.received.length, before);
    // A new process under the same id knows nothing of that.
    leaving.extraHeaders = {};
    harness.store.putReplica("i-1", leaving.buildEntry("llm", { born: 2 }));
    harness.store.putReplica(
      "i-2",
      other.buildEntry("llm", { state: "draining" }),
    );
    await callUntil(harness, () => leaving.received.length > before);
  }));

const PAUSE_S = 1.5;
/** Requests that may reach a replica within its pause, as the operators count. */
const MAX_WITHIN_PAUSE = 2;

// Guards against BUDGET: a replica that refused with 503 and Retry-After was only left out for
// 150 ms, and got all requests that no other replica took.
for (
  const { kind, service, call } of [
    { kind: "prompts", service: "llm", call: callDraft },
    { kind: "plain requests", service: "desk", call: callCheck },
  ]
) {
  test(`a replica that asks for a pause gets none, and callers are told for how long: ${kind}`, (t) =>
    withHarness(async (harness) => {
      const ok = () =>
        service === "llm" ? answerStream() : { type: "ok" } as const;
      const refusals: number[] = [];
      const replica = await harness.addReplica("i-1", service, () => {
        if (replica.extraHeaders["retry-after"] === undefined) return ok();
        refusals.push(performance.now());
        return { type: "not-run", status: 503 };
      });
      await harness.start();
      t.deepEqual(
        [...new Set(await callInTurn([harness], call, 300))],
        [200],
      );
      replica.extraHeaders = { "retry-after": String(PAUSE_S) };
      t.is((await call(harness, 900)).status, 503);
      replica.extraHeaders = {};
      const pausedAtMs = refusals[0] as number;
      const before = replica.received.length;
      const refused = await call(harness, 901);
      t.is(refused.status, 503);
      const retryAfterS = Number(refused.headers["retry-after"]);
      t.true(
        retryAfterS > 0.5 * PAUSE_S && retryAfterS <= PAUSE_S,
        `retry after ${retryAfterS} s`,
      );
      const leftMs = PAUSE_S * 1_000 - (performance.now() - pausedAtMs);
      const during = await callInTurn([harness], call, leftMs - 150);
      t.deepEqual([...new Set(during)], [503]);
      t.true(replica.received.length - before <= MAX_WITHIN_PAUSE);
      await kernel.sleep(300);
      t.deepEqual(
        [...new Set(await callInTurn([harness], call, 300))],
        [200],
      );
    }));
}
