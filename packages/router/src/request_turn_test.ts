/** Tests the wait of a request for its turn on its connection. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as bodies from "./body_reader.ts";
import * as budgets from "./memory_budget.ts";
import * as turns from "./request_turn.ts";

const test = ava.default;
const BODY = Buffer.alloc(2_000_000);

function openHold(t: ava.ExecutionContext): {
  readonly budget: budgets.MemoryBudget;
  readonly hold: budgets.RequestHold;
} {
  const budget = new budgets.MemoryBudget({
    limitBytes: 3_000_000,
    clock: new kernel.SystemClock(),
    onYield: () => {},
  });
  t.teardown(() => budget.close());
  const hold = budget.open("10.0.0.1");
  hold.begin("running");
  hold.setBodyBytes(BODY.length);
  return { budget, hold };
}

// Guards against memory that is held for callers that send more than they are answered.
test("a request that waits for its turn gives way to others, and is not run", async (t) => {
  const { budget, hold } = openHold(t);
  let takeTurn = () => {};
  const held = turns.holdUntilTurn(BODY, {
    hold,
    signal: new AbortController().signal,
    waitForTurn: (callback) => takeTurn = callback,
  });
  t.is(budget.bytesByStage.running, 0);
  const other = budget.open("10.0.0.2");
  t.true(other.setBodyBytes(BODY.length));
  t.is(hold.bodyBytes, 0);
  takeTurn();
  await t.throwsAsync(held, { instanceOf: bodies.RequestReadError });
});

test("a request whose turn it is runs, and does not give way", async (t) => {
  const { budget, hold } = openHold(t);
  const signal = new AbortController().signal;
  const waitForTurn = (callback: () => void) => callback();
  const body = await turns.holdUntilTurn(BODY, { hold, signal, waitForTurn });
  t.is(body, BODY);
  budget.open("10.0.0.2").setBodyBytes(BODY.length);
  t.is(hold.bodyBytes, BODY.length);
});

test("the wait ends when the connection closes", async (t) => {
  const { hold } = openHold(t);
  const abort = new AbortController();
  const held = turns.holdUntilTurn(BODY, {
    hold,
    signal: abort.signal,
    waitForTurn: () => {},
  });
  abort.abort();
  t.is(await held, BODY);
});
