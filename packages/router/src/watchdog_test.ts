/** The watchdog: a process that is short of processor time knows it. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as watchdogs from "./watchdog.ts";

ava.default(
  "a late check makes the process distrust what it measured, for a second",
  async (t) => {
    const clock = new kernel.ManualClock(5_000);
    const watchdog = new watchdogs.Watchdog(clock);
    const abort = new AbortController();
    let checks = 0;
    const stop = watchdog.watch(() => {
      checks += 1;
      clock.advance(25);
    }, abort.signal);
    while (checks < 3) await kernel.sleep(10);
    t.false(watchdog.isLagging);
    // The timer is due, and has not come: the answer that is read now was delayed here.
    clock.advance(80);
    t.true(watchdog.isLagging);
    clock.advance(500);
    t.true(watchdog.isLagging);
    stop();
    clock.advance(1_100);
    t.false(watchdog.isLagging);
    watchdog.close();
  },
);
