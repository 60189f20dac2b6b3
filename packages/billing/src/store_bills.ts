/**
 * Merges bills into cells in the store. A cell holds the totals of one entry
 * incarnation. Bills of requests with an idempotency key are added to keyed cells
 * instead, which all entries share. A bill that is merged twice is counted once.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as mesh from "@jackdawbank/mesh";
import * as stores from "@jackdawbank/store";

const KEYED_CELL_COUNT = 8;
const KEYED_RETENTION_MS = 3_600_000;

function parseCell<T>(text: string | undefined, empty: T): T {
  return text === undefined ? empty : JSON.parse(text) as T;
}

function groupBills(
  bills: readonly mesh.WireBill[],
  getGroupName: (bill: mesh.WireBill) => string,
): ReadonlyMap<string, readonly mesh.WireBill[]> {
  const groups = new Map<string, mesh.WireBill[]>();
  for (const bill of bills) {
    const name = getGroupName(bill);
    const group = groups.get(name) ?? [];
    group.push(bill);
    groups.set(name, group);
  }
  return groups;
}

function buildKeyedCellKey(bill: mesh.WireBill): string {
  const partition = decisions.hashText(bill.keyDigest ?? "") % KEYED_CELL_COUNT;
  return stores.buildKeyedBillCellKey(partition);
}

async function storeKeyedBills(
  store: stores.Store,
  key: string,
  options: { readonly bills: readonly mesh.WireBill[]; readonly nowMs: number },
): Promise<boolean> {
  const bills = options.bills.map((bill) => ({
    ...bill,
    keyDigest: bill.keyDigest ?? "",
  }));
  const stored = await stores.mergeValue<decisions.KeyedBillCell>(store, key, {
    parse: (text) => parseCell(text, decisions.EMPTY_KEYED_BILL_CELL),
    merge: (current) =>
      decisions.mergeKeyedBills(current, bills, {
        nowMs: options.nowMs,
        retentionMs: KEYED_RETENTION_MS,
      }),
  });
  return stored.isOk();
}

/** Stores one entry's bills; numbers of keyed bills are skipped, as the keyed cells hold those. */
async function storeCell(
  store: stores.Store,
  cell: string,
  bills: readonly mesh.WireBill[],
): Promise<boolean> {
  const unkeyedBills = bills.filter((bill) => bill.keyDigest === undefined);
  const keyedNumbers = bills
    .filter((bill) => bill.keyDigest !== undefined)
    .map((bill) => bill.number);
  const stored = await stores.mergeValue<decisions.BillCell>(
    store,
    stores.buildBillCellKey(cell),
    {
      parse: (text) => parseCell(text, decisions.EMPTY_BILL_CELL),
      merge: (current) =>
        decisions.skipBillNumbers(
          decisions.mergeBills(current, unkeyedBills),
          keyedNumbers,
        ),
    },
  );
  return stored.isOk();
}

/** Stores bills; returns whether all of them are stored. */
export async function storeBills(
  store: stores.Store,
  bills: readonly mesh.WireBill[],
  nowMs: number,
): Promise<boolean> {
  const keyedBills = bills.filter((bill) => bill.keyDigest !== undefined);
  for (const [key, group] of groupBills(keyedBills, buildKeyedCellKey)) {
    if (!await storeKeyedBills(store, key, { bills: group, nowMs })) {
      return false;
    }
  }
  for (const [cell, group] of groupBills(bills, (bill) => bill.cell)) {
    if (!await storeCell(store, cell, group)) return false;
  }
  return true;
}
