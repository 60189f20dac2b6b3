/** Tests the interim responses of the product's own listeners. */
import * as net from "node:net";
import * as ava from "ava";
import * as hono from "hono";
import * as kernel from "@jackdawbank/kernel";
import * as listeners from "./listener_harness.ts";
import * as harnesses from "./platform_harness.ts";

const HEAD = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n";

// Guards against MIXED: the runtime wrote the interim response to a request behind another one after
// the head of its final response, where its caller took it for a part of the body.
ava.default(
  "an interim response of an own listener comes before the head of the final one",
  async (t) => {
    let count = 0;
    const app = new hono.Hono();
    app.post("/", async (context) => {
      count += 1;
      if (count === 1) await kernel.sleep(200);
      return context.body(new TextEncoder().encode("answer"));
    });
    const listener = await listeners.listenGuarded(t, app, 100);
    const socket = net.connect(listener.port, "127.0.0.1");
    const received = harnesses.readToEnd(socket);
    socket.write(`${HEAD}\r\nx${HEAD}expect: 100-continue\r\n\r\nx`);
    await kernel.sleep(500);
    socket.end();
    const answer = "HTTP/1\\.1 200 OK\r\n(?:[^\r]+\r\n)+\r\nanswer";
    const interim = "(?:HTTP/1\\.1 100 Continue\r\n\r\n)?";
    t.regex(
      await received,
      new RegExp(`^${answer}${interim}${answer}$`),
    );
    await listener.close();
  },
);
