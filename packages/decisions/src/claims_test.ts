/**
 * The claim journal under every interleaving that a tape of random choices can
 * bring about: lost and late replies, writes that take effect after they were
 * given up, pauses between grant and run, restarts, and snapshots that remove
 * segments. Whatever happens, a key runs at most once.
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

/** The store's data for one partition. */
class SegmentStore {
  readonly segments = new Map<number, types.ClaimSegment>();
  snapshot: types.ClaimSnapshot | undefined;
  snapshotVersion = 0;

  /** Answers a call that does not replace a snapshot. */
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

/** A store call on its way. */
interface StoreCall {
  readonly process: Process;
  readonly effect: StoreEffect;
  readonly snapshotVersion: number;
  isAnswered: boolean;
}

interface Process {
  readonly ownerId: string;
  readonly journal: claims.ClaimJournal;
  isAlive: boolean;
  /** Calls granted that have not started. */
  readonly granted: string[];
  readonly running: string[];
}

interface ClaimFate {
  readonly key: string;
  readonly process: Process;
  hasRun: boolean;
  outcome: "open" | "granted" | "replayed" | "refused" | "abandoned";
}

/** One partition with a few processes, driven by a tape of choices. */
class World {
  readonly store = new SegmentStore();
  readonly fates = new Map<string, ClaimFate>();
  readonly runsByKey = new Map<string, number>();
  /** Claims that were granted after they had ended. */
  readonly lateGrants: string[] = [];
  readonly #processes: Process[] = [];
  readonly #calls: StoreCall[] = [];
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

  /** Answers everything that is open, so that claims settle. */
  settle(): void {
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
    const voided = detail % 3 === 0 ? this.#voidOne(key, detail) : [];
    this.fates.set(claimId, { key, process, hasRun: false, outcome: "open" });
    this.#handle(process, {
      type: "claim",
      claimId,
      key,
      bodyHash: "body",
      voided,
    });
  }

  /** The entry that sent an earlier attempt has lost it and will never commit it. */
  #voidOne(key: string, detail: number): readonly string[] {
    const unrun = [...this.fates].filter(([, fate]) =>
      fate.key === key && !fate.hasRun
    );
    const chosen = unrun[detail % Math.max(1, unrun.length)];
    if (chosen === undefined) return [];
    const [claimId, fate] = chosen;
    fate.outcome = "abandoned";
    this.#voided.add(claimId);
    return [claimId];
  }

  #startRun(process: Process): void {
    const claimId = process.granted.shift();
    if (claimId === undefined || this.#voided.has(claimId)) return;
    const fate = this.fates.get(claimId) as ClaimFate;
    fate.hasRun = true;
    this.runsByKey.set(fate.key, (this.runsByKey.get(fate.key) ?? 0) + 1);
    process.running.push(claimId);
  }

  #finishRun(process: Process): void {
    const claimId = process.running.shift();
    if (claimId === undefined) return;
    this.#handle(process, { type: "finish", claimId, answer: ANSWER });
  }

  #abandon(process: Process, detail: number): void {
    const open = [...this.fates].filter(([claimId, fate]) =>
      fate.process === process &&
      (fate.outcome === "open" || process.granted.includes(claimId))
    );
    const chosen = open[detail % Math.max(1, open.length)];
    if (chosen === undefined) return;
    const [claimId, fate] = chosen;
    const at = process.granted.indexOf(claimId);
    if (at >= 0) process.granted.splice(at, 1);
    else if (fate.outcome !== "open") return;
    fate.outcome = "abandoned";
    this.#handle(process, { type: "abandon", claimId });
  }

  /** The process dies with all it knows; another takes its place. */
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

  /** The process gives the call up; the call itself may still take effect. */
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
      this.#take(process, effect);
    }
  }

  #take(process: Process, effect: types.ClaimEffect): void {
    switch (effect.type) {
      case "grant":
        // A process does not know that the entry has given an attempt up.
        if (this.#voided.has(effect.claimId)) return;
        if (this.fates.get(effect.claimId)?.outcome !== "open") {
          this.lateGrants.push(effect.claimId);
        }
        (this.fates.get(effect.claimId) as ClaimFate).outcome = "granted";
        process.granted.push(effect.claimId);
        return;
      case "replay":
        (this.fates.get(effect.claimId) as ClaimFate).outcome = "replayed";
        return;
      case "refuse":
        (this.fates.get(effect.claimId) as ClaimFate).outcome = "refused";
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

/** Long tapes: takeovers after snapshots need many steps. */
const TAPE = fc.array(fc.nat({ max: 0xff_ffff }), {
  minLength: 300,
  maxLength: 600,
});

function runTape(tape: readonly number[], keys: number): World {
  const world = new World({ processes: 3, keys });
  for (const choice of tape) world.step(choice);
  world.settle();
  return world;
}

function findDoubles(world: World): readonly string[] {
  return [...world.runsByKey].filter(([, runs]) => runs > 1).map(([key]) =>
    key
  );
}

test("a key runs at most once under lost replies, pauses, restarts and snapshots", (t) => {
  fc.assert(
    fc.property(
      TAPE,
      fc.integer({ min: 1, max: 4 }),
      (tape, keys) => findDoubles(runTape(tape, keys)).length === 0,
    ),
    { seed: 20261204, numRuns: 3_000 },
  );
  t.pass();
});

test("a refused or replayed claim has not run, and a settled world leaves no claim open", (t) => {
  fc.assert(
    fc.property(
      TAPE,
      (tape) => {
        const world = runTape(tape, 2);
        const isTrue = [...world.fates.values()].every((fate) =>
          !fate.hasRun || fate.outcome === "granted"
        );
        return isTrue && world.lateGrants.length === 0;
      },
    ),
    { seed: 7, numRuns: 1_000 },
  );
  t.pass();
});

/** Drives one journal against a store that always answers. */
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
    const outcome = answer(store, effect);
    if (outcome !== undefined) {
      queue.push(
        ...journal.handle({ type: "stored", outcome }, 0),
      );
    }
  }
  return seen;
}

function answer(
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

function claimEvent(
  claimId: string,
  changes: Partial<types.ClaimEvent> = {},
): types.ClaimEvent {
  const base = {
    type: "claim",
    claimId,
    key: "key",
    bodyHash: "body",
    voided: [],
  };
  return { ...base, ...changes } as types.ClaimEvent;
}

function listTypes(effects: readonly types.ClaimEffect[]): readonly string[] {
  return effects.map((effect) => effect.type);
}

test("a successor answers a repeated key from the journal", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first");
  t.true(listTypes(drive(first, store, claimEvent("a"))).includes("grant"));
  drive(first, store, { type: "finish", claimId: "a", answer: ANSWER });
  drive(first, store, { type: "flush" });
  const effects = drive(createJournal("second"), store, claimEvent("b"));
  t.deepEqual(effects.filter((effect) => effect.type === "replay"), [
    { type: "replay", claimId: "b", answer: ANSWER },
  ]);
});

test("a successor does not run what a dead owner had claimed", (t) => {
  const store = new SegmentStore();
  drive(createJournal("first"), store, claimEvent("a"));
  const effects = drive(createJournal("second"), store, claimEvent("b"));
  t.deepEqual(effects.filter((effect) => effect.type === "refuse"), [
    { type: "refuse", claimId: "b", kind: "outcome-unknown" },
  ]);
});

test("a claim whose attempt was never committed is taken over", (t) => {
  const store = new SegmentStore();
  drive(createJournal("first"), store, claimEvent("a"));
  const effects = drive(
    createJournal("second"),
    store,
    claimEvent("b", { voided: ["a"] }),
  );
  t.true(listTypes(effects).includes("grant"));
});

test("a paused owner finds itself deposed and runs nothing", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first");
  drive(first, store, claimEvent("a", { key: "other" }));
  drive(createJournal("second"), store, claimEvent("b"));
  const effects = drive(first, store, claimEvent("c"));
  t.true(listTypes(effects).includes("deposed"));
  t.false(listTypes(effects).includes("grant"));
});

test("the same key with another body is refused", (t) => {
  const store = new SegmentStore();
  const journal = createJournal("first");
  drive(journal, store, claimEvent("a"));
  const effects = drive(journal, store, claimEvent("b", { bodyHash: "other" }));
  t.deepEqual(effects, [{ type: "refuse", claimId: "b", kind: "key-reused" }]);
});

test("a call in flight under the same key is waited for", (t) => {
  const store = new SegmentStore();
  const journal = createJournal("first");
  drive(journal, store, claimEvent("a"));
  t.deepEqual(drive(journal, store, claimEvent("b")), []);
  t.true(journal.isWaiting("b"));
  const effects = drive(journal, store, {
    type: "finish",
    claimId: "a",
    answer: ANSWER,
  });
  t.is(effects[0]?.type, "replay");
});

test("a released key may be claimed again, also by a successor", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first");
  drive(first, store, claimEvent("a"));
  drive(first, store, { type: "abandon", claimId: "a" });
  drive(first, store, { type: "flush" });
  const effects = drive(createJournal("second"), store, claimEvent("b"));
  t.true(listTypes(effects).includes("grant"));
});

test("after a lost reply the number is read back and the batch is found", (t) => {
  const journal = createJournal("first");
  const store = new SegmentStore();
  journal.handle(claimEvent("a"), 0);
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

test("a snapshot replaces the owner's own segments and a successor starts from it", (t) => {
  const store = new SegmentStore();
  const first = createJournal("first", 3);
  for (const name of ["a", "b", "c", "d"]) {
    drive(first, store, claimEvent(name, { key: name }));
    drive(first, store, { type: "finish", claimId: name, answer: ANSWER });
  }
  t.true((store.snapshot?.number ?? 0) > 0);
  t.true(store.segments.size < 8);
  const effects = drive(
    createJournal("second"),
    store,
    claimEvent("again", { key: "a" }),
  );
  t.true(listTypes(effects).includes("replay"));
});

test("a snapshot on its way never comes to name segments appended after it", (t) => {
  const store = new SegmentStore();
  const journal = createJournal("first", 2);
  drive(journal, store, claimEvent("a", { key: "a" }));
  const appended = journal.handle(claimEvent("b", { key: "b" }), 0);
  t.is(appended[0]?.type, "create");
  const [, snapshot] = journal.handle({
    type: "stored",
    outcome: { type: "created" },
  }, 0);
  t.is(snapshot?.type, "store-snapshot");
  if (snapshot?.type !== "store-snapshot") return;
  journal.handle({ type: "stored", outcome: { type: "unknown" } }, 0);
  journal.handle(claimEvent("c", { key: "c" }), 0);
  journal.handle({ type: "stored", outcome: { type: "created" } }, 0);
  t.true(
    snapshot.removable.every((number) => number <= snapshot.snapshot.number),
  );
});
