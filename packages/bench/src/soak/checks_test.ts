/** Tests that the judge of the soak finds each kind of broken rule, and excuses only what it may. */
import test from "ava";
import * as checks from "./checks.ts";
import * as contents from "./content.ts";
import type * as facts from "./facts.ts";

const ID = "0123456789abcdef";
const STOP_AT_MS = 10_000;
const GRACE_MS = 4_000;

const STREAM: contents.Content = {
  kind: "answer",
  delayMs: 0,
  events: 3,
  eventIntervalMs: 10,
  bytes: 10,
};
const ORDER: contents.Content = { ...STREAM, kind: "pay" };
const BODY = contents.renderBody(STREAM, contents.renderLabel(ID, "small"));

const REQUEST: facts.RequestFact = {
  requestId: ID,
  client: 1,
  serial: 1,
  connection: 1,
  requestsBefore: 0,
  content: STREAM,
  deadlineMs: 12_000,
  startedAtMs: STOP_AT_MS,
  sentAtMs: STOP_AT_MS + 100,
  endedAtMs: STOP_AT_MS + 1_000,
  answer: undefined,
  attemptId: undefined,
  signature: undefined,
  retryAfterMs: undefined,
  closeReason: "closed",
  wasClosedByCaller: false,
  hasGivenUp: false,
};

const RUN: facts.RunFact = {
  requestId: ID,
  replica: "i-1",
  model: "small",
  behaviour: "stream",
  hasRun: true,
  startedAtMs: STOP_AT_MS + 150,
  endedAtMs: STOP_AT_MS + 1_000,
  dueAtMs: STOP_AT_MS + 1_500,
  end: "cancelled",
  endsByClose: false,
};

const STOPPED: facts.ProcessFact = {
  serial: 1,
  entry: 0,
  startedAtMs: 0,
  exit: { atMs: STOP_AT_MS + 3_800, code: 0, signal: null },
  signals: [{ signal: "SIGTERM", atMs: STOP_AT_MS }],
  log: [],
};

const NO_FACTS: facts.SoakFacts = {
  seed: 1,
  graceMs: GRACE_MS,
  timeoutFactors: [1, 1],
  processes: [STOPPED],
  disturbances: [],
  requests: [],
  runs: [],
  strayConnections: [],
  ownLagMs: 0,
};

function answer(status: number, body: string, isComplete = true) {
  return {
    answer: { status, headers: new Map(), body, isComplete },
    attemptId: ID,
    signature: "receipt",
    ...(isComplete ? { closeReason: undefined } : {}),
  };
}

/** Judges one request with its run; resolves with the rules and excuses found. */
function judge(
  request: Partial<facts.RequestFact>,
  runs: readonly Partial<facts.RunFact>[] = [{}],
  rest: Partial<facts.SoakFacts> = {},
): readonly string[] {
  return checks.checkFacts({
    ...NO_FACTS,
    requests: [{ ...REQUEST, ...request }],
    runs: runs.map((run) => ({ ...RUN, ...run })),
    ...rest,
  }).map(({ rule, excuse }) =>
    excuse === undefined ? rule : `${rule}: ${excuse}`
  );
}

test("a whole answer breaks no rule", (t) => {
  t.deepEqual(judge(answer(200, BODY), [{ end: "whole" }]), []);
});

test("a request that was passed on and is cut around a stop is lost", (t) => {
  t.deepEqual(judge({}), ["LOST"]);
  t.deepEqual(judge(answer(200, BODY.slice(0, 30), false)), ["LOST"]);
});

test("a request that was read and is cut later than the slack is lost", (t) => {
  const readBy = {
    processes: [{ ...STOPPED, log: [`{"requestId":"${ID}"}`] }],
  };
  t.deepEqual(judge({}, [], readBy), ["LOST"]);
  t.deepEqual(
    judge({ endedAtMs: STOP_AT_MS + 300 }, [], readBy),
    ["LOST: crossed the end of its connection"],
  );
  t.deepEqual(judge({}, []), ["LOST: was not read"]);
  const brokeOff = {
    processes: [{ ...STOPPED, log: ['{"brokenOff":1}'] }],
  };
  t.deepEqual(judge({}, [], brokeOff), ["LOST"]);
});

test("a request that was passed on and is cut with no stop near is lost", (t) => {
  const running = {
    processes: [{ ...STOPPED, exit: undefined, signals: [] }],
  };
  t.deepEqual(judge({}, [{}], running), ["LOST"]);
});

test("a request that its replica broke off is not lost", (t) => {
  t.deepEqual(
    judge({}, [{ end: "broken-off" }]),
    ["LOST: its replica broke off"],
  );
  const failed = { behaviour: "failure", end: "whole" } as const;
  t.deepEqual(judge({}, [failed]), ["LOST"]);
  t.deepEqual(
    judge(answer(200, BODY.slice(0, 30), false), [failed]),
    ["LOST: its replica failed"],
  );
});

test("a request is excused by a replica that works in the last sixth only if it was sent early", (t) => {
  const late = {
    endedAtMs: STOP_AT_MS + 3_700,
    content: STREAM,
  };
  const run = { endedAtMs: STOP_AT_MS + 3_700 };
  t.deepEqual(
    judge(late, [run]),
    ["LOST: its replica worked in the last sixth of the grace period"],
  );
  t.deepEqual(
    judge({
      ...late,
      startedAtMs: STOP_AT_MS + 3_100,
      sentAtMs: STOP_AT_MS + 3_100,
    }, [run]),
    ["LOST"],
  );
});

test("a run that is given up for one that cannot end in time is no excuse", (t) => {
  const late = { endedAtMs: STOP_AT_MS + 3_700 };
  const resumed = {
    startedAtMs: STOP_AT_MS + 3_500,
    endedAtMs: STOP_AT_MS + 3_700,
  };
  const excused = [
    "LOST: its replica worked in the last sixth of the grace period",
  ];
  t.deepEqual(judge(late, [{}, resumed]), ["LOST", "TWICE"]);
  const stalled = { dueAtMs: Infinity };
  t.deepEqual(judge(late, [stalled, resumed]), [...excused, "TWICE"]);
});

test("a pause of the process excuses a loss near it, one of another process does not", (t) => {
  const pause = {
    fromMs: STOP_AT_MS - 2_500,
    untilMs: STOP_AT_MS - 2_000,
    serial: 1,
    reason: "pause",
  };
  const judgeBeside = (disturbance: facts.DisturbanceFact) =>
    judge({}, [{}], { disturbances: [disturbance] });
  t.deepEqual(judgeBeside(pause), ["LOST: pause"]);
  t.deepEqual(judgeBeside({ ...pause, serial: 2 }), ["LOST"]);
  t.deepEqual(judgeBeside({ ...pause, fromMs: 0, untilMs: 1_000 }), ["LOST"]);
});

test("trouble of the store excuses only requests with a key", (t) => {
  const disturbances = [{
    fromMs: STOP_AT_MS,
    untilMs: STOP_AT_MS + 100,
    serial: undefined,
    reason: "store silent",
  }];
  t.deepEqual(judge({}, [{}], { disturbances }), ["LOST"]);
  const keyed = { ...STREAM, kind: "draft" } as const;
  t.deepEqual(
    judge({ content: keyed }, [{}], { disturbances }),
    ["LOST: store silent"],
  );
});

test("a refusal of a request that has run is untrue unless it may be repeated", (t) => {
  const refused = { ...answer(503, ""), signature: undefined };
  t.deepEqual(judge({ ...refused, content: ORDER }), ["REFUSED"]);
  t.deepEqual(judge({ ...refused, content: ORDER }, [{ hasRun: false }]), []);
  t.deepEqual(
    judge({ ...refused, content: { ...STREAM, kind: "talk" } }),
    [],
  );
});

test("an order runs once, a stream once for each model", (t) => {
  const order = contents.renderBody(ORDER, contents.renderLabel(ID, "none"));
  const run = { model: "none", end: "whole" } as const;
  t.deepEqual(
    judge({ ...answer(200, order), content: ORDER }, [run, run]),
    ["TWICE"],
  );
  t.deepEqual(judge(answer(200, BODY), [{}, { model: "large" }]), []);
  t.deepEqual(judge(answer(200, BODY), [{}, {}]), ["TWICE"]);
});

test("an answer is its replica's, whole and in order", (t) => {
  const [first, second, third] = BODY.split("\n\n");
  const joined = [first, third, second].join("\n\n");
  t.deepEqual(judge(answer(200, joined)), ["ORDER"]);
  t.deepEqual(judge(answer(200, `${first}\n\n`)), ["ORDER"]);
  t.deepEqual(judge(answer(200, `${BODY}${first}`)), ["ORDER"]);
  t.deepEqual(judge(answer(200, "x"), []), ["MIXED"]);
  t.deepEqual(
    judge({ ...answer(200, BODY), signature: undefined }),
    ["MIXED"],
  );
  t.deepEqual(judge({ ...answer(200, BODY), attemptId: "other" }), ["MIXED"]);
  t.deepEqual(judge(answer(200, "other", false)), ["LOST", "MIXED"]);
});

test("a stream that ends early is excused only if it could not be told from a whole one", (t) => {
  const events = BODY.split("\n\n");
  const partial = answer(200, `${events[0]}\n\n`);
  const run = { end: "broken-off", endsByClose: true } as const;
  t.deepEqual(judge(partial, [run]), [
    "ORDER: its replica ended between two events, without a mark",
  ]);
  t.deepEqual(judge(partial, [{ ...run, endsByClose: false }]), ["ORDER"]);
  t.deepEqual(judge(partial, [{ ...run, end: "cancelled" }]), ["ORDER"]);
  t.deepEqual(judge(answer(200, BODY.slice(0, 30)), [run]), ["ORDER"]);
  const resumable = { ...STREAM, kind: "talk" } as const;
  t.deepEqual(judge({ ...partial, content: resumable }, [run]), ["ORDER"]);
});

test("a process ends when it is told to, and in time", (t) => {
  const judgeProcess = (one: Partial<facts.ProcessFact>) =>
    checks.checkFacts({ ...NO_FACTS, processes: [{ ...STOPPED, ...one }] })
      .map(({ rule }) => rule);
  const killed = { atMs: STOP_AT_MS + 4_010, code: null, signal: "SIGKILL" };
  t.deepEqual(judgeProcess({}), []);
  t.deepEqual(judgeProcess({ signals: [] }), ["ENDED"]);
  t.deepEqual(
    judgeProcess({ exit: { atMs: STOP_AT_MS + 10, code: 1, signal: null } }),
    ["ENDED"],
  );
  t.deepEqual(
    judgeProcess({
      exit: killed,
      signals: [...STOPPED.signals, {
        signal: "SIGKILL",
        atMs: STOP_AT_MS + 4_000,
      }],
    }),
    ["OUTLIVED"],
  );
  t.deepEqual(judgeProcess({ log: ['{"event":"request.fault"}'] }), ["FAULT"]);
  const assertion = '{"reason":"The expression evaluated to a falsy value"}';
  t.deepEqual(judgeProcess({ log: [assertion] }), ["FAULT"]);
});

test("a request that is overdue is a fault unless its process was disturbed", (t) => {
  const log = [
    `{"event":"request.fault","requestId":"${ID}","reason":"the exchange did not end at its deadline"}`,
  ];
  const overdue = { ...answer(500, ""), attemptId: undefined };
  const rest = { processes: [{ ...STOPPED, log }] };
  t.deepEqual(judge(overdue, [{}], rest), ["FAULT"]);
  const pause = {
    fromMs: STOP_AT_MS,
    untilMs: STOP_AT_MS + 500,
    serial: 1,
    reason: "pause",
  };
  t.deepEqual(
    judge(overdue, [{}], { ...rest, disturbances: [pause] }),
    ["FAULT: pause"],
  );
});

test("each request has one outcome, and nothing runs that nobody sent", (t) => {
  const whole = { ...REQUEST, ...answer(200, BODY) };
  t.deepEqual(
    judge(whole, [{}], { requests: [whole, whole] }),
    ["OUTCOME"],
  );
  t.deepEqual(
    judge(whole, [{}, { requestId: "other" }]),
    ["UNASKED"],
  );
  t.deepEqual(
    judge(whole, [{}], { strayConnections: ["connection 1"] }),
    ["MIXED"],
  );
});

test("a request whose caller waits in vain is unanswered", (t) => {
  const waited = {
    endedAtMs: STOP_AT_MS + 15_000,
    wasClosedByCaller: true,
    hasGivenUp: true,
  };
  const running = {
    processes: [{ ...STOPPED, exit: undefined, signals: [] }],
  };
  t.deepEqual(judge(waited, [{}], running), ["UNANSWERED"]);
  t.deepEqual(
    judge({ ...waited, hasGivenUp: false }, [{}], running),
    ["LOST: its caller closed the connection"],
  );
});

test("a request behind another one on its connection is lost unless that one is excused", (t) => {
  const judgeBehind = (first: Partial<facts.RunFact>) =>
    checks.checkFacts({
      ...NO_FACTS,
      requests: [{ ...REQUEST, requestId: "first" }, {
        ...REQUEST,
        startedAtMs: STOP_AT_MS + 50,
      }],
      runs: [{ ...RUN, requestId: "first", ...first }, {
        ...RUN,
        end: "whole",
      }],
    }).map(({ excuse }) => excuse);
  t.deepEqual(judgeBehind({}), [undefined, undefined]);
  t.deepEqual(judgeBehind({ end: "broken-off" }), [
    "its replica broke off",
    "behind one: its replica broke off",
  ]);
});
