/** Tests of the claim journal's driver against a store that the test controls. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as neverthrow from "neverthrow";
import * as drivers from "./claim_journal_driver.ts";

const test = ava.default;
const JOURNAL = { service: "orders", partition: 0 };

function buildServices(errors: string[]): kernel.KernelServices {
  const clock = new kernel.ManualClock();
  return {
    clock,
    log: { error: (message: string) => errors.push(message) },
    metrics: { increment: () => {} },
    timeline: { record: () => {} },
    processId: "order-a",
    incarnation: "order-a.1",
  } as unknown as kernel.KernelServices;
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("a write counts only once the store has answered", async (t) => {
  let answer: (result: kernel.Outcome<stores.CreateResult>) => void = () => {};
  const store = {
    get: () => Promise.resolve(neverthrow.ok(undefined)),
    create: () =>
      new Promise((resolve) => {
        answer = resolve;
      }),
  } as unknown as stores.Store;
  const driver = new drivers.ClaimJournalDriver(buildServices([]), {
    store,
    journalId: JOURNAL,
    retentionMs: 60_000,
  });
  t.teardown(() => driver.close());
  void driver.claim(
    { claimId: "c1", key: "k", bodyHash: "h", voided: [] },
    5_000,
  );
  await settle();
  t.is(driver.writes, 0);
  answer(neverthrow.ok({ type: "created" }));
  await settle();
  t.is(driver.writes, 1);
});

test("an unreadable snapshot is logged", async (t) => {
  const errors: string[] = [];
  const store = {
    get: (key: string) =>
      Promise.resolve(
        neverthrow.ok({ key, value: "not a snapshot", modRevision: "1" }),
      ),
  } as unknown as stores.Store;
  const driver = new drivers.ClaimJournalDriver(buildServices(errors), {
    store,
    journalId: JOURNAL,
    retentionMs: 60_000,
  });
  t.teardown(() => driver.close());
  void driver.claim(
    { claimId: "c1", key: "k", bodyHash: "h", voided: [] },
    5_000,
  );
  await settle();
  t.true(errors.some((message) => message.includes("snapshot")));
});
