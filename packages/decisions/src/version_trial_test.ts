/** A version under trial: what stops it, and what is only one replica's trouble. */
import * as ava from "ava";
import * as trials from "./version_trial.ts";

const test = ava.default;

const GOOD: trials.VersionOutcome = {
  route: "r",
  replicaKey: 1,
  replicas: 13,
  model: undefined,
  isFailure: false,
  paceMs: 50,
};

function start(): trials.VersionTrial {
  const trial = new trials.VersionTrial();
  for (let at = 0; at < 100; at += 1) trial.take(GOOD, false);
  return trial;
}

/** Answers of the version, spread over its replicas. */
function feed(
  trial: trials.VersionTrial,
  count: number,
  outcome: (at: number) => Partial<trials.VersionOutcome>,
): void {
  for (let at = 0; at < count; at += 1) {
    trial.take({ ...GOOD, replicaKey: at % 13, ...outcome(at) }, true);
  }
}

test("a version that fails a quarter of its answers is stopped within few", (t) => {
  const trial = start();
  feed(trial, 40, (at) => ({ isFailure: at % 4 === 0 }));
  t.regex(trial.verdict ?? "", /bad/);
});

test("one replica that falls silent under a good version does not stop it", (t) => {
  const trial = start();
  feed(trial, 150, () => ({}));
  for (let at = 0; at < 20; at += 1) {
    trial.take({ ...GOOD, replicaKey: 3, isFailure: true }, true);
  }
  t.is(trial.verdict, undefined);
});

for (const replicas of [1, 2, 3]) {
  test(`a bad version with ${replicas} replicas is stopped, also when it turns bad late`, (t) => {
    const trial = start();
    feed(trial, 150, (at) => ({ replicas, replicaKey: at % replicas }));
    feed(trial, 40, (at) => ({
      replicas,
      replicaKey: at % replicas,
      isFailure: at % 2 === 0 || replicas === 2,
    }));
    t.truthy(trial.verdict);
  });
}

test("a version that answers several times slower is stopped", (t) => {
  const trial = start();
  feed(trial, 30, (at) => ({ paceMs: at % 2 === 0 ? 600 : 50 }));
  t.truthy(trial.verdict);
});

test("long prompts that stall a few of many replicas at once do not stop a good version", (t) => {
  const trial = start();
  feed(trial, 60, () => ({}));
  for (let at = 0; at < 9; at += 1) {
    trial.take({ ...GOOD, replicaKey: at % 3, paceMs: 2_000 }, true);
  }
  t.is(trial.verdict, undefined);
});

test("what many processes saw little of stops a version together", (t) => {
  const seen = Array.from({ length: 12 }, () => start());
  seen.forEach((trial, at) => {
    feed(trial, 2, (index) => ({
      replicaKey: at,
      isFailure: index === 0,
    }));
    t.is(trial.verdict, undefined);
  });
  const judge = start();
  for (const trial of seen) {
    for (const evidence of trial.listOwn()) judge.takePeer(evidence, 13);
  }
  t.truthy(judge.verdict);
});
