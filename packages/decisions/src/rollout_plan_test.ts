/** Roll-outs: steps in time, sessions, and records that late writers cannot undo. */
import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as plan from "./rollout_plan.ts";

const test = ava.default;

const ORDER: plan.RolloutOrder = {
  service: "llm",
  targetVersion: "v2",
  durationMs: 20_000,
  revision: 5,
};
const STARTED = {
  ...plan.createRolloutRecord(ORDER, undefined, 0),
  revision: 1,
};

function choose(
  overrides: Partial<plan.VersionPreferenceInput>,
): plan.VersionPreference {
  return plan.chooseVersionPreference({
    order: ORDER,
    record: STARTED,
    session: undefined,
    fraction: 0.5,
    elapsedMs: 3_000,
    exposureShare: 0.15,
    isStoppedLocally: false,
    ...overrides,
  });
}

test("without a record of the order the old version serves everything", (t) => {
  t.false(choose({ record: undefined, fraction: 0 }).prefersTarget);
});

test("the first half: only few new sessions try the version, others keep theirs", (t) => {
  for (const elapsedMs of [2_400, 5_000, 9_900]) {
    t.true(choose({ elapsedMs, fraction: 0.01 }).prefersTarget);
    t.false(choose({ elapsedMs, fraction: 0.2 }).prefersTarget);
    t.false(
      choose({ elapsedMs, fraction: 0.01, session: "old" }).prefersTarget,
    );
    t.true(choose({ elapsedMs, fraction: 0.9, session: "new" }).prefersTarget);
  }
});

test("no session tries the version before all processes can know of the order", (t) => {
  t.false(choose({ elapsedMs: 1_000, fraction: 0 }).prefersTarget);
  t.true(choose({ elapsedMs: 3_000, fraction: 0 }).prefersTarget);
});

test("a time of day that jumped neither ends a roll-out nor sends it back", (t) => {
  const { startedAtMs, durationMs } = STARTED;
  for (const wallMs of [startedAtMs + 2_400_000, startedAtMs - 60_000]) {
    t.is(plan.estimateElapsedMs(STARTED, wallMs), 0);
  }
  t.is(plan.estimateElapsedMs(STARTED, startedAtMs + durationMs), durationMs);
  const next = plan.advanceRollout(ORDER, STARTED, {
    verdict: undefined,
    elapsedMs: 4_000,
    wallMs: startedAtMs + 2_400_000,
  });
  t.is(next, undefined);
});

test("the second half: all move, and nobody moves back", (t) => {
  for (const session of ["old", "new", undefined] as const) {
    t.true(
      choose({ elapsedMs: 12_000, fraction: 0.999, session }).prefersTarget,
    );
  }
  let moved = false;
  for (let elapsedMs = 10_000; elapsedMs < 20_000; elapsedMs += 50) {
    const { prefersTarget } = choose({
      elapsedMs,
      fraction: 0.6,
      session: "old",
    });
    t.true(prefersTarget || !moved);
    moved = prefersTarget;
  }
});

test("a verdict here or on record bans the version at once", (t) => {
  t.deepEqual(choose({ isStoppedLocally: true }).banned, ["v2"]);
  const record = plan.advanceRollout(ORDER, STARTED, {
    verdict: "bad",
    elapsedMs: 15_000,
    wallMs: 15_000,
  });
  t.is(record?.state, "rolled-back");
  t.deepEqual(choose({ record }).banned, ["v2"]);
});

test("a new order of a banned version lifts the ban; other bans stay", (t) => {
  const held = {
    ...STARTED,
    state: "rolled-back" as const,
    bannedVersions: ["v2", "v3"],
  };
  const next = plan.createRolloutRecord({ ...ORDER, revision: 9 }, held, 0);
  t.deepEqual(next.bannedVersions, ["v3"]);
});

/** A store with one record that is replaced on condition of its revision. */
class RecordStore {
  record: plan.RolloutRecord | undefined;

  replace(next: plan.RolloutRecord): boolean {
    if ((this.record?.revision ?? 0) !== next.revision) return false;
    this.record = { ...next, revision: next.revision + 1 };
    return true;
  }
}

test("whatever is late, lost or frozen: a verdict on record stands, and a started order ends", (t) => {
  const step = fastCheck.record({
    process: fastCheck.integer({ min: 0, max: 2 }),
    action: fastCheck.constantFrom("read", "plan", "write", "wait", "verdict"),
    gapMs: fastCheck.integer({ min: 0, max: 3_000 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 120 }), (steps) => {
      const store = new RecordStore();
      const views: (plan.RolloutRecord | undefined)[] = [];
      const pending: (plan.RolloutRecord | undefined)[] = [];
      const verdicts: (string | undefined)[] = [];
      let wallMs = 0;
      let final: plan.RolloutState | undefined;
      for (const { process, action, gapMs } of steps) {
        wallMs += gapMs;
        if (action === "read") views[process] = store.record;
        if (action === "verdict") verdicts[process] = "bad";
        if (action === "plan") {
          pending[process] = plan.advanceRollout(ORDER, views[process], {
            verdict: verdicts[process],
            elapsedMs: wallMs,
            wallMs,
          });
        }
        const planned = pending[process];
        // A write may be sent long after it was planned, and sent again.
        if (action === "write" && planned !== undefined) store.replace(planned);
        const state = store.record?.state;
        if (final !== undefined && state !== final) return false;
        if (state === "completed" || state === "rolled-back") final = state;
      }
      const view = store.record;
      const next = plan.advanceRollout(ORDER, view, {
        verdict: undefined,
        elapsedMs: wallMs + ORDER.durationMs,
        wallMs: wallMs + ORDER.durationMs,
      });
      return final === undefined ? next !== undefined : next === undefined;
    }),
  );
  t.pass();
});
