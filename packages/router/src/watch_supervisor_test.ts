/** Tests when a watch whose answer seems to be lost is sent again. */
import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as logs from "./decision_log.ts";
import * as supervisors from "./watch_supervisor.ts";

const test = ava.default;
/** Time for the supervisor's own timer, which runs on the system clock. */
const TIMER_MS = 120;

function createSupervisor(t: ava.ExecutionContext, changeBoundMs: number) {
  const clock = new kernel.ManualClock(50_000);
  const log = new logs.DecisionLog(clock, {}, {
    write: (_text, onDone) => onDone(null),
  });
  t.teardown(() => log.close());
  const supervisor = new supervisors.WatchSupervisor({
    clock,
    log,
    random: () => 0.5,
    changeBoundMs,
    readViewAgeMs: () => 0,
  });
  const watch = () => {
    const interruption = new AbortController();
    const stop = supervisor.supervise(8_000, interruption);
    t.teardown(stop);
    return { signal: interruption.signal, stop };
  };
  return { clock, supervisor, watch };
}

// Guards against CONFIG and DRAIN: with a fixed patience of 1.5 s, checked only when reports
// arrived, a machine whose watch was lost followed a change after more than its bound.
test("after one report of a newer revision a lost watch is sent again within the bound, twice if need be", async (t) => {
  for (const changeBoundMs of [2_000, 3_000, 4_000]) {
    const { clock, supervisor, watch } = createSupervisor(t, changeBoundMs);
    const first = watch();
    // The peer itself was in the pause after a watch when the change was made.
    let passedMs = decisions.computeWatchPauseMs(changeBoundMs);
    supervisor.recordNews(21);
    const waitFor = async (signal: AbortSignal) => {
      while (!signal.aborted && passedMs < changeBoundMs) {
        clock.advance(50);
        passedMs += 50;
        await kernel.sleep(TIMER_MS / 2);
      }
    };
    await waitFor(first.signal);
    first.stop();
    const second = watch();
    await waitFor(second.signal);
    t.true(second.signal.aborted);
    t.true(passedMs < changeBoundMs, `${passedMs} of ${changeBoundMs} ms`);
  }
});

test("the pause before a watch does not count as delay of its answer", async (t) => {
  const { clock, supervisor, watch } = createSupervisor(t, 2_000);
  supervisor.recordNews(21);
  clock.advance(600);
  const { signal } = watch();
  clock.advance(100);
  await kernel.sleep(TIMER_MS);
  t.false(signal.aborted);
});

test("an answer that was sent for before the news does not end the patience; a later one does", async (t) => {
  const { clock, supervisor, watch } = createSupervisor(t, 2_000);
  watch().stop();
  clock.advance(10);
  supervisor.recordNews(21);
  supervisor.recordAnswer(20);
  const { signal, stop } = watch();
  clock.advance(400);
  await kernel.sleep(TIMER_MS);
  t.true(signal.aborted);
  stop();
  // A report that the control plane itself contradicts is not believed again.
  watch();
  supervisor.recordAnswer(20);
  const next = watch();
  clock.advance(2_000);
  await kernel.sleep(TIMER_MS);
  t.false(next.signal.aborted);
});

test("a slow control plane is given more time after each interruption", async (t) => {
  const { clock, supervisor, watch } = createSupervisor(t, 2_000);
  supervisor.recordNews(21);
  const patiences: number[] = [];
  for (let round = 0; round < 4; round += 1) {
    const { signal, stop } = watch();
    let waitedMs = 0;
    while (!signal.aborted) {
      clock.advance(100);
      waitedMs += 100;
      await kernel.sleep(TIMER_MS / 2);
    }
    stop();
    patiences.push(waitedMs);
  }
  t.true(
    patiences.every((each, index) =>
      index === 0 || each > (patiences[index - 1] as number)
    ),
    patiences.join(", "),
  );
});
