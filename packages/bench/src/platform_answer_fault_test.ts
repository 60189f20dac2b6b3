/** Tests answers of replicas that are repeated, cut, or followed by an error. */
import * as ava from "ava";
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as harnesses from "./platform_harness.ts";

const test = ava.default.serial;
const { ROUTES, DRAFT, withHarness } = harnesses;

const ID_LINE = "x-jackdawbank-attempt-id: ATTEMPT\r\n";
const REFUSAL_LINES =
  "HTTP/1.1 503 Full\r\nx-jackdawbank-not-executed: 1\r\ncontent-length: 0\r\n";
const EVENTS = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
const REPEATED_CALLS = 8;
/** Statuses that promise that a request was not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Streams of this route may not be resumed, so they may run once at most. */
function putOneTimeStreams(harness: harnesses.PlatformHarness): void {
  const { routes, ...rest } = harnesses.buildConfiguration() as {
    readonly routes: readonly { readonly name: string }[];
  };
  harness.store.putConfiguration({
    ...rest,
    routes: routes.map((route) =>
      route.name === "draft" ? { ...route, streamResume: false } : route
    ),
  });
}

function buildStreamHead(extra = ""): string {
  return "HTTP/1.1 200 OK\r\n" + ID_LINE +
    "x-jackdawbank-response-signature: RECEIPT\r\n" +
    `content-type: text/event-stream\r\n${extra}\r\n`;
}

// Guards against REFUSED and TWICE: an earlier refusal that a replica wrote once more on a kept
// connection was taken for the refusal of the next request, which the replica was running.
for (
  const { what, idLine } of [
    { what: "without an id", idLine: "" },
    {
      what: "with its own id",
      idLine: "x-jackdawbank-attempt-id: another\r\n",
    },
  ]
) {
  test(`a stale refusal ${what} on a kept connection does not make a request run twice`, (t) =>
    withHarness(async (harness) => {
      let isRepeating = false;
      const answer = (): fakes.ReplicaBehaviour =>
        isRepeating
          ? {
            type: "raw",
            text: `${REFUSAL_LINES}${idLine}\r\n`,
            then: "keep",
          }
          : { type: "stream", events: 2, confidence: 90 };
      const replicas = [
        await harness.addReplica("i-1", "llm", answer),
        await harness.addReplica("i-2", "llm", answer),
      ];
      putOneTimeStreams(harness);
      await harness.start();
      for (let at = 0; at < 6; at += 1) {
        t.is((await harness.call(ROUTES.draft, DRAFT)).status, 200);
      }
      isRepeating = true;
      const countRuns = () =>
        replicas.reduce((sum, { received }) => sum + received.length, 0);
      const before = countRuns();
      const got = await harness.call(ROUTES.draft, DRAFT);
      t.is(countRuns() - before, 1);
      t.false(NOT_RUN_STATUSES.includes(got.status), `status ${got.status}`);
    }));
}

// Guards against an untrue "not run": the refusal of a request's first send, written once more,
// bears the same id and was taken for the answer to its second send at that replica.
test("a request that goes to a replica again does not meet the refusal of its first send", (t) =>
  withHarness(async (harness) => {
    const isLarge = (request: fakes.ReceivedRequest) =>
      !harnesses.isSmallModel(request);
    let refusals = 0;
    let refuser = "";
    let returns = 0;
    const answer =
      (id: string) =>
      (request: fakes.ReceivedRequest): fakes.ReplicaBehaviour => {
        if (isLarge(request)) {
          if (id === refuser) returns += 1;
          // The copy of the refusal would be on the connection that carried it.
          return id === refuser && request.connectionUses > 1
            ? {
              type: "raw",
              text: `${REFUSAL_LINES}${ID_LINE}\r\n`,
              then: "keep",
            }
            : { type: "stream", events: 6, confidence: 95 };
        }
        refusals += 1;
        if (refusals % 2 === 1) {
          refuser = id;
          return { type: "not-run", status: 503 };
        }
        // The second one is slow, so that the first is not avoided as busy any more.
        return { type: "stream", events: 6, confidence: 10, delayMs: 200 };
      };
    const replicas = [
      await harness.addReplica("i-1", "llm", answer("i-1")),
      await harness.addReplica("i-2", "llm", answer("i-2")),
    ];
    await harness.start();
    for (let at = 0; at < REPEATED_CALLS; at += 1) {
      const got = await harness.call(ROUTES.draft, DRAFT);
      t.is(got.status, 200);
    }
    const large = replicas.flatMap(({ received }) => received).filter(isLarge);
    t.is(large.length, REPEATED_CALLS, "the large model was asked again");
    t.true(returns > 0, "no request went to its refuser again");
  }));

// Guards against ORDER and MIXED: an error, or another answer that continues nothing, in the
// middle of a stream that had begun at another replica.
for (
  const { what, text, then } of [
    {
      what: "an error with its signature",
      text: "HTTP/1.1 500 Failed\r\n" + ID_LINE +
        "x-jackdawbank-response-signature: RECEIPT\r\n" +
        "content-length: 8\r\n\r\noh dear!",
      then: "keep",
    },
    {
      what: "an error that ends like an event",
      text: "HTTP/1.1 200 OK\r\n" + ID_LINE +
        "x-jackdawbank-response-signature: RECEIPT\r\n" +
        'content-type: application/json\r\ncontent-length: 16\r\n\r\n{"error":"full"}',
      then: "keep",
    },
    {
      what: "a JSON error in lines",
      text: "HTTP/1.1 200 OK\r\n" + ID_LINE +
        "x-jackdawbank-response-signature: RECEIPT\r\n" +
        'content-type: application/json\r\ncontent-length: 18\r\n\r\n{"error":"full"}\n\n',
      then: "keep",
    },
    {
      what: "an empty success",
      text: "HTTP/1.1 204 No Content\r\n" + ID_LINE +
        "x-jackdawbank-response-signature: RECEIPT\r\n\r\n",
      then: "keep",
    },
    {
      what: "an empty answer",
      text: "HTTP/1.1 200 OK\r\n" + ID_LINE +
        "x-jackdawbank-response-signature: RECEIPT\r\ncontent-length: 0\r\n\r\n",
      then: "keep",
    },
    {
      what: "a refusal",
      text: `${REFUSAL_LINES}${ID_LINE}\r\n`,
      then: "keep",
    },
    { what: "no head", text: "HTTP/1.1 200", then: "close" },
  ] as const
) {
  test(`a stream that broke off is not ended or mixed with ${what} of the next replica`, (t) =>
    withHarness(async (harness) => {
      let runs = 0;
      const answer = (): fakes.ReplicaBehaviour => {
        runs += 1;
        return runs === 1
          ? {
            type: "stream",
            events: 6,
            confidence: 90,
            disconnectAfterEvents: 2,
          }
          : { type: "raw", text, then };
      };
      for (const id of ["i-1", "i-2", "i-3"]) {
        await harness.addReplica(id, "llm", answer);
      }
      await harness.start();
      const got = await harness.call(ROUTES.draft, DRAFT);
      t.true(runs > 1);
      t.is(got.body, EVENTS);
      t.true(got.isTruncated);
    }));
}

const BODY = "whole";
const FRAMINGS: Readonly<Record<string, string>> = {
  length: `content-length: ${BODY.length}\r\n\r\n${BODY}`,
  chunks: `transfer-encoding: chunked\r\n\r\n5\r\n${BODY}\r\n0\r\n\r\n`,
  "its connection": `connection: close\r\n\r\n${BODY}`,
};
const FAULT_CALLS_AT_ONCE = 16;

// Guards against MIXED: an answer that was cut in its head or body, and a reset in particular,
// reached the caller framed as a whole one.
for (const [framing, rest] of Object.entries(FRAMINGS)) {
  for (const then of ["close", "reset"] as const) {
    for (const route of [ROUTES.order, ROUTES.check]) {
      test(`an answer that ends by ${framing} and is cut by a ${then} never looks whole: ${route}`, (t) =>
        withHarness(async (harness) => {
          const whole = "HTTP/1.1 200 OK\r\n" + ID_LINE +
            `x-jackdawbank-response-signature: RECEIPT\r\n${rest}`;
          const replica = await harness.addReplica(
            "i-1",
            "desk",
            (request) => ({
              type: "raw",
              text: whole.slice(0, Number(request.headers["x-cut"])),
              then,
            }),
          );
          await harness.start();
          // Where the connection's orderly end is the answer's end, nobody can tell a cut body.
          const isUnmarked = framing === "its connection" && then === "close";
          const cuts = Array.from(
            { length: isUnmarked ? whole.length - BODY.length : whole.length },
            (_, cut) => cut,
          );
          const statuses = new Set<number>();
          const callCut = async (cut: number) => {
            const got = await harness.call(route, {
              headers: { "x-cut": String(cut) },
            }).catch(() => undefined);
            if (got === undefined) return;
            statuses.add(got.status);
            const looksWhole = got.status < 300 && !got.isTruncated;
            t.false(looksWhole, `cut at ${cut}: ${got.status} '${got.body}'`);
          };
          for (let at = 0; at < cuts.length; at += FAULT_CALLS_AT_ONCE) {
            const batch = cuts.slice(at, at + FAULT_CALLS_AT_ONCE);
            await Promise.all(batch.map(callCut));
            await kernel.sleep(1);
          }
          t.true(replica.received.length > 0);
          t.false(NOT_RUN_STATUSES.some((status) => statuses.has(status)));
        }));
    }
  }
}

// Guards against MIXED: a reset that arrives together with a part of an answer without a length
// was taken for the orderly end of the answer.
for (const route of [ROUTES.order, ROUTES.check, ROUTES.draft]) {
  test(`an answer without a length is not whole if a reset arrives with its data: ${route}`, (t) =>
    withHarness(async (harness) => {
      const answer = (): fakes.ReplicaBehaviour => ({
        type: "raw",
        text: buildStreamHead() + EVENTS,
        then: "reset-at-once",
      });
      await harness.addReplica("i-1", "desk", answer);
      await harness.addReplica("i-2", "llm", answer);
      await harness.start();
      for (let call = 0; call < 20; call += 1) {
        const got = await harness.call(
          route,
          route === ROUTES.draft ? DRAFT : { method: "POST", body: "crates" },
        ).catch(() => undefined);
        const looksWhole = got !== undefined && got.status < 300 &&
          !got.isTruncated;
        t.false(looksWhole, `${got?.status} '${got?.body}'`);
      }
      t.true(
        harness.findLogLines("attempt.ended").every((line) =>
          line["reason"] === "the connection was reset"
        ),
      );
    }));
}

test("an answer that is written twice reaches its caller once, and no other caller", (t) =>
  withHarness(async (harness) => {
    const once = "HTTP/1.1 200 OK\r\n" + ID_LINE +
      `x-jackdawbank-response-signature: RECEIPT\r\n${FRAMINGS["length"]}`;
    await harness.addReplica("i-1", "desk", () => ({
      type: "raw",
      text: once + once,
      then: "keep",
    }));
    await harness.start();
    for (let at = 0; at < 10; at += 1) {
      const attemptId = `twice-${at}`;
      const got = await harness.call(ROUTES.check, {
        headers: { "x-jackdawbank-attempt-id": attemptId },
      });
      t.is(got.status, 200);
      t.is(got.headers["x-jackdawbank-attempt-id"], attemptId);
      t.is(got.body, BODY);
    }
  }));

test("the head of a stream is only passed on with the first whole event", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "llm", () => ({
      type: "raw",
      text: `${buildStreamHead("content-length: 100\r\n")}id: 1\ndata`,
      then: "close",
    }));
    await harness.start();
    const got = await harness.call(ROUTES.draft, DRAFT);
    t.false(got.status < 300 && !got.isTruncated, `status ${got.status}`);
    t.false(got.body.includes("data"));
  }));
