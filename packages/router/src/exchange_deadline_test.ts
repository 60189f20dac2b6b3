/** Tests the deadline that is held outside of an exchange. */
import * as net from "node:net";
import * as ava from "ava";
import * as deadlines from "./exchange_deadline.ts";

const test = ava.default;
/** Longer than the time after the deadline in which an exchange may end by itself. */
const STALL_MS = 500;

async function connectPair(
  t: ava.ExecutionContext,
): Promise<readonly [net.Socket, net.Socket]> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const accepted = new Promise<net.Socket>((resolve) =>
    server.once("connection", resolve)
  );
  const near = net.connect(port, "127.0.0.1");
  const far = await accepted;
  t.teardown(() => {
    near.destroy();
    far.destroy();
    server.close();
  });
  return [near, far];
}

// Guards against LOST: after a delay of the process, the timer fired before the answer that had
// arrived in time was read, and its caller was told of an internal error.
test("an answer that arrived while the process stood still is not taken for overdue", async (t) => {
  const [near, far] = await connectPair(t);
  const answer = new Promise<string>((resolve) =>
    near.once("data", (bytes: Buffer) => resolve(bytes.toString()))
  );
  const exchange = deadlines.enforceDeadline(answer, 0);
  far.write("whole");
  const standsStillUntilMs = performance.now() + STALL_MS;
  while (performance.now() < standsStillUntilMs);
  t.is(await exchange, "whole");
});

test("an exchange that never ends is overdue", async (t) => {
  await t.throwsAsync(
    deadlines.enforceDeadline(new Promise<void>(() => {}), 0),
    { instanceOf: deadlines.ExchangeOverdueError },
  );
});
