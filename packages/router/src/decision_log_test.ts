import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as logs from "./decision_log.ts";

const test = ava.default;

test("beyond the rate limit, routine lines are dropped first and the drop is logged", (t) => {
  const clock = new kernel.ManualClock();
  let text = "";
  const log = new logs.DecisionLog(clock, { vm: "edge-1" }, {
    write: (part, onDone) => {
      text += part;
      onDone(null);
    },
  });
  for (let line = 0; line < 5_000; line += 1) {
    log.addRoutine("attempt.sent", { line });
  }
  for (let line = 0; line < 50; line += 1) {
    log.addNotable("attempt.lost", { line });
  }
  log.flush();
  const events = text.trim().split("\n").map((line) =>
    (JSON.parse(line) as { event: string }).event
  );
  t.true(events.length < 700);
  t.is(events.filter((event) => event === "attempt.lost").length, 50);
  t.is(events.filter((event) => event === "log.dropped").length, 1);
  clock.advance(10_000);
  log.addRoutine("attempt.sent", {});
  log.flush();
  t.true(text.trim().endsWith("}"));
  void log.close();
});

test("a blocked output stalls no caller and uses a bounded buffer", (t) => {
  const clock = new kernel.ManualClock();
  let writes = 0;
  const log = new logs.DecisionLog(clock, {}, { write: () => writes += 1 });
  for (let round = 0; round < 2_000; round += 1) {
    clock.advance(100);
    log.addNotable("attempt.lost", { filler: "x".repeat(1_000) });
    log.flush();
  }
  t.is(writes, 1);
  t.true(log.droppedLines > 1_000);
  void log.close();
});

test("lines that were added during a write are written before the log is closed", async (t) => {
  let text = "";
  let finishWrite: (error: Error | null) => void = () => {};
  const log = new logs.DecisionLog(new kernel.ManualClock(), {}, {
    write: (part, onDone) => {
      text += part;
      finishWrite = onDone;
    },
  });
  log.addNotable("first", {});
  log.flush();
  log.addNotable("last", {});
  let isClosed = false;
  const closed = log.close().then(() => isClosed = true);
  finishWrite(null);
  t.true(text.includes('"last"'));
  await Promise.resolve();
  t.false(isClosed);
  finishWrite(null);
  await closed;
  t.true(isClosed);
});
