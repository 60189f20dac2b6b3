/**
 * Tests that no idempotency key runs more than once. A simulation of a few
 * processes and a store, driven by random numbers, produces lost and late replies,
 * writes that take effect after the process has given them up, pauses between
 * grant and run, restarts, and snapshots that remove segments.
 */
import * as ava from "ava";
import * as fc from "fast-check";
import type * as types from "./claim_types.ts";
import * as claims from "./claims.ts";

const test = ava.default;

const RETENTION_MS = 1_000_000;
const ANSWER: types.StoredAnswer = {
  status: 201,
  contentType: "text/plain",
  body: undefined,
};

type StoreEffect = Extract<
  types.ClaimEffect,
  { type: "read" | "read-snapshot" | "create" | "store-snapshot" }
>;

/** In-memory store of one partition's segments and snapshot. */
class SegmentStore {
  readonly segments = new Map<number, types.ClaimSegment>();
  snapshot: types.ClaimSnapshot | undefined;
  snapshotVersion = 0;

  /** Executes a call other than the replacement of the snapshot. */
  answer(
    effect: Exclude<StoreEffect, { type: "store-snapshot" }>,
  ): types.StoreOutcome {
    if (effect.type === "read-snapshot") {
      return { type: "snapshot", snapshot: this.snapshot };
    }
    const segment = this.segments.get(effect.number);
    if (effect.type === "read") {
      return segment === undefined
        ? { type: "absent" }
        : { type: "found", segment };
    }
    if (segment !== undefined) return { type: "exists", segment };
    this.segments.set(effect.number, effect.segment);
    return { type: "created" };
  }
}

/** A store call that has not been executed yet. */
interface StoreCall {
  readonly process: Process;
  readonly effect: StoreEffect;
  /** Version of the snapshot when the call was made. */
  readonly snapshotVersion: number;
  /** Whether the process was already told that the outcome is unknown. */
  isAnswered: boolean;
}

interface Process {
  readonly ownerId: string;
  readonly journal: claims.ClaimJournal;
  isAlive: boolean;
  /** Claims granted whose calls have not started. */
  readonly granted: string[];
  readonly running: string[];
}

interface ClaimState {
  readonly key: string;
  readonly process: Process;
  hasRun: boolean;
  outcome: "open" | "granted" | "replayed" | "refused" | "abandoned";
}

/** One partition with a few processes. Each step is chosen by a random number. */
class Simulation {
  readonly store = new SegmentStore();
  readonly claimStates = new Map<string, ClaimState>();
  readonly runsByKey = new Map<string, number>();
  /** Claims that were granted after they had been abandoned, replayed or refused. */
  readonly lateGrants: string[] = [];
  readonly #processes: Process[] = [];
  readonly #calls: StoreCall[] = [];
  /** Numbers of segments that a snapshot replaced and that are still to be removed. */
  readonly #removals: number[] = [];
  readonly #voided = new Set<string>();
  readonly #keys: number;
  #ownerCount = 0;
  #claimCount = 0;

  constructor(options: { readonly processes: number; readonly keys: number }) {
    this.#keys = options.keys;
    for (let at = 0; at < options.processes; at += 1) {
      this.#processes.push(this.#createProcess());
    }
  }

  #createProcess(): Process {
    this.#ownerCount += 1;
    const ownerId = `owner-${this.#ownerCount}`;
    const journal = new claims.ClaimJournal({
      ownerId,
      retentionMs: RETENTION_MS,
      snapshotEverySegments: 2,
    });
    return { ownerId, journal, isAlive: true, granted: [], running: [] };
  }

  /** Executes the step that a random number selects. */
  step(choice: number): void {
    const at = choice % this.#processes.length;
    const process = this.#processes[at] as Process;
    const detail = choice >> 8;
    const action = (choice >> 2) % 64;
    if (action < 8) return this.#claim(process, detail);
    if (action < 14) return this.#startRun(process);
    if (action < 20) return this.#finishRun(process);
    if (action < 22) return this.#abandon(process, detail);
    if (action < 23) return this.#handle(process, { type: "flush" });
    if (action < 24) return this.#restart(at);
    if (action < 28) return this.#loseReply(detail);
    if (action < 32) return this.#applyRemoval(detail);
    return this.#deliver(detail);
  }

  /** Executes all outstanding store calls, so that claims are decided. */
  deliverAll(): void {
    for (
      let rounds = 0;
      rounds < 2_000 && this.#calls.length > 0;
      rounds += 1
    ) this.#deliver(0);
  }

  #claim(process: Process, detail: number): void {
    this.#claimCount += 1;
    const claimId = `claim-${this.#claimCount}`;
    const key = `key-${detail % this.#keys}`;
    const voided = detail % 3 === 0 ? this.#voidClaim(key, detail) : [];
    this.claimStates.set(claimId, {
      key,
      process,
      hasRun: false,
      outcome: "open",
    });
    this.#handle(process, {
      type: "claim",
      claimId,
      key,
      bodyHash: "body",
      voided,
    });
  }

  /** Simulates an entry that gave up an earlier attempt and will never commit it. */
  #voidClaim(key: string, detail: number): readonly string[] {
    const claimsNotRun = [...this.claimStates].filter(([, state]) =>
      state.key === key && !state.hasRun
    );
    const chosen = claimsNotRun[detail % Math.max(1, claimsNotRun.length)];
    if (chosen === undefined) return [];
    const [claimId, state] = chosen;
    state.outcome = "abandoned";
    this.#voided.add(claimId);
    return [claimId];
  }

  #startRun(process: Process): void {
    const claimId = process.granted.shift();
    if (claimId === undefined || this.#voided.has(claimId)) return;
    const state = this.claimStates.get(claimId) as ClaimState;
    state.hasRun = true;
    this.runsByKey.set(state.key, (this.runsByKey.get(state.key) ?? 0) + 1);
    process.running.push(claimId);
  }

  #finishRun(process: Process): void {
    const claimId = process.running.shift();
    if (claimId === undefined) return;
    this.#handle(process, { type: "finish", claimId, answer: ANSWER });
  }

  #abandon(process: Process, detail: number): void {
    const open = [...this.claimStates].filter(([claimId, state]) =>
      state.process === process &&
      (state.outcome === "open" || process.granted.includes(claimId))
    );
    const chosen = open[detail % Math.max(1, open.length)];
    if (chosen === undefined) return;
    const [claimId, state] = chosen;
    const at = process.granted.indexOf(claimId);
    if (at >= 0) process.granted.splice(at, 1);
    else if (state.outcome !== "open") return;
    state.outcome = "abandoned";
    this.#handle(process, { type: "abandon", claimId });
  }

  /** Replaces a process by a new one without state. */
  #restart(at: number): void {
    (this.#processes[at] as Process).isAlive = false;
    this.#processes[at] = this.#createProcess();
  }

  #deliver(detail: number): void {
    const call =
      this.#calls.splice(detail % Math.max(1, this.#calls.length), 1)[0];
    if (call === undefined) return;
    const outcome = this.#apply(call);
    if (!call.isAnswered) {
      this.#handle(call.process, { type: "stored", outcome });
    }
  }

  /** Makes the process give up a call; a write may still take effect later. */
  #loseReply(detail: number): void {
    const open = this.#calls.filter((call) => !call.isAnswered);
    const call = open[detail % Math.max(1, open.length)];
    if (call === undefined) return;
    call.isAnswered = true;
    if (
      call.effect.type !== "create" && call.effect.type !== "store-snapshot"
    ) {
      this.#calls.splice(this.#calls.indexOf(call), 1);
    }
    this.#handle(call.process, {
      type: "stored",
      outcome: { type: "unknown" },
    });
  }

  #applyRemoval(detail: number): void {
    const number =
      this.#removals.splice(detail % Math.max(1, this.#removals.length), 1)[0];
    if (number !== undefined) this.store.segments.delete(number);
  }

  #apply(call: StoreCall): types.StoreOutcome {
    const { store } = this;
    const { effect } = call;
    if (effect.type !== "store-snapshot") return store.answer(effect);
    const isOlder = (store.snapshot?.number ?? 0) >= effect.snapshot.number;
    if (isOlder || call.snapshotVersion !== store.snapshotVersion) {
      return { type: "unknown" };
    }
    store.snapshot = effect.snapshot;
    store.snapshotVersion += 1;
    this.#removals.push(...effect.removable);
    return { type: "snapshot-stored" };
  }

  #handle(process: Process, event: types.ClaimEvent): void {
    if (!process.isAlive) return;
    for (const effect of process.journal.handle(event, 0)) {
      this.#applyEffect(process, effect);
    }
  }

  #applyEffect(process: Process, effect: types.ClaimEffect): void {
    switch (effect.type) {
      case "grant":
        // The entry has given up the attempt, which this process does not know.
        if (this.#voided.has(effect.claimId)) return;
        if (this.claimStates.get(effect.claimId)?.outcome !== "open") {
          this.lateGrants.push(effect.claimId);
        }
        (this.claimStates.get(effect.claimId) as ClaimState).outcome =
          "granted";
        process.granted.push(effect.claimId);
        return;
      case "replay":
        (this.claimStates.get(effect.claimId) as ClaimState).outcome =
          "replayed";
        return;
      case "refuse":
        (this.claimStates.get(effect.claimId) as ClaimState).outcome =
          "refused";
        return;
      case "took-over":
      case "deposed":
        return;
      default:
        this.#calls.push({
          process,
          effect,
          snapshotVersion: this.store.snapshotVersion,
          isAnswered: false,
        });
    }
  }
}

/** Many choices, because a takeover after a snapshot needs many steps. */
const CHOICES = fc.array(fc.nat({ max: 0xff_ffff }), {
  minLength: 300,
  maxLength: 600,
});

function runSimulation(choices: readonly number[], keys: number): Simulation {
  const simulation = new Simulation({ processes: 3, keys });
  for (const choice of choices) simulation.step(choice);
  simulation.deliverAll();
  return simulation;
}

function findKeysRunTwice(simulation: Simulation): readonly string[] {
  return [...simulation.runsByKey].filter(([, runs]) => runs > 1).map(([key]) =>
    key
  );
}

test("a key runs at most once under lost replies, pauses, restarts and snapshots", (t) => {
  fc.assert(
    fc.property(
      CHOICES,
      fc.integer({ min: 1, max: 4 }),
      (choices, keys) =>
        findKeysRunTwice(runSimulation(choices, keys)).length === 0,
    ),
    { seed: 20261204, numRuns: 3_000 },
  );
  t.pass();
});

test("a claim that was refused, replayed or abandoned never runs, and none is granted after that", (t) => {
  fc.assert(
    fc.property(
      CHOICES,
      (choices) => {
        const simulation = runSimulation(choices, 2);
        const hasCorrectOutcomes = [...simulation.claimStates.values()].every((
          state,
        ) => !state.hasRun || state.outcome === "granted");
        return hasCorrectOutcomes && simulation.lateGrants.length === 0;
      },
    ),
    { seed: 7, numRuns: 1_000 },
  );
  t.pass();
});

/** Handles an event, executes all resulting store calls and returns all effects. */
function drive(
  journal: claims.ClaimJournal,
  store: SegmentStore,
  event: types.ClaimEvent,
): readonly types.ClaimEffect[] {
  const seen: types.ClaimEffect[] = [];
  const queue = [...journal.handle(event, 0)];
  for (
    let effect = queue.shift();
    effect !== undefined;
    effect = queue.shift()
  ) {
    seen.push(effect);
    const outcome = answerEffect(store, effect);
    if (outcome !== undefined) {
      queue.push(
        ...journal.handle({ type: "stored", outcome }, 0),
      );
    }
  }
  return seen;
}

function answerEffect(
  store: SegmentStore,
  effect: types.ClaimEffect,
): types.StoreOutcome | undefined {
  switch (effect.type) {
    case "read":
    case "read-snapshot":
    case "create":
      return store.answer(effect);
    case "store-snapshot":
      store.snapshot = effect.snapshot;
      for (const number of effect.removable) store.segments.delete(number);
      return { type: "snapshot-stored" };
    default:
      return undefined;
  }
}

function createJournal(
  ownerId: string,
  snapshotEverySegments = 100,
): claims.ClaimJournal {
  return new claims.ClaimJournal({
    ownerId,
    retentionMs: RETENTION_MS,
    snapshotEverySegments,
  });
}

function createClaimEvent(
  claimId: string,
  overrides: Partial<types.ClaimEvent> = {},
): types.ClaimEvent {
  const base = {
    type: "claim",
    claimId,
    key: "key",
    bodyHash: "body",
    voided: [],
  };
  return { ...base, ...overrides } as types.ClaimEvent;
}

function listTypes(effects: readonly types.ClaimEffect[]): readonly string[] {
  return effects.map((effect) => effect.type);
}

test("a new owner replays the stored answer of a repeated key", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first");
  t.true(
    listTypes(drive(first, store, createClaimEvent("a"))).includes("grant"),
  );
  drive(first, store, { type: "finish", claimId: "a", answer: ANSWER });
  drive(first, store, { type: "flush" });
  const effects = drive(createJournal("second"), store, createClaimEvent("b"));
  t.deepEqual(effects.filter((effect) => effect.type === "replay"), [
    { type: "replay", claimId: "b", answer: ANSWER },
  ]);
});

test("a new owner does not run a key that a dead owner had claimed", (t) => {
  const store = new SegmentStore();
  drive(createJournal("first"), store, createClaimEvent("a"));
  const effects = drive(createJournal("second"), store, createClaimEvent("b"));
  t.deepEqual(effects.filter((effect) => effect.type === "refuse"), [
    { type: "refuse", claimId: "b", kind: "outcome-unknown" },
  ]);
});

test("a claim whose attempt was never committed is replaced", (t) => {
  const store = new SegmentStore();
  drive(createJournal("first"), store, createClaimEvent("a"));
  const effects = drive(
    createJournal("second"),
    store,
    createClaimEvent("b", { voided: ["a"] }),
  );
  t.true(listTypes(effects).includes("grant"));
});

test("an owner that was deposed while it was paused grants no claim", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first");
  drive(first, store, createClaimEvent("a", { key: "other" }));
  drive(createJournal("second"), store, createClaimEvent("b"));
  const effects = drive(first, store, createClaimEvent("c"));
  t.true(listTypes(effects).includes("deposed"));
  t.false(listTypes(effects).includes("grant"));
});

test("the same key with another body is refused", (t) => {
  const store = new SegmentStore();
  const journal = createJournal("first");
  drive(journal, store, createClaimEvent("a"));
  const effects = drive(
    journal,
    store,
    createClaimEvent("b", { bodyHash: "other" }),
  );
  t.deepEqual(effects, [{ type: "refuse", claimId: "b", kind: "key-reused" }]);
});

test("a claim waits for a running call with the same key and gets its answer", (t) => {
  const store = new SegmentStore();
  const journal = createJournal("first");
  drive(journal, store, createClaimEvent("a"));
  t.deepEqual(drive(journal, store, createClaimEvent("b")), []);
  t.true(journal.isWaiting("b"));
  const effects = drive(journal, store, {
    type: "finish",
    claimId: "a",
    answer: ANSWER,
  });
  t.is(effects[0]?.type, "replay");
});

test("a new owner may claim a released key", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first");
  drive(first, store, createClaimEvent("a"));
  drive(first, store, { type: "abandon", claimId: "a" });
  drive(first, store, { type: "flush" });
  const effects = drive(createJournal("second"), store, createClaimEvent("b"));
  t.true(listTypes(effects).includes("grant"));
});

test("after a lost reply the batch is read back by its number and recognised as stored", (t) => {
  const journal = createJournal("first");
  const store = new SegmentStore();
  journal.handle(createClaimEvent("a"), 0);
  journal.handle({
    type: "stored",
    outcome: { type: "snapshot", snapshot: undefined },
  }, 0);
  const created = journal.handle({
    type: "stored",
    outcome: { type: "absent" },
  }, 0);
  const create = created.find((effect) => effect.type === "create");
  t.truthy(create);
  if (create?.type !== "create") return;
  store.segments.set(create.number, create.segment);
  const read = journal.handle(
    { type: "stored", outcome: { type: "unknown" } },
    0,
  );
  t.deepEqual(read, [{ type: "read", number: create.number }]);
  const found = { type: "found", segment: create.segment } as const;
  t.deepEqual(
    listTypes(journal.handle({ type: "stored", outcome: found }, 0)),
    ["read-snapshot"],
  );
});

test("a snapshot replaces the owner's segments, and a new owner starts from it", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first", 3);
  for (const name of ["a", "b", "c", "d"]) {
    drive(first, store, createClaimEvent(name, { key: name }));
    drive(first, store, { type: "finish", claimId: name, answer: ANSWER });
  }
  t.true((store.snapshot?.number ?? 0) > 0);
  t.true(store.segments.size < 8);
  const effects = drive(
    createJournal("second"),
    store,
    createClaimEvent("again", { key: "a" }),
  );
  t.true(listTypes(effects).includes("replay"));
});

test("a snapshot that is being stored does not remove segments appended after it", (t) => {
  const store = new SegmentStore();
  const journal = createJournal("first", 2);
  drive(journal, store, createClaimEvent("a", { key: "a" }));
  const appended = journal.handle(createClaimEvent("b", { key: "b" }), 0);
  t.is(appended[0]?.type, "create");
  const [, snapshot] = journal.handle({
    type: "stored",
    outcome: { type: "created" },
  }, 0);
  t.is(snapshot?.type, "store-snapshot");
  if (snapshot?.type !== "store-snapshot") return;
  journal.handle({ type: "stored", outcome: { type: "unknown" } }, 0);
  journal.handle(createClaimEvent("c", { key: "c" }), 0);
  journal.handle({ type: "stored", outcome: { type: "created" } }, 0);
  t.true(
    snapshot.removable.every((number) => number <= snapshot.snapshot.number),
  );
});
