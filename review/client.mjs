/** Stand-in for clients: sends single requests and reports how each one ended. */
import * as http from "node:http";

/**
 * Sends a request and resolves with its outcome. The client leaves after `waitMs`,
 * or where `gapMs` is given after such a pause between two pieces of the answer.
 */
export function call({
  address,
  path,
  attempt,
  key,
  waitMs,
  method = "GET",
  headers = {},
  body = "",
  gapMs = Infinity,
  bytesPerS = Infinity,
  agent,
  onData,
}) {
  const startedAtMs = performance.now();
  const [host, port] = address.split(":");
  const state = { status: undefined, body: "" };
  return new Promise((resolve) => {
    let isOver = false;
    let gapTimer;
    const finish = (how) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      clearTimeout(gapTimer);
      const tookMs = Math.round(performance.now() - startedAtMs);
      resolve({ attempt, how, tookMs, ...state });
    };
    const watchGap = () => {
      clearTimeout(gapTimer);
      if (!Number.isFinite(gapMs)) return;
      gapTimer = setTimeout(() => {
        finish("left after a pause");
        request.destroy();
      }, gapMs);
    };
    const request = http.request({
      host,
      port,
      path,
      method,
      agent: agent ?? false,
      headers: {
        host: "shop.example",
        "x-jackdawbank-attempt-id": attempt,
        "x-jackdawbank-deadline-ms": String(waitMs),
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
        ...(body === "" ? {} : { "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      finish("left at its time limit");
      request.destroy();
    }, waitMs);
    request.on("response", (response) => {
      state.status = response.statusCode;
      state.headers = response.headers;
      state.isKept = request.reusedSocket;
      watchGap();
      response.setEncoding("latin1");
      response.on("data", (chunk) => {
        state.body += chunk;
        if (Number.isFinite(bytesPerS)) {
          // A link of this bandwidth takes the next bytes only after these.
          response.pause();
          const pauseMs = 1_000 * chunk.length / bytesPerS;
          setTimeout(() => response.resume(), pauseMs);
        }
        onData?.(state.body);
        watchGap();
      });
      response.on("end", () => finish("whole"));
      response.on("error", () => finish("cut off"));
      response.on("aborted", () => finish("cut off"));
    });
    request.on("error", (error) => finish(`no answer: ${error.code}`));
    request.end(body);
  });
}
