/** Detection of event loop lag by the watchdog. */
import * as net from "node:net";
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as watchdogs from "./watchdog.ts";

ava.default(
  "a late check marks the process as lagging for one second",
  async (t) => {
    const clock = new kernel.ManualClock(5_000);
    const watchdog = new watchdogs.Watchdog(clock, () => {});
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

ava.default("the lag of late checks adds up", async (t) => {
  const clock = new kernel.ManualClock(5_000);
  const watchdog = new watchdogs.Watchdog(clock, () => {});
  let checks = 0;
  watchdog.watch(() => {
    checks += 1;
    clock.advance(25);
  }, new AbortController().signal);
  while (checks < 3) await kernel.sleep(10);
  t.is(watchdog.totalLagMs, 0);
  clock.advance(30);
  t.is(watchdog.totalLagMs, 0, "small delays of a timer are usual");
  clock.advance(50);
  t.is(watchdog.totalLagMs, 80, "the overdue check counts before it runs");
  const checksBefore = checks;
  while (checks < checksBefore + 3) await kernel.sleep(10);
  t.is(watchdog.totalLagMs, 80);
  clock.advance(100);
  t.is(watchdog.totalLagMs, 180);
  watchdog.close();
});

// Guards against CONFIG: one check that threw kept all checks after it from their deadlines.
ava.default(
  "a check that throws does not keep the others from running",
  async (t) => {
    const clock = new kernel.SystemClock();
    const faults: unknown[] = [];
    const watchdog = new watchdogs.Watchdog(
      clock,
      (thrown) => faults.push(thrown),
    );
    const { signal } = new AbortController();
    const fault = new Error("broken check");
    watchdog.watch(() => {
      throw fault;
    }, signal);
    let checks = 0;
    watchdog.watch(() => checks += 1, signal);
    await kernel.sleep(120);
    watchdog.close();
    t.true(checks >= 2, `${checks} checks`);
    t.is(faults.at(0), fault);
  },
);

// Guards against LOST: after a delay of this process, a stream was given up as stalled though its
// events had arrived and were not read yet.
ava.default(
  "what has arrived during a delay is read before a check",
  async (t) => {
    const server = net.createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as net.AddressInfo;
    const accepted = new Promise<net.Socket>((resolve) =>
      server.once("connection", resolve)
    );
    const receiver = net.connect(port, "127.0.0.1");
    const sender = await accepted;
    const watchdog = new watchdogs.Watchdog(new kernel.SystemClock(), () => {});
    t.teardown(() => {
      watchdog.close();
      receiver.destroy();
      sender.destroy();
      server.close();
    });
    const order: string[] = [];
    receiver.on("data", () => order.push("data"));
    watchdog.watch(() => order.push("check"), new AbortController().signal);
    await kernel.sleep(100);
    order.length = 0;
    sender.write("event");
    const endAtMs = performance.now() + 100;
    while (performance.now() < endAtMs);
    await kernel.sleep(100);
    t.is(order[0], "data");
    t.true(order.includes("check"));
  },
);
