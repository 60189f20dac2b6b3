/** Tests streams whose events have ids that are hard, or impossible, to resume from. */
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, DRAFT, withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;
const ALL_IDS = [1, 2, 3, 4, 5, 6];

function buildStreamText(ids: readonly string[]): string {
  const events = ids.map((id, at) => `id: ${id}\ndata: piece ${at + 1}\n\n`);
  return "HTTP/1.1 200 OK\r\nx-jackdawbank-attempt-id: ATTEMPT\r\n" +
    "x-jackdawbank-response-signature: RECEIPT\r\n" +
    "x-jackdawbank-routing-confidence: 90\r\n" +
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n" +
    events.map((event) => `${event.length.toString(16)}\r\n${event}\r\n`)
      .join("");
}

/** Adds two replicas; the first answer consists of events with these ids, in latin1. */
async function startWithFirstIds(
  harness: harnesses.PlatformHarness,
  ids: readonly string[],
  then: "close" | "keep",
): Promise<readonly fakes.FakeReplica[]> {
  let runs = 0;
  const answer = (): fakes.ReplicaBehaviour => {
    runs += 1;
    return runs > 1 ? { type: "stream", events: 6, confidence: 90 } : {
      type: "raw",
      text: buildStreamText(ids),
      encoding: "latin1",
      then,
    };
  };
  const replicas = [
    await harness.addReplica("i-1", "llm", answer),
    await harness.addReplica("i-2", "llm", answer),
  ];
  await harness.start();
  return replicas;
}

// Guards against ORDER and lost streams: from an event whose id could not be sent back, a broken
// stream was not resumed; sound replicas were asked for it and counted as failing.
for (
  const { what, id } of [
    { what: "a byte that is no text", id: "\xf33" },
    { what: "a control character", id: "3\x01" },
  ]
) {
  for (const then of ["close", "keep"] as const) {
    test(`a stream with ${what} in an event's id continues from the event before, then ${then}`, (t) =>
      withHarness(async (harness) => {
        const replicas = await startWithFirstIds(
          harness,
          ["1", "2", id],
          then,
        );
        const got = await harness.call(ROUTES.draft, DRAFT);
        t.false(got.isTruncated);
        t.deepEqual(fakes.listEventIds(got.body), ALL_IDS);
        const received = replicas.flatMap((replica) => replica.received);
        t.is(received.length, 2);
        t.deepEqual(
          received.map(({ headers }) => headers["last-event-id"]).toSorted(),
          ["2", undefined],
        );
      }));
  }
}

test("a broken stream is resumed from an id beyond ASCII with the bytes of that id", (t) =>
  withHarness(async (harness) => {
    const id = Buffer.from("2ä", "utf8").toString("latin1");
    const replicas = await startWithFirstIds(harness, ["1", id], "close");
    await harness.call(ROUTES.draft, DRAFT);
    const ids = replicas.flatMap(({ received }) =>
      received.map(({ headers }) => headers["last-event-id"])
    );
    t.true(ids.includes(id), JSON.stringify(ids));
  }));

test("ids are not checked where a stream cannot be resumed", (t) =>
  withHarness(async (harness) => {
    const { routes, ...rest } = harnesses.buildConfiguration() as {
      readonly routes: readonly Readonly<Record<string, unknown>>[];
    };
    harness.store.putConfiguration({
      ...rest,
      routes: routes.map((route) => ({ ...route, streamResume: false })),
    });
    await startWithFirstIds(harness, ["1", "\xf32", "3"], "close");
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.deepEqual(fakes.listEventIds(got.body), [1, 3]);
    t.true(got.body.includes("data: piece 2\n"));
  }));
