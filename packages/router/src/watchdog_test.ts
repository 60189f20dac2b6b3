/** Detection of event loop lag by the watchdog. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as watchdogs from "./watchdog.ts";

ava.default(
  "a late check marks the process as lagging for one second",
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
    // The timer is overdue, so a response read now was delayed by this process.
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
