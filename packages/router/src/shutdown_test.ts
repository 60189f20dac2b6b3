/** Tests the schedule of a stop. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as shutdowns from "./shutdown.ts";

const test = ava.default;
const NOW_MS = 50_000;

test("before a stop, every request may be sent, and none is ended", (t) => {
  const shutdown = new shutdowns.ShutdownSchedule(8_000);
  t.true(shutdown.canSend(NOW_MS, Infinity));
  t.false(shutdown.hasEnded(NOW_MS));
});

for (const graceMs of [300, 1_000, 5_000, 8_000, 60_000]) {
  test(`moments of a stop with a grace period of ${graceMs} ms are in order`, (t) => {
    const shutdown = new shutdowns.ShutdownSchedule(graceMs);
    shutdown.start(NOW_MS);
    const { acceptUntilMs, endAtMs, closeAtMs, exitAtMs } = shutdown;
    t.true(NOW_MS < acceptUntilMs && acceptUntilMs < endAtMs);
    t.true(endAtMs < closeAtMs && closeAtMs < exitAtMs);
    t.true(exitAtMs < NOW_MS + graceMs);
    // Requests that are sent within 3 s must run until the last sixth of the period.
    t.true(endAtMs >= NOW_MS + graceMs * 5 / 6);
    t.true(acceptUntilMs < NOW_MS + 3_000);
  });
}

// Guards against LOST: late sends are only those that end by their own deadline.
test("late in the grace period, only a request that ends before the process may be sent", (t) => {
  const shutdown = new shutdowns.ShutdownSchedule(8_000);
  shutdown.start(NOW_MS);
  t.true(shutdown.canSend(shutdown.acceptUntilMs - 1, Infinity));
  t.true(shutdown.canSend(shutdown.acceptUntilMs, shutdown.endAtMs));
  t.false(shutdown.canSend(shutdown.acceptUntilMs, shutdown.endAtMs + 1));
});

// Guards against a kill at the end of the grace period: a silent store or an output that nobody
// reads was waited for, for times of their own that together were more than was left.
test("work that never ends is waited for until its time, and no longer", async (t) => {
  const clock = new kernel.SystemClock();
  const startedAtMs = clock.monotonicMs();
  await shutdowns.waitAtMost(new Promise(() => {}), startedAtMs + 60, clock);
  await shutdowns.waitFor(() => false, startedAtMs + 120, clock);
  const tookMs = clock.monotonicMs() - startedAtMs;
  t.true(tookMs >= 118, `${tookMs} ms`);
  await shutdowns.waitAtMost(Promise.resolve(), startedAtMs + 60_000, clock);
  await shutdowns.waitFor(() => true, startedAtMs + 60_000, clock);
  t.true(clock.monotonicMs() - startedAtMs < 30_000);
});

// Guards against LOST: a process that is told late of its signal has less time.
test("a stop counts from the moment at which its signal may have come", (t) => {
  const shutdown = new shutdowns.ShutdownSchedule(8_000);
  shutdown.start(NOW_MS, 1_000);
  t.is(shutdown.acceptUntilMs, NOW_MS + 1_700);
  t.is(shutdown.endAtMs, NOW_MS + 6_500);
  shutdown.start(NOW_MS, 60_000);
  t.true(shutdown.hasEnded(NOW_MS));
  t.true(shutdown.closeAtMs > NOW_MS);
});

// Guards against runs in vain: a request that had run, and waited for loads, was sent once more
// after all attempts had been ended.
test("nothing is sent after the running requests were ended", (t) => {
  const shutdown = new shutdowns.ShutdownSchedule(8_000);
  shutdown.start(NOW_MS);
  t.true(shutdown.canSend(shutdown.endAtMs - 1, Infinity, true));
  t.false(shutdown.canSend(shutdown.endAtMs, Infinity, true));
});

// Guards against LOST: connections that waited to be accepted when the process stopped accepting were
// accepted one in a turn, and the last ones ended unread.
test("connections that wait to be accepted are accepted, one in each turn", async (t) => {
  let waiting = 30;
  let accepted = 0;
  const accept = () => {
    if (waiting === 0) return;
    waiting -= 1;
    accepted += 1;
    setImmediate(accept);
  };
  setImmediate(accept);
  await shutdowns.acceptPending(() => accepted, new kernel.SystemClock());
  t.is(waiting, 0);
});

test("a process to which connections come without end accepts them for a bounded time", async (t) => {
  let accepted = 0;
  let nowMs = NOW_MS;
  const clock = { monotonicMs: () => nowMs += 10, wallMs: () => NOW_MS };
  await shutdowns.acceptPending(() => accepted += 1, clock);
  t.true(nowMs - NOW_MS < 500, `${nowMs - NOW_MS} ms`);
});
