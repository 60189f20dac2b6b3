/**
 * Idempotent totals of bills. Bills are stored in cells, one for each
 * incarnation of an entry process. Merging is commutative and idempotent: a bill
 * that is merged twice, in any order and by any process, counts once.
 */

/** The bill of one request. */
export interface Bill {
  /** Cell that the bill belongs to: the incarnation of the entry that issued it. */
  readonly cell: string;
  /** Consecutive within the cell, starting at 1. */
  readonly number: number;
  readonly account: string;
  /** `model@version`, or `service:name`. */
  readonly item: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly priceMicros: number;
}

/** Totals for one account and item. */
export interface BillTotal {
  readonly requests: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly priceMicros: number;
}

/** The stored state of a cell. */
export interface BillCell {
  /** All bills up to this number are in the totals. */
  readonly watermark: number;
  /** Numbers of the bills above the watermark that are in the totals, ascending. */
  readonly above: readonly number[];
  /** By `account|item`. */
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

/** Returns the key of the total that a bill is added to. */
export function formatTotalKey(bill: Bill): string {
  return `${bill.account}|${bill.item}`;
}

/** Whether the cell already contains a bill number. */
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

function advanceWatermark(watermark: number, numbers: readonly number[]): {
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

/** Merges bills into a cell; those that it already contains are ignored. */
export function mergeBills(cell: BillCell, bills: readonly Bill[]): BillCell {
  const totals: Record<string, BillTotal> = { ...cell.totals };
  const storedNumbers = new Set(cell.above);
  for (const bill of bills) {
    if (
      bill.number <= cell.watermark || storedNumbers.has(bill.number)
    ) continue;
    storedNumbers.add(bill.number);
    const totalKey = formatTotalKey(bill);
    totals[totalKey] = addToTotal(totals[totalKey] ?? EMPTY_TOTAL, bill);
  }
  return { ...advanceWatermark(cell.watermark, [...storedNumbers]), totals };
}

/**
 * Marks bill numbers as stored without adding to the totals, so that the watermark
 * can pass them. Used for bills that are added to the totals of a keyed cell.
 */
export function skipBillNumbers(
  cell: BillCell,
  numbers: readonly number[],
): BillCell {
  const newNumbers = numbers.filter((number) => !isBillStored(cell, number));
  return {
    ...cell,
    ...advanceWatermark(cell.watermark, [
      ...new Set([...cell.above, ...newNumbers]),
    ]),
  };
}

/**
 * Bills of calls with an idempotency key. A caller may repeat such a call
 * through any entry, so the cell identifies bills by key rather than by number,
 * and remembers each key for as long as repeats are expected.
 */
export interface KeyedBillCell {
  /** Time of day in milliseconds at which each key is forgotten, by key digest. */
  readonly expiryByKey: Readonly<Record<string, number>>;
  readonly totals: Readonly<Record<string, BillTotal>>;
}

export const EMPTY_KEYED_BILL_CELL: KeyedBillCell = {
  expiryByKey: {},
  totals: {},
};

/** A bill of a call with an idempotency key. */
export interface KeyedBill extends Bill {
  readonly keyDigest: string;
}

/** Merges bills into a keyed cell and removes expired keys. */
export function mergeKeyedBills(
  cell: KeyedBillCell,
  bills: readonly KeyedBill[],
  time: { readonly nowMs: number; readonly retentionMs: number },
): KeyedBillCell {
  const liveEntries = Object.entries(cell.expiryByKey).filter(([, expiry]) =>
    expiry > time.nowMs
  );
  const expiryByKey: Record<string, number> = Object.fromEntries(liveEntries);
  const totals: Record<string, BillTotal> = { ...cell.totals };
  for (const bill of bills) {
    if (Object.hasOwn(expiryByKey, bill.keyDigest)) continue;
    expiryByKey[bill.keyDigest] = time.nowMs + time.retentionMs;
    const totalKey = formatTotalKey(bill);
    totals[totalKey] = addToTotal(totals[totalKey] ?? EMPTY_TOTAL, bill);
  }
  return { expiryByKey, totals };
}

/** Adds up the totals of several cells. */
export function sumTotals(
  cells: readonly Pick<BillCell, "totals">[],
): Readonly<Record<string, BillTotal>> {
  const sums: Record<string, BillTotal> = {};
  for (const cell of cells) {
    for (const [totalKey, total] of Object.entries(cell.totals)) {
      const previous = sums[totalKey] ?? EMPTY_TOTAL;
      sums[totalKey] = {
        requests: previous.requests + total.requests,
        promptTokens: previous.promptTokens + total.promptTokens,
        completionTokens: previous.completionTokens + total.completionTokens,
        priceMicros: previous.priceMicros + total.priceMicros,
      };
    }
  }
  return sums;
}
