/** Tests that a store which sends bytes without end is cut off, whatever they are. */
import * as net from "node:net";
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as platform from "@jackdawbank/platform";
import * as stores from "@jackdawbank/store";

// Serial, because both ends run in this process.
const test = ava.default.serial;

/** Above the largest answer that is read, with what both ends buffer. */
const MAX_TAKEN_BYTES = 40 * 1_048_576;
const PARTS = [
  "garbage",
  "header-line",
  "headers",
  "informational",
  "body",
  "failure-body",
  "chunk-extension",
] as const;

/** Starts a store that answers any request without end; counts what is taken of it. */
async function startEndlessStore(
  t: ava.ExecutionContext,
  part: typeof PARTS[number],
) {
  const counter = { takenBytes: 0 };
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    const count = () => {
      counter.takenBytes = Math.max(counter.takenBytes, socket.bytesWritten);
      // A client without a bound would take all memory.
      if (socket.bytesWritten > 2 * MAX_TAKEN_BYTES) socket.destroy();
    };
    const timer = setInterval(count, 1);
    socket.once("close", () => {
      clearInterval(timer);
      count();
    });
    socket.once("data", () => fakes.sendEndlessBytes(socket, part, {}));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { port, counter };
}

for (const part of PARTS) {
  test(`platform: an endless ${part} of the store is cut off, in a full read and in a watch`, async (t) => {
    const { port, counter } = await startEndlessStore(t, part);
    const store = new platform.PlatformStore({ host: "127.0.0.1", port });
    const { signal } = new AbortController();
    t.true((await store.readAll()).isErr());
    t.true((await store.waitForChanges(1, 100, signal)).isErr());
    await store.close();
    t.log(`${counter.takenBytes} bytes`);
    t.true(counter.takenBytes <= MAX_TAKEN_BYTES);
  });

  test(`an endless ${part} of the store is cut off, in a list and in a watch`, async (t) => {
    const { port, counter } = await startEndlessStore(t, part);
    // Long enough that the size decides, not the time.
    const store = new stores.EtcdStore(`http://127.0.0.1:${port}`, 20_000);
    const { signal } = new AbortController();
    t.true((await store.list("bills/")).isErr());
    await store.watchOnce("bundle", { afterModRevision: "1", signal });
    await store.close();
    t.log(`${counter.takenBytes} bytes`);
    t.true(counter.takenBytes <= MAX_TAKEN_BYTES);
  });
}
