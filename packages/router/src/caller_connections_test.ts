/** Tests when connections of callers are ended. */
import * as net from "node:net";
import * as ava from "ava";
import * as callerConnections from "./caller_connections.ts";

const test = ava.default;

async function accept(t: ava.ExecutionContext): Promise<{
  readonly connections: callerConnections.CallerConnections;
  readonly socket: net.Socket;
  readonly caller: net.Socket;
}> {
  const connections = new callerConnections.CallerConnections({
    maxConnections: 10,
    onOpened: () => {},
    onClosed: () => {},
    onRefused: () => {},
  });
  const server = net.createServer({ allowHalfOpen: true });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const caller = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  const socket = await new Promise<net.Socket>((resolve) =>
    server.once("connection", resolve)
  );
  connections.accept(socket);
  t.teardown(() => {
    caller.destroy();
    socket.destroy();
    server.close();
  });
  return { connections, socket, caller };
}

// Guards against LOST: a request for which there was no memory closed the connection at once,
// though the request before it had been passed on.
test("a request that is refused behind another one ends the connection after its answer", async (t) => {
  const { connections, socket } = await accept(t);
  const [first, second] = [() => {}, () => {}];
  t.true(connections.startRequest(socket, first));
  t.false(connections.refuseBehindOthers(socket));
  connections.endBody(socket);
  t.true(connections.startRequest(socket, second));
  t.true(connections.refuseBehindOthers(socket));
  connections.endRequest(socket, second);
  t.false(socket.destroyed);
  t.false(socket.writableEnded);
  t.false(connections.startRequest(socket, () => {}));
  connections.endRequest(socket, first);
  t.true(socket.writableEnded);
});
