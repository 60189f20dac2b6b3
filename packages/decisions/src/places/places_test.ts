/** Tests of the decisions on data centres; each names the load or failure that it guards against. */
import * as ava from "ava";
import * as evacuations from "./evacuation.ts";
import * as homes from "./homes.ts";

const test = ava.default;
const REGION_BY_DATA_CENTRE = new Map([
  ["a1", "a"],
  ["a2", "a"],
  ["b1", "b"],
]);

// Load: all processes would send every request to the idle replicas of a data centre that returns.
test("load returns to a data centre by shares, and soon after a short evacuation", (t) => {
  const orders = new evacuations.EvacuationOrders();
  t.true(orders.begin("a1", 0));
  t.false(orders.begin("a1", 9_000));
  t.is(orders.end("a1", 10_000), 10_000);
  const countReturned = (nowMs: number) =>
    [0.1, 0.3, 0.5, 0.7, 0.9].filter((fraction) =>
      orders.findHeldBack(fraction, nowMs) === undefined
    ).length;
  t.is(countReturned(10_000), 0);
  t.true(countReturned(10_800) >= 1 && countReturned(10_800) <= 2);
  t.is(countReturned(12_950), 5);
  t.true(orders.isReturning);
  t.is(countReturned(13_000), 5);
  t.false(orders.isReturning);
  orders.begin("a1", 20_000);
  orders.end("a1", 20_200);
  t.is(countReturned(20_200), 0);
  t.is(countReturned(20_400), 5);
});

// Failure: two orders overlap, and the end of one, or an order in the midst of a return, ends the other.
test("orders of two data centres begin and end apart, also during a return", (t) => {
  const orders = new evacuations.EvacuationOrders();
  orders.begin("a1", 0);
  orders.begin("b1", 1_000);
  orders.end("a1", 5_000);
  t.deepEqual(orders.list(), ["b1"]);
  t.deepEqual([...orders.findHeldBack(0.9, 5_100) ?? []], ["a1"]);
  orders.begin("a1", 5_200);
  t.is(orders.findHeldBack(0.9, 5_300), undefined);
  t.deepEqual(orders.list(), ["b1", "a1"]);
  t.is(orders.end("c1", 5_400), undefined);
});

// Failure: a key without a name, or with one that no replica can have, and a flood of orders.
test("names that no data centre has are told apart, and orders are bounded", (t) => {
  for (const name of ["", "a b", "z\u0000", "z".repeat(257), "zürich"]) {
    t.false(evacuations.isDataCentreName(name), JSON.stringify(name));
  }
  t.true(evacuations.isDataCentreName("ee-north-a"));
  const orders = new evacuations.EvacuationOrders();
  const begun = Array.from(
    { length: 300 },
    (_, index) => orders.begin(`z${index}`, 0),
  );
  t.is(begun.filter(Boolean).length, 256);
});

// Failure: homes that nothing satisfies must not permit every data centre.
test("homes of route and account both bind, and unknown regions permit nothing", (t) => {
  const find = (...lists: readonly (readonly string[])[]) => {
    const found = homes.findHomeDataCentres(lists, REGION_BY_DATA_CENTRE);
    return found && [...found];
  };
  t.is(find([], []), undefined);
  t.deepEqual(find(["a"], []), ["a1", "a2"]);
  t.deepEqual(find(["a", "b"], ["b"]), ["b1"]);
  t.deepEqual(find(["a"], ["b"]), []);
  t.deepEqual(find(["a1"]), []);
  const unknown = homes.findUnknownRegions(["a", "a1"], REGION_BY_DATA_CENTRE);
  t.deepEqual(unknown, ["a1"]);
});
