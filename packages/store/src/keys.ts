/** Keys in the platform's key-value store. */
const ROOT = "jackdawbank/";

export const BUNDLE_KEY = `${ROOT}bundle`;
/** Each incarnation of an entry process has its own bill cell. */
export const BILL_CELL_PREFIX = `${ROOT}bills/`;
/** Bills of calls with an idempotency key are in cells that all entries share. */
export const KEYED_BILL_CELL_PREFIX = `${ROOT}keyed-bills/`;

/** Zero padding keeps the keys in numeric order. */
const SEGMENT_NUMBER_DIGITS = 12;

/** Identifies a claim journal: each service has one per partition. */
export interface JournalId {
  readonly service: string;
  readonly partition: number;
}

export function buildSegmentKey(journal: JournalId, number: number): string {
  const digits = String(number).padStart(SEGMENT_NUMBER_DIGITS, "0");
  return `${ROOT}claims/${journal.service}/${journal.partition}/${digits}`;
}

export function buildSnapshotKey(journal: JournalId): string {
  return `${ROOT}claims/${journal.service}/${journal.partition}/snapshot`;
}

export function buildBillCellKey(cell: string): string {
  return `${BILL_CELL_PREFIX}${cell}`;
}

export function buildKeyedBillCellKey(partition: number): string {
  return `${KEYED_BILL_CELL_PREFIX}${partition}`;
}
