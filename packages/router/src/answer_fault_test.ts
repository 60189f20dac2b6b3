/** Tests that answers whose bytes are no answer are given up, whatever the bytes frame. */
import * as net from "node:net";
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as attempts from "./attempt.ts";
import * as connections from "./connections.ts";

const test = ava.default;
/** Well above the framing of any answer. */
const MAX_RECEIVED_BYTES = 1_048_576;

interface EndedAttempt {
  readonly attempt: attempts.Attempt;
  readonly end: attempts.AttemptEnd;
}

async function runAttempt(
  t: ava.ExecutionContext,
  part: fakes.EndlessPart,
): Promise<EndedAttempt> {
  const server = net.createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.once("data", () => fakes.sendEndlessBytes(socket, part, {}));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const pool = new connections.ConnectionPool(
    { host: "127.0.0.1", port },
    { limit: 4, onOpened: () => {} },
  );
  t.teardown(() => pool.close());
  return await new Promise((resolve) => {
    const attempt = new attempts.Attempt(
      pool,
      pool.acquire(true) as connections.Connection,
      { method: "GET", path: "/", headers: [], body: Buffer.alloc(0) },
      {
        onHead: () => {},
        onData: () => {},
        onEnd: (end) => resolve({ attempt, end }),
      },
    );
  });
}

// Guards against gigabytes read for one request: what framed a body was not counted.
for (
  const part of ["blank-lines", "chunk-size", "chunks-of-a-byte"] as const
) {
  test(`an answer of endless ${part} is given up after few bytes`, async (t) => {
    const { attempt, end } = await runAttempt(t, part);
    t.true(end.type === "lost" && end.isGivenUp);
    t.is(attempt.fault, "framing");
    t.true(attempt.answerBytes.receivedBytes <= MAX_RECEIVED_BYTES);
  });
}

// Guards against a tenth of a second of the processor's time for each such answer.
test("an answer of endless trailers ends after one read", async (t) => {
  const { attempt, end } = await runAttempt(t, "trailers");
  t.is(end.type, "lost");
  t.true(attempt.answerBytes.receivedBytes <= MAX_RECEIVED_BYTES);
});
