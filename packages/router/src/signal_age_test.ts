/** Tests the bound of a signal's age. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as ages from "./signal_age.ts";

const test = ava.default;
const LAG_MS = 700;

test("a signal that is told of in time has no age", async (t) => {
  const clock = new kernel.ManualClock(5_000);
  const age = new ages.SignalAge(clock);
  t.teardown(() => age.close());
  await kernel.sleep(120);
  clock.advance(60);
  t.is(age.measureMs(), 0);
});

// Guards against LOST: the time for which a signal had waited was taken for time that was left.
test("a signal may be as old as the newest turn of the event loop that is known", async (t) => {
  const clock = new kernel.ManualClock(5_000);
  const age = new ages.SignalAge(clock);
  t.teardown(() => age.close());
  clock.advance(LAG_MS);
  t.is(age.measureMs(), LAG_MS);
  await kernel.sleep(120);
  t.is(age.measureMs(), 0);
});

// Guards against LOST: the timers that were due during a delay run before its signals.
test("a signal that waits during a delay is as old as the delay, though timers run before it", async (t) => {
  const age = new ages.SignalAge(new kernel.SystemClock());
  t.teardown(() => age.close());
  const ageMs = new Promise<number>((resolve) =>
    process.once("SIGUSR2", () => resolve(age.measureMs()))
  );
  await kernel.sleep(120);
  process.kill(process.pid, "SIGUSR2");
  const endAtMs = performance.now() + LAG_MS;
  while (performance.now() < endAtMs);
  await kernel.sleep(120);
  const measuredMs = await ageMs;
  t.true(measuredMs >= LAG_MS, `${measuredMs} ms`);
});
