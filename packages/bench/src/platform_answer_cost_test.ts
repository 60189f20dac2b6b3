/**
 * Tests what the answers of a faulty replica may cost an entry, whatever its bytes
 * frame: the ordinary requests of others are answered, and it is left early.
 */
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as memory from "./memory_harness.ts";

const { ROUTES } = memory;
// Serial, because each test measures a process under load.
const test = ava.default.serial;

const LIMITS: memory.MachineLimits = { memoryMb: 200, fileDescriptors: 700 };
const CALLERS = 60;
/** Ordinary requests one after the other by each of some callers; fewer than the connections to their replica. */
const ORDINARY_REQUESTS = 5;
const ORDINARY_CALLERS = 8;
/** Deadline of an ordinary caller, as in the report of the incident. */
const ORDINARY_HEADERS = { "x-jackdawbank-deadline-ms": "3000" };
const DRAFT = memory.renderHead(
  ROUTES.draft,
  "x-jackdawbank-model: small\r\nx-jackdawbank-token-usage: 60,80\r\n" +
    "content-length: 0\r\n\r\n",
);

const PARTS: readonly fakes.EndlessPart[] = [
  "blank-lines",
  "chunk-size",
  "chunks-of-a-byte",
  "trailers",
  "comments",
  "comment-chunks",
  "small-events",
  "small-event-chunks",
];

// Guards against LOST: what one replica sent took the time of the processor, or the memory, that the
// requests of all others needed.
for (const part of PARTS) {
  test(`others are answered while slow callers ask a replica that sends endless ${part}`, (t) =>
    memory.withSmallMachine(LIMITS, async (machine) => {
      machine.engine.answer = () => ({ type: "endless", part });
      await machine.crowd.send(CALLERS, [DRAFT], { readsAnswers: "slowly" });
      await machine.waitForRequests(machine.engine, 1);
      const callInTurn = async () => {
        const answers: (number | string)[] = [];
        for (let sent = 0; sent < ORDINARY_REQUESTS; sent += 1) {
          answers.push(await machine.callOrdinary(ORDINARY_HEADERS));
        }
        return answers;
      };
      const answers = await Promise.all(
        Array.from({ length: ORDINARY_CALLERS }, callInTurn),
      );
      t.deepEqual(answers.flat().filter((answer) => answer !== 200), []);
      await memory.assertWithinLimits(t, machine, LIMITS);
    }));
}
