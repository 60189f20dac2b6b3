/** Tests which part of a prompt is blamed for crashes of replicas. */
import * as ava from "ava";
import * as blames from "./crash_blame.ts";

const test = ava.default;

const SHARED = "first";

function makeCrash(
  replicaKey: number,
  atMs: number,
  hadHead = true,
): blames.BlamedCrash {
  return { replicaKey, atMs, hadHead };
}

// Guards against BUDGET: nothing connected a crash with the prompt, so each request with the
// deadly part, its repeats included, ended three more replicas.
test("three replicas that crash as an answer begins condemn the part that they share", (t) => {
  const blame = new blames.CrashBlame();
  blame.recordBegun([SHARED, "sound"], 900);
  const prompt = [SHARED, "deadly"];
  t.is(blame.recordCrash(prompt, makeCrash(1, 1_000)), undefined);
  blame.recordBegun([SHARED, "sound"], 1_100);
  t.is(blame.recordCrash(prompt, makeCrash(2, 2_000)), undefined);
  t.is(blame.recordCrash(prompt, makeCrash(3, 3_000)), "deadly");
  t.is(blame.findDeadly([SHARED, "deadly", "other"], 3_000), "deadly");
  t.is(blame.findDeadly([SHARED, "sound"], 3_000), undefined);
});

// Guards against LOST: sound requests that share the first part must go on.
test("a first part that many sound prompts share is not blamed, also while most replicas are down", (t) => {
  const blame = new blames.CrashBlame();
  let nowMs = 0;
  for (let answer = 0; answer < 60; answer += 1) {
    nowMs += 70;
    blame.recordBegun([SHARED, `sound-${answer}`], nowMs);
  }
  for (let crash = 0; crash < 12; crash += 1) {
    nowMs += 250;
    const partIds = [SHARED, `subject-${crash}`];
    t.is(blame.recordCrash(partIds, makeCrash(crash, nowMs)), undefined);
  }
});

test("requests that a crash ended in passing are not blamed for it", (t) => {
  const blame = new blames.CrashBlame();
  for (let crash = 1; crash <= 5; crash += 1) {
    const deadly = blame.recordCrash(
      [SHARED, "deadly"],
      makeCrash(crash, crash * 400),
    );
    t.is(deadly, crash < 3 ? undefined : "deadly");
    if (deadly !== undefined) blame.condemn(deadly, crash * 400);
    blame.recordCrash(
      [SHARED, `waiting-${crash}`],
      makeCrash(crash, crash * 400 + 20, false),
    );
  }
  for (let crash = 1; crash <= 5; crash += 1) {
    t.is(blame.findDeadly([SHARED, `waiting-${crash}`], 2_100), undefined);
  }
});

test("several requests at one replica, or several reports, count one crash", (t) => {
  const blame = new blames.CrashBlame();
  for (let request = 0; request < 6; request += 1) {
    const crash = makeCrash(1, 1_000 + request * 100);
    t.is(blame.recordCrash([SHARED, "part"], crash), undefined);
  }
  blame.recordPeer("edge-2", "part", {
    crashes: [makeCrash(1, 1_200)],
    begun: 0,
    lastBegunAtMs: -Infinity,
  });
  t.is(blame.findDeadly([SHARED, "part"], 1_700), undefined);
});

// Guards against BUDGET at size: five crashes over dozens of entries are one or none at each.
test("crashes that each process saw once are pooled", (t) => {
  const blame = new blames.CrashBlame();
  blame.recordCrash([SHARED, "deadly"], makeCrash(1, 1_000));
  for (const [at, peer] of ["edge-2", "edge-3"].entries()) {
    blame.recordPeer(peer, "deadly", {
      crashes: [makeCrash(at + 2, 1_500 + at * 400)],
      begun: 0,
      lastBegunAtMs: -Infinity,
    });
  }
  t.is(blame.findDeadly([SHARED, "deadly"], 2_500), "deadly");
});

test("an answer that begins, here or at a peer, clears the part of earlier crashes", (t) => {
  const blame = new blames.CrashBlame();
  for (let crash = 1; crash <= 2; crash += 1) {
    blame.recordCrash([SHARED, "part"], makeCrash(crash, crash * 1_000));
  }
  for (const id of [SHARED, "part"]) {
    blame.recordPeer("edge-2", id, {
      crashes: [],
      begun: 0.2,
      lastBegunAtMs: 2_500,
    });
  }
  t.is(
    blame.recordCrash([SHARED, "part"], makeCrash(3, 3_000)),
    undefined,
  );
});

test("crashes without a head, as when replicas are reset, need more of them", (t) => {
  const blame = new blames.CrashBlame();
  const verdicts = [1, 2, 3, 4, 5].map((crash) =>
    blame.recordCrash(["part"], makeCrash(crash, crash * 1_000, false))
  );
  t.deepEqual(verdicts, [undefined, undefined, undefined, undefined, "part"]);
});

test("the most specific part is blamed first, and its company once crashes go on without it", (t) => {
  const blame = new blames.CrashBlame();
  for (let crash = 1; crash <= 3; crash += 1) {
    blame.recordCrash(["deadly", "page"], makeCrash(crash, crash * 1_000));
  }
  t.is(blame.findDeadly(["deadly", "page"], 3_000), "page");
  blame.condemn("page", 3_000);
  t.is(blame.findDeadly(["deadly", "leaf"], 3_000), undefined);
  t.is(
    blame.recordCrash(["deadly", "leaf"], makeCrash(4, 4_000)),
    "deadly",
  );
});
