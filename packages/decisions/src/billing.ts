/**
 * Bills as a mergeable cell: merging the same bill twice, in any order and
 * from any process, counts it once.
 */

/** One bill. `number` counts up from 1 within an entry's incarnation. */
export interface Bill {
  readonly cell: string;
  readonly number: number;
  readonly account: string;
  /** `model@version`, or `service:name`. */
  readonly item: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly priceMicros: number;
}

/** Sums for one account and item. */
export interface BillTotal {
  readonly requests: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly priceMicros: number;
}

/** The stored state of a cell. */
export interface BillCell {
  /** All numbers up to this one are in the totals. */
  readonly watermark: number;
  /** Numbers above the watermark that are in the totals, ascending. */
  readonly above: readonly number[];
  /** Totals by `account|item`. */
  readonly totals: Readonly<Record<string, BillTotal>>;
}

export const EMPTY_BILL_CELL: BillCell = {
  watermark: 0,
  above: [],
  totals: {},
};

const EMPTY_TOTAL: BillTotal = {
  requests: 0,
  promptTokens: 0,
  completionTokens: 0,
  priceMicros: 0,
};

/** Names the total that a bill belongs to. */
export function formatTotalKey(bill: Bill): string {
  return `${bill.account}|${bill.item}`;
}

/** Tells whether a number is in the cell already. */
export function isBillStored(cell: BillCell, number: number): boolean {
  return number <= cell.watermark || cell.above.includes(number);
}

function addToTotal(total: BillTotal, bill: Bill): BillTotal {
  return {
    requests: total.requests + 1,
    promptTokens: total.promptTokens + bill.promptTokens,
    completionTokens: total.completionTokens + bill.completionTokens,
    priceMicros: total.priceMicros + bill.priceMicros,
  };
}

function raiseWatermark(watermark: number, numbers: readonly number[]): {
  readonly watermark: number;
  readonly above: readonly number[];
} {
  const sorted = numbers.toSorted((a, b) => a - b);
  let next = watermark;
  let used = 0;
  while (sorted[used] === next + 1) {
    next += 1;
    used += 1;
  }
  return { watermark: next, above: sorted.slice(used) };
}

/** Merges bills into a cell; those that it holds already are dropped. */
export function mergeBills(cell: BillCell, bills: readonly Bill[]): BillCell {
  const totals: Record<string, BillTotal> = { ...cell.totals };
  const held = new Set(cell.above);
  for (const bill of bills) {
    if (bill.number <= cell.watermark || held.has(bill.number)) continue;
    held.add(bill.number);
    const name = formatTotalKey(bill);
    totals[name] = addToTotal(totals[name] ?? EMPTY_TOTAL, bill);
  }
  return { ...raiseWatermark(cell.watermark, [...held]), totals };
}

/** Takes a number out of use: its request ended without a complete answer. */
export function skipBillNumbers(
  cell: BillCell,
  numbers: readonly number[],
): BillCell {
  const fresh = numbers.filter((number) => !isBillStored(cell, number));
  return {
    ...cell,
    ...raiseWatermark(cell.watermark, [...new Set([...cell.above, ...fresh])]),
  };
}

/**
 * Bills of calls that carry a caller's key, which may come again through any
 * entry: the cell remembers the keys for as long as repeats are expected.
 */
export interface KeyedBillCell {
  /** Expiry in wall milliseconds by key digest. */
  readonly expiryByKey: Readonly<Record<string, number>>;
  readonly totals: Readonly<Record<string, BillTotal>>;
}

export const EMPTY_KEYED_BILL_CELL: KeyedBillCell = {
  expiryByKey: {},
  totals: {},
};

/** A bill of a keyed call. */
export interface KeyedBill extends Bill {
  readonly keyDigest: string;
}

/** Merges keyed bills; expired keys are forgotten. */
export function mergeKeyedBills(
  cell: KeyedBillCell,
  bills: readonly KeyedBill[],
  time: { readonly nowMs: number; readonly retentionMs: number },
): KeyedBillCell {
  const live = Object.entries(cell.expiryByKey).filter(([, expiry]) =>
    expiry > time.nowMs
  );
  const expiryByKey: Record<string, number> = Object.fromEntries(live);
  const totals: Record<string, BillTotal> = { ...cell.totals };
  for (const bill of bills) {
    if (Object.hasOwn(expiryByKey, bill.keyDigest)) continue;
    expiryByKey[bill.keyDigest] = time.nowMs + time.retentionMs;
    const name = formatTotalKey(bill);
    totals[name] = addToTotal(totals[name] ?? EMPTY_TOTAL, bill);
  }
  return { expiryByKey, totals };
}

/** Adds up totals over cells. */
export function sumTotals(
  cells: readonly Pick<BillCell, "totals">[],
): Readonly<Record<string, BillTotal>> {
  const sums: Record<string, BillTotal> = {};
  for (const cell of cells) {
    for (const [name, total] of Object.entries(cell.totals)) {
      const held = sums[name] ?? EMPTY_TOTAL;
      sums[name] = {
        requests: held.requests + total.requests,
        promptTokens: held.promptTokens + total.promptTokens,
        completionTokens: held.completionTokens + total.completionTokens,
        priceMicros: held.priceMicros + total.priceMicros,
      };
    }
  }
  return sums;
}
