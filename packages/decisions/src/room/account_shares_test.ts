/** Tests of the accounts' shares in the engines. */
import * as ava from "ava";
import * as accountShares from "./account_shares.ts";

const test = ava.default;

/** Records prompts of 50 ms, evenly over a time, by their number for each account. */
function record(
  shares: accountShares.AccountShares,
  prompts: Readonly<Record<string, number>>,
  time: { fromMs: number; toMs: number; isRoomShort: boolean },
): void {
  const { fromMs, toMs, isRoomShort } = time;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 1_000) {
    for (const [account, perS] of Object.entries(prompts)) {
      for (let count = 0; count < perS; count += 1) {
        shares.record(account, 50, { isRoomShort, nowMs });
      }
    }
  }
}

test("only an account that asks for much more than before is over its share", (t) => {
  const shares = new accountShares.AccountShares();
  record(shares, { small: 2, large: 10 }, {
    fromMs: 0,
    toMs: 60_000,
    isRoomShort: false,
  });
  t.true(shares.readRatio("small", 60_000) < 1);
  t.true(shares.readRatio("large", 60_000) < 1);
  record(shares, { small: 10, large: 10 }, {
    fromMs: 60_000,
    toMs: 70_000,
    isRoomShort: true,
  });
  t.true(shares.readRatio("small", 70_000) > 1);
  t.true(shares.readRatio("large", 70_000) < 1);
  record(shares, { small: 2, large: 10 }, {
    fromMs: 70_000,
    toMs: 90_000,
    isRoomShort: false,
  });
  t.true(shares.readRatio("small", 90_000) < 1);
});

test("a crowd over all accounts puts none over its share", (t) => {
  const shares = new accountShares.AccountShares();
  const steady = { a: 1, b: 2, c: 4 };
  record(shares, steady, { fromMs: 0, toMs: 60_000, isRoomShort: false });
  record(shares, { a: 4, b: 8, c: 16 }, {
    fromMs: 60_000,
    toMs: 66_000,
    isRoomShort: true,
  });
  for (const account of Object.keys(steady)) {
    t.true(shares.readRatio(account, 66_000) <= 1, account);
  }
});

test("shares are not known after a start", (t) => {
  const shares = new accountShares.AccountShares();
  record(shares, { a: 50, b: 1 }, {
    fromMs: 0,
    toMs: 5_000,
    isRoomShort: true,
  });
  t.is(shares.readRatio("a", 5_000), 0);
});
