/** Tests of the steps of a roll-out over time, its sessions, and the protection of records against late writers. */
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

function choosePreference(
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

test("all requests use the old version until the order is on record", (t) => {
  t.false(choosePreference({ record: undefined, fraction: 0 }).prefersTarget);
});

test("during the trial only a small share of new sessions uses the new version; known sessions keep theirs", (t) => {
  for (const elapsedMs of [2_400, 5_000, 9_900]) {
    t.true(choosePreference({ elapsedMs, fraction: 0.01 }).prefersTarget);
    t.false(choosePreference({ elapsedMs, fraction: 0.2 }).prefersTarget);
    t.false(
      choosePreference({ elapsedMs, fraction: 0.01, session: "old" })
        .prefersTarget,
    );
    t.true(
      choosePreference({ elapsedMs, fraction: 0.9, session: "new" })
        .prefersTarget,
    );
  }
});

test("no session uses the new version before all processes can know the order", (t) => {
  t.false(choosePreference({ elapsedMs: 1_000, fraction: 0 }).prefersTarget);
  t.true(choosePreference({ elapsedMs: 3_000, fraction: 0 }).prefersTarget);
});

test("a jump of the wall clock neither completes a roll-out nor rolls it back", (t) => {
  const { startedAtMs, durationMs } = STARTED;
  for (const wallMs of [startedAtMs + 2_400_000, startedAtMs - 60_000]) {
    t.is(plan.estimateElapsedMs(STARTED, wallMs), 0);
  }
  t.is(plan.estimateElapsedMs(STARTED, startedAtMs + durationMs), durationMs);
  const next = plan.advanceRollout(ORDER, STARTED, {
    verdict: undefined,
    isProven: true,
    elapsedMs: 4_000,
    wallMs: startedAtMs + 2_400_000,
  });
  t.is(next, undefined);
});

test("after the trial all sessions move to the new version, and none moves back", (t) => {
  for (const session of ["old", "new", undefined] as const) {
    t.true(
      choosePreference({ elapsedMs: 12_000, fraction: 0.999, session })
        .prefersTarget,
    );
  }
  let hasMoved = false;
  for (let elapsedMs = 10_000; elapsedMs < 20_000; elapsedMs += 50) {
    const { prefersTarget } = choosePreference({
      elapsedMs,
      fraction: 0.6,
      session: "old",
    });
    t.true(prefersTarget || !hasMoved);
    hasMoved = prefersTarget;
  }
});

test("a verdict of this process or on record bans the version at once", (t) => {
  t.deepEqual(choosePreference({ isStoppedLocally: true }).banned, ["v2"]);
  const record = plan.advanceRollout(ORDER, STARTED, {
    verdict: "bad",
    isProven: true,
    elapsedMs: 15_000,
    wallMs: 15_000,
  });
  t.is(record?.state, "rolled-back");
  t.deepEqual(choosePreference({ record }).banned, ["v2"]);
});

// Guards against a version that is completed although its replicas had left and nothing had
// answered: at that moment the old replicas are stopped.
test("a version that is not proven is rolled back before its end, not completed", (t) => {
  const advance = (progress: number, isProven: boolean) =>
    plan.advanceRollout(ORDER, STARTED, {
      verdict: undefined,
      isProven,
      elapsedMs: progress * ORDER.durationMs,
      wallMs: 0,
    })?.state;
  t.is(advance(0.82, true), "completed");
  t.is(advance(0.9, false), undefined);
  t.is(advance(0.95, false), "rolled-back");
});

test("a new order of a banned version lifts its ban but not those of other versions", (t) => {
  const previous = {
    ...STARTED,
    state: "rolled-back" as const,
    bannedVersions: ["v2", "v3"],
  };
  const next = plan.createRolloutRecord({ ...ORDER, revision: 9 }, previous, 0);
  t.deepEqual(next.bannedVersions, ["v3"]);
});

/** A store with one record, which is only replaced if its revision is unchanged. */
class RecordStore {
  record: plan.RolloutRecord | undefined;

  replace(next: plan.RolloutRecord): boolean {
    if ((this.record?.revision ?? 0) !== next.revision) return false;
    this.record = { ...next, revision: next.revision + 1 };
    return true;
  }
}

test("late and repeated writes never change a final state, and a started roll-out always ends", (t) => {
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
      let endState: plan.RolloutState | undefined;
      for (const { process, action, gapMs } of steps) {
        wallMs += gapMs;
        if (action === "read") views[process] = store.record;
        if (action === "verdict") verdicts[process] = "bad";
        if (action === "plan") {
          pending[process] = plan.advanceRollout(ORDER, views[process], {
            verdict: verdicts[process],
            isProven: true,
            elapsedMs: wallMs,
            wallMs,
          });
        }
        const planned = pending[process];
        // A write may be sent long after it was planned, and more than once.
        if (action === "write" && planned !== undefined) store.replace(planned);
        const state = store.record?.state;
        if (endState !== undefined && state !== endState) return false;
        if (state === "completed" || state === "rolled-back") endState = state;
      }
      const view = store.record;
      const next = plan.advanceRollout(ORDER, view, {
        verdict: undefined,
        isProven: true,
        elapsedMs: wallMs + ORDER.durationMs,
        wallMs: wallMs + ORDER.durationMs,
      });
      return endState === undefined ? next !== undefined : next === undefined;
    }),
  );
  t.pass();
});
