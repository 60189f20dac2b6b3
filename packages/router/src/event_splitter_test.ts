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
      (count, lineEnd, cuts, tailLength) => {
        const events = Array.from(
          { length: count },
          (_, index) =>
            `id: ${index + 1}${lineEnd}data: päce ${index}${lineEnd}${lineEnd}`,
        );
        const whole = events.join("");
        const tail = `id: 99${lineEnd}data: x`.slice(0, tailLength);
        const bytes = Buffer.from(whole + tail);
        const splitter = new splitting.EventSplitter();
        const out: Buffer[] = [];
        for (let offset = 0, step = 0; offset < bytes.length; step += 1) {
          const size = cuts[step % cuts.length] as number;
          const part = splitter.push(bytes.subarray(offset, offset + size));
          if (part !== undefined) out.push(part.bytes);
          offset += size;
        }
        return Buffer.concat(out).toString() === whole &&
          splitter.count === count &&
          splitter.lastEventId === String(count) &&
          splitter.hasPartialEvent === (tailLength > 0);
      },
    ),
  );
  t.pass();
});
