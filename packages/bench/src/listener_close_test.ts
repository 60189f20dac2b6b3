/** Tests that the close of one of the product's own listeners cuts no answer. */
import * as net from "node:net";
import * as ava from "ava";
import * as hono from "hono";
import * as kernel from "@jackdawbank/kernel";
import * as listeners from "./listener_harness.ts";
import * as harnesses from "./platform_harness.ts";

const BODY = "x".repeat(8_000_000);

// Guards against LOST: an answer that was still being written to a slow caller counted as an idle
// connection, and was cut when its listener was closed at the end of a drain.
ava.default(
  "an answer that is still being written is not cut when its listener closes",
  async (t) => {
    const app = new hono.Hono();
    app.get("/", (context) => context.text(BODY));
    const listener = await listeners.listenGuarded(t, app, 0);
    const socket = net.connect(listener.port, "127.0.0.1");
    socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    socket.pause();
    await kernel.sleep(300);
    const closed = listener.close();
    await kernel.sleep(100);
    const received = harnesses.readToEnd(socket);
    socket.resume();
    const text = await received;
    t.is(text.length - text.indexOf("\r\n\r\n") - 4, BODY.length);
    await closed;
  },
);
