/** The kernel: command handlers, teardowns, timeline, metrics and error responses. */
import * as dgram from "node:dgram";
import * as ava from "ava";
import * as clocks from "./clock.ts";
import * as errors from "./errors.ts";
import * as kernels from "./kernel.ts";
import * as logs from "./log.ts";
import * as metricSinks from "./metrics.ts";
import * as timelines from "./timeline.ts";

const test = ava.default;

function createKernel(): kernels.Kernel {
  const clock = new clocks.ManualClock(1_000);
  return new kernels.Kernel({
    clock,
    metrics: new metricSinks.NullMetrics(),
    log: logs.createLogger({ processId: "test", isJson: true, level: 0 }),
    timeline: new timelines.Timeline(clock, "test"),
    processId: "test",
    incarnation: "test-1",
  });
}

test("handlers run by priority until one returns true, and a teardown removes its handler", async (t) => {
  const kernel = createKernel();
  const command = kernels.createCommand<string>("say");
  const calls: string[] = [];
  const createHandler =
    (name: string, isHandled: boolean) => (text: string) => {
      calls.push(`${name}:${text}`);
      return isHandled;
    };
  kernel.registerCommand(command, createHandler("low", false), {
    priority: kernels.PRIORITY_LOW,
  });
  const undo = kernel.registerCommand(command, createHandler("high", true), {
    priority: kernels.PRIORITY_HIGH,
  });
  kernel.registerCommand(command, createHandler("normal", false));
  t.true(kernel.dispatchCommand(command, "a"));
  await undo();
  t.false(kernel.dispatchCommand(command, "b"));
  t.deepEqual(calls, ["high:a", "normal:b", "low:b"]);
});

test("closing a kernel runs teardowns in reverse order", async (t) => {
  const kernel = createKernel();
  const order: number[] = [];
  kernel.addTeardown(() => void order.push(1));
  kernel.addTeardown(() => void order.push(2));
  await kernel.close();
  t.deepEqual(order, [2, 1]);
});

test("the timeline is bounded, and events are later than a received hybrid time", (t) => {
  const clock = new clocks.ManualClock(1_000);
  const timeline = new timelines.Timeline(clock, "test", 3);
  for (const name of ["a", "b", "c", "d"]) timeline.record(name);
  t.deepEqual(timeline.list().map((event) => event.name), ["b", "c", "d"]);
  t.deepEqual(timeline.list(3).map((event) => event.name), ["d"]);
  timeline.observe({ wallMs: 5_000, count: 7 });
  timeline.record("after");
  t.deepEqual(timeline.list().at(-1)?.time, { wallMs: 5_000, count: 8 });
});

test("metrics are sent to the StatsD address", async (t) => {
  const socket = dgram.createSocket("udp4");
  await new Promise<void>((resolve) => socket.bind(0, "127.0.0.1", resolve));
  const received = new Promise<string>((resolve) =>
    socket.once("message", (data) => resolve(String(data)))
  );
  const metrics = new metricSinks.StatsdMetrics(
    "127.0.0.1",
    socket.address().port,
  );
  metrics.increment("gate.refused", { kind: "leaving" });
  t.regex(await received, /^jackdawbank\.gate\.refused:1\|c/);
  metrics.close();
  socket.close();
});

test("error kinds of requests that may have run never claim that they were not run", (t) => {
  for (const [kind, response] of Object.entries(errors.ERROR_RESPONSES)) {
    t.true(response.status >= 400 && response.status < 600, kind);
    t.true(errors.isErrorKind(kind));
    const mayHaveRun = [
      "outcome-unknown",
      "answer-incomplete",
      "upstream-failed",
      "already-run",
    ]
      .includes(kind);
    if (mayHaveRun) t.is(response.notRun, "unknown", kind);
  }
  t.false(errors.isErrorKind("toString"));
});
