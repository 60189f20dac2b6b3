/** Tests orders and records of roll-outs over a control plane that is restored from an older copy. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as states from "./rollout_states.ts";

const test = ava.default;
const at = kernel.makePosition;
/** Longer than another order of a copy is held. */
const HELD_MS = 3_300;

function makeOrder(
  targetVersion: string,
  revision: number,
): ports.RolloutOrder {
  return { service: "desk", targetVersion, durationMs: 30_000, revision };
}

function makeRecord(rest: Partial<ports.RolloutRecord>): ports.RolloutRecord {
  return {
    service: "desk",
    revision: at(1, 12),
    orderRevision: at(1, 10),
    targetVersion: "v2",
    state: "in-progress",
    startedAtMs: 0,
    durationMs: 30_000,
    reason: "",
    bannedVersions: [],
    ...rest,
  };
}

const ROLLED_BACK_V3 = makeRecord({
  revision: at(1, 22),
  orderRevision: at(1, 20),
  targetVersion: "v3",
  state: "rolled-back",
  bannedVersions: ["v3"],
});
const COPIED_V2 = makeRecord({
  revision: at(2, 9),
  orderRevision: at(1, 5),
  state: "completed",
});

function openStates(t: ava.ExecutionContext): states.RolloutStates {
  const log = { addNotable: () => {} } as unknown as logs.DecisionLog;
  const known = new states.RolloutStates(log);
  t.teardown(() => known.close());
  return known;
}

/** A process that started after v3 was ordered and rolled back, and reads a copy from before. */
function openOnOlderCopy(t: ava.ExecutionContext): states.RolloutStates {
  const known = openStates(t);
  known.applyOrder(makeOrder("v3", at(1, 20)), false);
  known.applyRecord(ROLLED_BACK_V3);
  known.applyOrder(makeOrder("v2", at(2, 5)), true);
  known.applyRecord(COPIED_V2);
  return known;
}

// Guards against EXPOSURE: a process that had started after the newest order took the one of the
// older copy for a new one, rolled the old version out again and lifted the newest one's ban.
test("an older order of a copy does not replace the known one, which comes again", async (t) => {
  const known = openOnOlderCopy(t);
  t.is(known.orders.get("desk")?.targetVersion, "v3");
  t.like(known.records.get("desk"), { targetVersion: "v3" });
  t.deepEqual(known.unwrittenRecords, []);
  known.applyOrder(makeOrder("v3", at(2, 40)), false);
  const kept = { ...ROLLED_BACK_V3, orderRevision: at(2, 40) };
  t.like(known.unwrittenRecords[0], { ...kept, revision: COPIED_V2.revision });
  await kernel.sleep(HELD_MS);
  t.is(known.orders.get("desk")?.targetVersion, "v3");
});

// Guards against processes that follow different orders for ever: an order back to the version
// before, written while the store was away, was taken for one of the copy and dropped.
test("another order of a copy is believed if the known one does not come again", async (t) => {
  const known = openStates(t);
  known.applyOrder(makeOrder("v2", at(1, 10)), false);
  known.applyOrder(makeOrder("v3", at(1, 20)), false);
  known.applyOrder(makeOrder("v2", at(2, 25)), true);
  t.is(known.orders.get("desk")?.targetVersion, "v3");
  await kernel.sleep(HELD_MS);
  t.is(known.orders.get("desk")?.targetVersion, "v2");
});

// Guards against EXPOSURE: a second full read, as after a history that was discarded, ended the hold.
test("an order of a copy that is read again is still held", (t) => {
  const known = openOnOlderCopy(t);
  known.applyOrder(makeOrder("v2", at(2, 5)), false);
  t.is(known.orders.get("desk")?.targetVersion, "v3");
});

test("with an order of a copy its record is believed, and keeps the bans that were known", async (t) => {
  const known = openOnOlderCopy(t);
  await kernel.sleep(HELD_MS);
  t.is(known.orders.get("desk")?.targetVersion, "v2");
  t.like(known.records.get("desk"), {
    targetVersion: "v2",
    state: "completed",
    orderRevision: at(2, 5),
    bannedVersions: ["v3"],
  });
  t.is(known.unwrittenRecords.length, 1);
});

const ROLLED_BACK_V2 = makeRecord({
  revision: at(2, 12),
  state: "rolled-back",
  bannedVersions: ["v2"],
});

// Guards against a good version that is not rolled out: a process that had started after the store's
// return took the record of an earlier order for that of a new one of the same version, and wrote
// "rolled back" over its record.
test("a record of an earlier era is not that of a new order with the same content", (t) => {
  const known = openStates(t);
  known.applyOrder(makeOrder("v2", at(2, 50)), false);
  known.applyRecord(ROLLED_BACK_V2);
  t.is(known.records.get("desk")?.orderRevision, at(1, 10));
  known.applyRecord(
    makeRecord({ revision: at(2, 51), orderRevision: at(2, 50) }),
  );
  t.is(known.records.get("desk")?.state, "in-progress");
  t.deepEqual(known.unwrittenRecords, []);
});

test("a process that knew the order writes the order's new revision into its record", (t) => {
  const known = openStates(t);
  known.applyOrder(makeOrder("v2", at(1, 10)), false);
  known.applyRecord({ ...ROLLED_BACK_V2, revision: at(1, 12) });
  known.applyOrder(makeOrder("v2", at(2, 40)), false);
  known.applyRecord(ROLLED_BACK_V2);
  const expected = { ...ROLLED_BACK_V2, orderRevision: at(2, 40) };
  t.deepEqual(known.unwrittenRecords, [expected]);
  known.applyRecord({ ...expected, revision: at(2, 41) });
  t.deepEqual(known.unwrittenRecords, []);
});

test("an order that is unchanged in the copy keeps its record, also at a new process", (t) => {
  const known = openStates(t);
  known.applyOrder(makeOrder("v2", at(2, 10)), false);
  known.applyRecord(ROLLED_BACK_V2);
  t.like(known.records.get("desk"), {
    orderRevision: at(2, 10),
    state: "rolled-back",
  });
});
