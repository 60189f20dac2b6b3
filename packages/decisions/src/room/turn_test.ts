/** Tests of the order in which prompts are sent to replicas that are first in, first out. */
import * as ava from "ava";

import * as float64 from "pure-rand/distribution/uniformFloat64";
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as accountShares from "./account_shares.ts";
import * as turns from "./turn.ts";

const test = ava.default;

const STEP_MS = 5;
const REPLICAS = 8;
const CANDIDATES = 3;
const POLICY = { shortestTargetMs: 1_500, firstRank: 0 };

interface Kind {
  readonly name: string;
  readonly account: string;
  readonly prefillMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly rank: number;
  /** Prompts per second in steady times, and from `BURST_FROM_MS` to `BURST_TO_MS`. */
  readonly perS: number;
  readonly burstPerS: number;
}

const BURST_FROM_MS = 10_000;
const BURST_TO_MS = 16_000;
const END_MS = 24_000;

interface Sent {
  readonly kind: Kind;
  readonly arrivedAtMs: number;
  /** Time from its arrival to its first byte. */
  readonly firstByteMs: number;
  readonly heldMs: number;
}

const SHORT: Kind = {
  name: "short",
  account: "a",
  prefillMs: 15,
  targetMs: 1_500,
  deadlineMs: 25_000,
  rank: 0,
  perS: 60,
  burstPerS: 120,
};
const LONG: Kind = {
  name: "long",
  account: "b",
  prefillMs: 200,
  targetMs: 4_000,
  deadlineMs: 25_000,
  rank: 0,
  perS: 22,
  burstPerS: 40,
};

/** Plays arrivals at replicas that prefill in the order of arrival, one prompt at a time. */
function play(kinds: readonly Kind[], isHolding: boolean): readonly Sent[] {
  const generator = xoroshiro.xoroshiro128plus(11);
  const random = () => float64.uniformFloat64(generator);
  const shares = new accountShares.AccountShares();
  const backlogsMs = Array.from({ length: REPLICAS }, () => 0);
  const sent: Sent[] = [];
  let held: { kind: Kind; arrivedAtMs: number; askAtMs: number }[] = [];
  for (let nowMs = 0; nowMs < END_MS || held.length > 0; nowMs += STEP_MS) {
    for (const [index, backlogMs] of backlogsMs.entries()) {
      backlogsMs[index] = Math.max(0, backlogMs - STEP_MS);
    }
    const isBurst = nowMs >= BURST_FROM_MS && nowMs < BURST_TO_MS;
    for (const kind of nowMs < END_MS ? kinds : []) {
      const perS = isBurst ? kind.burstPerS : kind.perS;
      if (random() >= perS * STEP_MS / 1_000) continue;
      shares.record(kind.account, kind.prefillMs, {
        isRoomShort: turns.isRoomShort(
          Math.min(...backlogsMs),
          shares.meanPrefillMs,
        ),
        nowMs,
      });
      held.push({ kind, arrivedAtMs: nowMs, askAtMs: nowMs });
    }
    held = held.filter((request) => {
      if (request.askAtMs > nowMs) return true;
      const { kind, arrivedAtMs } = request;
      const candidates = Array.from(
        { length: CANDIDATES },
        () => Math.floor(random() * REPLICAS),
      ).toSorted((a, b) =>
        (backlogsMs[a] as number) - (backlogsMs[b] as number)
      );
      const best = candidates[0] as number;
      const backlogMs = backlogsMs[best] as number;
      const elapsedMs = nowMs - arrivedAtMs;
      const turn = turns.decideTurn(
        {
          ...kind,
          meanPrefillMs: shares.meanPrefillMs,
          shareRatio: shares.readRatio(kind.account, nowMs),
          elapsedMs,
        },
        backlogMs,
        POLICY,
      );
      if (isHolding && turn.type === "wait") {
        request.askAtMs = nowMs + turn.waitMs * (0.75 + 0.5 * random());
        return true;
      }
      backlogsMs[best] = backlogMs + kind.prefillMs;
      sent.push({
        kind,
        arrivedAtMs,
        heldMs: elapsedMs,
        firstByteMs: elapsedMs + backlogMs + kind.prefillMs,
      });
      return false;
    });
  }
  return sent;
}

function summarize(sent: readonly Sent[], kind: Kind) {
  const inBurst = sent.filter((each) =>
    each.kind.name === kind.name && each.arrivedAtMs >= BURST_FROM_MS &&
    each.arrivedAtMs < BURST_TO_MS + 4_000
  );
  const sum = inBurst.reduce((total, each) => total + each.firstByteMs, 0);
  return {
    count: inBurst.length,
    meanMs: sum / inBurst.length,
    inTimeShare:
      inBurst.filter(({ firstByteMs }) => firstByteMs <= kind.targetMs).length /
      inBurst.length,
    maxMs: Math.max(...inBurst.map(({ firstByteMs }) => firstByteMs)),
    maxHeldMs: Math.max(...inBurst.map(({ heldMs }) => heldMs)),
  };
}

test("a burst of long prompts delays short ones less, and long ones hardly more", (t) => {
  // 50 long and 150 short prompts per second take 1.5 times what 8 replicas prefill.
  const kinds = [{ ...SHORT, burstPerS: 150 }, { ...LONG, burstPerS: 50 }];
  const atOnce = play(kinds, false);
  const inTurn = play(kinds, true);
  const short = [atOnce, inTurn].map((sent) => summarize(sent, SHORT));
  const long = [atOnce, inTurn].map((sent) => summarize(sent, LONG));
  t.log(JSON.stringify({ short, long }));
  t.true((short[1]?.meanMs ?? Infinity) < (short[0]?.meanMs ?? 0) / 3);
  t.true((short[1]?.inTimeShare ?? 0) > 0.95);
  t.true((long[1]?.inTimeShare ?? 0) > 0.95);
});

test("at twice the capacity, long prompts are held up to a bound, and all are sent", (t) => {
  const kinds = [{ ...SHORT, burstPerS: 150 }, { ...LONG, burstPerS: 70 }];
  const inTurn = summarize(play(kinds, true), LONG);
  const atOnce = summarize(play(kinds, false), LONG);
  t.log(JSON.stringify({ atOnce, inTurn }));
  t.true(inTurn.maxHeldMs <= 0.75 * LONG.targetMs + 100);
  t.true(inTurn.maxMs <= atOnce.maxMs + 0.75 * LONG.targetMs);
  t.true(inTurn.inTimeShare >= atOnce.inTimeShare);
});

test("without a shortage, every prompt is sent on arrival", (t) => {
  const kinds = [SHORT, LONG].map((kind) => ({
    ...kind,
    perS: kind.perS / 3,
    burstPerS: kind.perS / 3,
  }));
  t.true(play(kinds, true).every(({ heldMs }) => heldMs === 0));
});

test("an account that floods at five times its share gives way to the others", (t) => {
  const flood = {
    ...SHORT,
    name: "flood",
    account: "c",
    prefillMs: 60,
    perS: 20,
    burstPerS: 100,
  };
  const others = [SHORT, LONG].map((kind) => ({
    ...kind,
    burstPerS: kind.perS,
  }));
  const kinds = [...others, flood];
  const [atOnce, inTurn] = [false, true].map((isHolding) => {
    const sent = play(kinds, isHolding);
    return kinds.map((kind) => summarize(sent, kind));
  });
  t.log(JSON.stringify({ atOnce, inTurn }));
  for (const index of [0, 1]) {
    const outcome = inTurn?.[index];
    t.true((outcome?.inTimeShare ?? 0) > 0.95);
    t.true((outcome?.meanMs ?? Infinity) < (atOnce?.[index]?.meanMs ?? 0));
  }
  t.true((inTurn?.[2]?.meanMs ?? 0) > (inTurn?.[0]?.meanMs ?? Infinity));
});

const REQUEST: turns.RoomRequest = {
  prefillMs: 100,
  meanPrefillMs: 100,
  rank: 0,
  shareRatio: 0,
  elapsedMs: 0,
  targetMs: 4_000,
  deadlineMs: 20_000,
};

test("urgent, short, old and modest requests go first", (t) => {
  const readCeiling = (changes: Partial<turns.RoomRequest>) =>
    turns.decideTurn({ ...REQUEST, ...changes }, 10_000, POLICY).ceilingMs;
  const ceilingMs = readCeiling({});
  t.true(readCeiling({ rank: 1 }) < ceilingMs);
  t.true(readCeiling({ prefillMs: 200 }) < ceilingMs);
  t.true(readCeiling({ elapsedMs: 1_000 }) > ceilingMs);
  t.true(readCeiling({ shareRatio: 1.5 }) < ceilingMs);
});

test("a held request is sent when its target just can be met", (t) => {
  const long = { ...REQUEST, prefillMs: 400, rank: 1 };
  const held = turns.decideTurn(long, 1_000, POLICY);
  t.is(held.type, "wait");
  const due = { ...long, elapsedMs: held.longestMs };
  const turn = turns.decideTurn(due, 1_000, POLICY);
  t.deepEqual([turn.type, turn.reason], ["now", "latest-start"]);
});

test("every hold ends, whatever the backlog is", (t) => {
  for (const backlogMs of [200, 1_000, 3_000, 60_000]) {
    for (const shareRatio of [0, 5]) {
      const request = { ...REQUEST, prefillMs: 800, rank: 2, shareRatio };
      let elapsedMs = 0;
      for (;;) {
        const turn = turns.decideTurn(
          { ...request, elapsedMs },
          backlogMs,
          POLICY,
        );
        if (turn.type === "now") break;
        t.true(turn.waitMs > 0 && turn.waitMs <= turn.longestMs);
        elapsedMs += turn.longestMs;
      }
      t.true(elapsedMs <= (shareRatio > 1 ? 10_000 : 3_000));
    }
  }
});

test("services whose requests are all alike need no turns", (t) => {
  const route = { targetLatencyMs: 1_000, priority: 2 };
  t.is(turns.buildRoomPolicy([], []), undefined);
  t.is(turns.buildRoomPolicy([route, route], [{ priority: 2 }]), undefined);
  t.deepEqual(
    turns.buildRoomPolicy([route, { targetLatencyMs: 4_000, priority: 1 }], []),
    { shortestTargetMs: 1_000, firstRank: 1 },
  );
  t.not(
    turns.buildRoomPolicy([route], [
      { priority: undefined },
      { priority: undefined },
    ]),
    undefined,
  );
});
