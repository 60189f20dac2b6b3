import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as splitting from "./event_splitter.ts";

const test = ava.default;

test("complete events are returned unchanged for any chunk boundaries", (t) => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 1, max: 12 }),
      fastCheck.constantFrom("\n", "\r\n"),
      fastCheck.array(fastCheck.integer({ min: 1, max: 23 }), { minLength: 1 }),
      fastCheck.integer({ min: 0, max: 9 }),
      (count, lineEnd, chunkSizes, tailLength) => {
        const events = Array.from(
          { length: count },
          (_, index) =>
            `id: ${index + 1}${lineEnd}data: päce ${index}${lineEnd}${lineEnd}`,
        );
        const completeText = events.join("");
        const tail = `id: 99${lineEnd}data: x`.slice(0, tailLength);
        const bytes = Buffer.from(completeText + tail);
        const splitter = new splitting.EventSplitter({ checksIds: true });
        const forwarded: Buffer[] = [];
        for (let offset = 0, step = 0; offset < bytes.length; step += 1) {
          const size = chunkSizes[step % chunkSizes.length] as number;
          const complete = splitter.push(
            bytes.subarray(offset, offset + size),
            0,
          );
          if (complete !== undefined) forwarded.push(complete.bytes);
          offset += size;
        }
        return Buffer.concat(forwarded).toString() === completeText &&
          splitter.count === count &&
          splitter.lastEventId === String(count) &&
          splitter.hasPartialEvent === (tailLength > 0);
      },
    ),
  );
  t.pass();
});

// Guards against a process that stands still: each byte of an event copied all bytes before it.
test("an event that arrives byte by byte is split at a cost linear in its bytes", (t) => {
  const splitter = new splitting.EventSplitter({ checksIds: true });
  for (const byte of Buffer.from(`data: ${"x".repeat(600_000)}\n\n`)) {
    splitter.push(Buffer.of(byte), 0);
  }
  t.is(splitter.count, 1);
  t.is(splitter.fault, undefined);
});

test("events before one with an invalid ID in the same chunk are forwarded, later ones are not", (t) => {
  const splitter = new splitting.EventSplitter({ checksIds: true });
  const valid = "id: 1\ndata: a\n\n";
  const chunk = `${valid}id: 2\u0001\ndata: b\n\nid: 3\ndata: c\n\n`;
  const complete = splitter.push(Buffer.from(chunk), 0);
  t.is(complete?.bytes.toString(), valid);
  t.is(complete?.count, 1);
  t.is(splitter.lastEventId, "1");
  t.is(splitter.fault, "invalid-id");
});
