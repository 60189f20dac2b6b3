/** Tests of the fair queue between accounts. */
import * as ava from "ava";
import * as fc from "fast-check";
import * as queues from "./fair_queue.ts";

const test = ava.default;

interface ItemOptions {
  readonly priority?: number;
  readonly deadlineAtMs?: number;
}

function buildItem(
  account: string,
  value: string,
  { priority = 0, deadlineAtMs = Infinity }: ItemOptions = {},
): queues.QueuedItem<string> {
  return { account, weight: 1, priority, deadlineAtMs, value };
}

function popAccount(queue: queues.FairQueue<string>): string | undefined {
  return queue.pop(0).item?.account;
}

test("an account that was idle is not served ahead of the others for its idle time", (t) => {
  const queue = new queues.FairQueue<string>(1_000);
  for (const account of ["a", "b"]) {
    for (let at = 0; at < 2; at += 1) queue.push(buildItem(account, `${at}`));
  }
  // Both accounts are remembered; "a" alone goes on for long.
  while (popAccount(queue) !== undefined);
  for (let at = 0; at < 200; at += 1) {
    queue.push(buildItem("a", `${at}`));
    popAccount(queue);
  }
  for (let at = 0; at < 50; at += 1) {
    queue.push(buildItem("a", `${at}`));
    queue.push(buildItem("b", `${at}`));
  }
  const first = Array.from({ length: 20 }, () => popAccount(queue));
  const ofB = first.filter((account) => account === "b").length;
  t.true(ofB >= 9 && ofB <= 11, `${ofB} of 20`);
});

test("while two accounts have items, neither is served more than one item ahead, however they arrived", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom("push a", "push b", "pop"), { maxLength: 300 }),
      (steps) => {
        const queue = new queues.FairQueue<string>(10_000);
        for (const step of steps) {
          if (step === "pop") queue.pop(0);
          else queue.push(buildItem(step.slice(-1), ""));
        }
        for (let at = 0; at < 40; at += 1) {
          queue.push(buildItem("a", ""));
          queue.push(buildItem("b", ""));
        }
        let ahead = 0;
        for (let at = 0; at < 40; at += 1) {
          ahead += popAccount(queue) === "a" ? 1 : -1;
          if (Math.abs(ahead) > 2) return false;
        }
        return true;
      },
    ),
    { seed: 17, numRuns: 300 },
  );
  t.pass();
});

test("a smaller capacity returns what no longer fits, and keeps the order within an account", (t) => {
  const queue = new queues.FairQueue<string>(100);
  for (let at = 0; at < 10; at += 1) queue.push(buildItem("a", `a${at}`));
  for (let at = 0; at < 2; at += 1) queue.push(buildItem("b", `b${at}`));
  const evicted = queue.setCapacity(6);
  t.deepEqual(
    evicted.map(({ value }) => value),
    ["a9", "a8", "a7", "a6", "a5", "a4"],
  );
  t.is(queue.length, 6);
  const values: string[] = [];
  for (let item = queue.pop(0).item; item; item = queue.pop(0).item) {
    values.push(item.value);
  }
  t.deepEqual(values.filter((value) => value.startsWith("a")), [
    "a0",
    "a1",
    "a2",
    "a3",
  ]);
  t.deepEqual(values.filter((value) => value.startsWith("b")), ["b0", "b1"]);
});

test("expired items are removed without a pop, the others keep their order", (t) => {
  const queue = new queues.FairQueue<string>(100);
  queue.push(buildItem("a", "late", { deadlineAtMs: 10 }));
  queue.push(buildItem("a", "first"));
  queue.push(buildItem("a", "urgent", { priority: 1, deadlineAtMs: 30 }));
  t.deepEqual(queue.removeExpired(9), []);
  t.deepEqual(queue.removeExpired(10).map(({ value }) => value), ["late"]);
  t.is(queue.length, 2);
  t.is(queue.pop(20).item?.value, "urgent");
  t.is(queue.pop(20).item?.value, "first");
});
