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
          const complete = splitter.push(bytes.subarray(offset, offset + size));
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
