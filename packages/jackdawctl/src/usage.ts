/** Adds up the usage that is stored in the bill cells. */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as stores from "@jackdawbank/store";

/** Usage of one item by one client account. */
export interface UsageRow extends decisions.BillTotal {
  readonly account: string;
  readonly item: string;
}

function parseTotals(
  entry: stores.StoreEntry,
): Pick<decisions.BillCell, "totals"> {
  return JSON.parse(entry.value) as Pick<decisions.BillCell, "totals">;
}

/** Reads all bill cells and adds them up by account and item. */
export async function readUsage(
  store: stores.Store,
): Promise<kernel.Outcome<readonly UsageRow[]>> {
  const unkeyed = await store.list(stores.BILL_CELL_PREFIX);
  if (unkeyed.isErr()) return neverthrow.err(unkeyed.error);
  const keyed = await store.list(stores.KEYED_BILL_CELL_PREFIX);
  if (keyed.isErr()) return neverthrow.err(keyed.error);
  const totals = decisions.sumTotals(
    [...unkeyed.value, ...keyed.value].map(parseTotals),
  );
  const rows = Object.entries(totals).map(([name, total]) => {
    const [account = "", item = ""] = name.split("|");
    return { account, item, ...total };
  });
  return neverthrow.ok(
    rows.toSorted((a, b) =>
      a.account.localeCompare(b.account) || a.item.localeCompare(b.item)
    ),
  );
}
