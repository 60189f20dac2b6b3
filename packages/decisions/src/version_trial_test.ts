/** A version under trial: what stops it, and what is only one replica's trouble. */
import * as ava from "ava";
import * as trials from "./version_trial.ts";

const test = ava.default;

const GOOD: trials.VersionOutcome = {
  route: "r",
  replicaKey: 1,
  model: undefined,
  result: "whole",
  paceMs: 50,
  sentAtMs: 1_000,
  endedAtMs: 1_100,
};

const TARGET = { isTarget: true, replicas: 13 };

function start(): trials.VersionTrial {
  const trial = new trials.VersionTrial();
  for (let at = 0; at < 100; at += 1) {
    trial.recordOutcome(GOOD, { isTarget: false, replicas: 13 });
  }
  return trial;
}

/** Answers of the version, spread over its replicas. */
function feed(
  trial: trials.VersionTrial,
  count: number,
  outcome: (at: number) => Partial<trials.VersionOutcome>,
  replicas = 13,
): void {
  for (let at = 0; at < count; at += 1) {
    trial.recordOutcome(
      { ...GOOD, replicaKey: at % replicas, ...outcome(at) },
      { isTarget: true, replicas },
    );
  }
}

test("a version that fails a quarter of its answers is stopped within few", (t) => {
  const trial = start();
  feed(trial, 40, (at) => ({ result: at % 4 === 0 ? "failed" : "whole" }));
  t.regex(trial.verdict ?? "", /bad/);
});

test("one replica that falls silent under a good version does not stop it", (t) => {
  const trial = start();
  feed(trial, 150, () => ({}));
  for (let at = 0; at < 20; at += 1) {
    trial.recordOutcome({ ...GOOD, replicaKey: 3, result: "failed" }, TARGET);
  }
  t.is(trial.verdict, undefined);
});

for (const replicas of [1, 2, 3]) {
  test(`a bad version with ${replicas} replicas is stopped, also when it turns bad late`, (t) => {
    const trial = start();
    feed(trial, 150, () => ({}), replicas);
    feed(trial, 40, (at) => ({
      result: at % 2 === 0 || replicas === 2 ? "failed" : "whole",
    }), replicas);
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
    trial.recordOutcome({ ...GOOD, replicaKey: at % 3, paceMs: 2_000 }, TARGET);
  }
  t.is(trial.verdict, undefined);
});

test("what many processes saw little of stops a version together", (t) => {
  const seen = Array.from({ length: 12 }, () => start());
  seen.forEach((trial, at) => {
    feed(trial, 2, (index) => ({
      replicaKey: at,
      result: index === 0 ? "failed" : "whole",
    }));
    t.is(trial.verdict, undefined);
  });
  const judge = start();
  for (const trial of seen) {
    for (
      const evidence of trial.listLocalEvidence()
    ) judge.recordPeerEvidence(evidence, 13);
  }
  t.truthy(judge.verdict);
});

test("a good version whose replicas crash together is not stopped", (t) => {
  const trial = start();
  feed(trial, 60, () => ({}));
  feed(trial, 24, (at) => ({ replicaKey: at % 7, result: "lost" }));
  // Answers that were under way before the crash say nothing about it.
  feed(trial, 12, (at) => ({ replicaKey: at % 7, sentAtMs: 900 }));
  feed(trial, 60, (at) => ({ replicaKey: 7 + at % 6, sentAtMs: 2_000 }));
  t.is(trial.verdict, undefined);
});

test("a version that cuts answers while its replicas live is stopped", (t) => {
  const trial = start();
  feed(trial, 80, (at) => ({
    result: at % 3 === 0 ? "lost" : "whole",
    sentAtMs: 1_000 + 200 * at,
    endedAtMs: 1_100 + 200 * at,
  }));
  t.truthy(trial.verdict);
});

test("a peer's failures weigh the same wherever its report begins", (t) => {
  const judge = start();
  // One in ten is no more than a good version may have for a while.
  const failures = [1, 2, 3, 4].map((replicaKey) => ({ replicaKey, count: 1 }));
  judge.recordPeerEvidence({ route: "r", answers: 40, failures }, 13);
  t.is(judge.verdict, undefined);
  t.like(judge.evidence, { samples: 40, failures: 4 });
});
