/** Tests that resets of connections are told apart from orderly ends. */
import * as ava from "ava";
import * as net from "node:net";
import * as resets from "./reset_error.ts";

const test = ava.default;
const CONNECTIONS = 60;
const DATA = "HTTP/1.1 200 OK\r\n\r\npart";

/** How connections to a server end that writes once and then ends them. */
async function collectEnds(
  t: ava.ExecutionContext,
  end: (socket: net.Socket) => void,
): Promise<ReadonlySet<string>> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.write(DATA, () => end(socket)));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const connect = resets.markResets<null>((_, callback) => {
    const socket = net.connect(port, "127.0.0.1");
    socket.once("connect", () => callback(null, socket));
  });
  const readEnd = () =>
    new Promise<string>((resolve) =>
      connect(null, (_, socket) => {
        socket?.on("end", () => resolve("end"));
        socket?.on(
          "error",
          (error: NodeJS.ErrnoException) => resolve(`error ${error.code}`),
        );
        socket?.resume();
        socket?.write("go");
      })
    );
  const ends = new Set<string>();
  for (let count = 0; count < CONNECTIONS; count += 1) {
    ends.add(await readEnd());
  }
  return ends;
}

// Guards against MIXED: where data and a reset arrive together, the runtime reports an end.
test("a reset that arrives together with data is an error, not an end", async (t) => {
  const ends = await collectEnds(t, (socket) => socket.resetAndDestroy());
  t.deepEqual([...ends], [`error ${resets.RESET_CODE}`]);
});

test("a reset that arrives after the data is an error", async (t) => {
  const ends = await collectEnds(t, (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 5);
  });
  t.deepEqual([...ends], [`error ${resets.RESET_CODE}`]);
});

test("an orderly end is an end", async (t) => {
  t.deepEqual([...await collectEnds(t, (socket) => socket.end())], ["end"]);
  const ends = await collectEnds(t, (socket) => socket.destroySoon());
  t.deepEqual([...ends], ["end"]);
});
