/** Tests a stop whose signal the process is told of late. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./memory_harness.ts";

const test = ava.default.serial;
/** As the settings state it; the platform kills the process then. */
const GRACE_MS = 4_000;
const DELAY_MS = 1_500;
const LIMITS = { memoryMb: 200, fileDescriptors: 1_024 };

// Guards against LOST: a process that was told of its signal after 1.5 s ended its requests by its
// own count, after the platform had killed it.
test("requests are ended within the grace period though the signal was told of late", (t) =>
  harnesses.withSmallMachine(LIMITS, async (machine) => {
    const { entry, desk } = machine;
    desk.answer = () => ({ type: "hang" });
    const before = desk.received.length;
    const call = machine.callOrdinary();
    while (desk.received.length === before) await kernel.sleep(5);
    entry.suspend();
    entry.sendSignal("SIGTERM");
    const signalAtMs = performance.now();
    await kernel.sleep(DELAY_MS);
    entry.resume();
    t.regex(String(await call), /^502 /);
    const tookMs = performance.now() - signalAtMs;
    t.true(tookMs >= GRACE_MS * 5 / 6, `${tookMs} ms`);
    t.is(await entry.waitForExit(), 0);
    const exitedMs = performance.now() - signalAtMs;
    t.log(`answered after ${tookMs} ms, exited after ${exitedMs} ms`);
    t.true(exitedMs < GRACE_MS, `${exitedMs} ms`);
  }));
