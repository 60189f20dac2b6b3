import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as logs from "./decision_log.ts";

const test = ava.default;

test("volume is bounded: routine lines yield first, and what was dropped is said", (t) => {
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
  log.close();
});

test("a reader that stands still blocks nothing and costs a bounded buffer", (t) => {
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
  log.close();
});
