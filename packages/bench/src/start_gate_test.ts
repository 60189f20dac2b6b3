/** Tests how many starts run at a time. */
import * as ava from "ava";
import * as gates from "./start_gate.ts";

const test = ava.default;

test("a limited number of starts runs at a time, in the order of the calls, also if some fail", async (t) => {
  const gate = new gates.StartGate(2);
  const begun: number[] = [];
  const ends: (() => void)[] = [];
  const starts = Array.from({ length: 5 }, (_, at) =>
    gate.run(async () => {
      begun.push(at);
      await new Promise<void>((resolve) => ends.push(resolve));
      if (at % 2 === 0) throw new Error(`start ${at}`);
      return at;
    }));
  const settled = Promise.allSettled(starts);
  for (let ended = 0; ended < 5; ended += 1) {
    await new Promise((resolve) => setImmediate(resolve));
    t.deepEqual(begun.length, Math.min(5, ended + 2));
    ends[ended]?.();
  }
  const results = await settled;
  t.deepEqual(begun, [0, 1, 2, 3, 4]);
  t.deepEqual(results.map(({ status }) => status === "fulfilled"), [
    false,
    true,
    false,
    true,
    false,
  ]);
});
