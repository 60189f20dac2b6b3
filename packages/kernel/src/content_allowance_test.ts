/** Tests which streams exceed their allowance of bytes without content. */
import * as ava from "ava";
import * as allowances from "./content_allowance.ts";

const test = ava.default;
const SECONDS_PER_HOUR = 3_600;
const MS_PER_S = 1_000;

test("comments of 1 KB each second never exceed the allowance, also after a pause of the reader", (t) => {
  const allowance = new allowances.ContentAllowance();
  for (let second = 0; second < SECONDS_PER_HOUR; second += 1) {
    allowance.record(1_024, 0, second * MS_PER_S);
    t.false(allowance.isExceeded);
  }
  allowance.record(60 * 1_024, 0, (SECONDS_PER_HOUR + 60) * MS_PER_S);
  t.false(allowance.isExceeded);
});

test("events with short data in any number never exceed the allowance", (t) => {
  const allowance = new allowances.ContentAllowance();
  const event = { data: "x" };
  const bytes = "data: x\n\n".length;
  for (let count = 0; count < 100_000; count += 1) {
    allowance.record(bytes, allowances.measureContent(event), 0);
  }
  t.false(allowance.isExceeded);
});

// Guards against streams that were read until their deadline though they carried nothing.
test("comments and events without data or ID that come without a pause exceed the allowance", (t) => {
  const allowance = new allowances.ContentAllowance();
  const bytes = "data:\n\n".length;
  for (let count = 0; count < 100_000; count += 1) {
    allowance.record(bytes, allowances.measureContent({ data: "" }), 0);
  }
  t.true(allowance.isExceeded);
});
