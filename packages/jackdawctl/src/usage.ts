/** Sums the stored bills. */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as stores from "@jackdawbank/store";

/** Usage of one client account on one item. */
export interface UsageRow extends decisions.BillTotal {
  readonly account: string;
  readonly item: string;
}

function parseTotals(
  entry: stores.StoreEntry,
): Pick<decisions.BillCell, "totals"> {
  return JSON.parse(entry.value) as Pick<decisions.BillCell, "totals">;
}

/** Reads all cells and adds them up. */
export async function readUsage(
  store: stores.Store,
): Promise<kernel.Outcome<readonly UsageRow[]>> {
  const plain = await store.list(stores.BILL_CELL_PREFIX);
  if (plain.isErr()) return neverthrow.err(plain.error);
  const keyed = await store.list(stores.KEYED_BILL_CELL_PREFIX);
  if (keyed.isErr()) return neverthrow.err(keyed.error);
  const sums = decisions.sumTotals(
    [...plain.value, ...keyed.value].map(parseTotals),
  );
  const rows = Object.entries(sums).map(([name, total]) => {
    const [account = "", item = ""] = name.split("|");
    return { account, item, ...total };
  });
  return neverthrow.ok(
    rows.toSorted((a, b) =>
      a.account.localeCompare(b.account) || a.item.localeCompare(b.item)
    ),
  );
}
