/**
 * What remains valid of orders and records of roll-outs if the control plane is
 * restored from an older copy. Revisions order them within an era only. Across
 * eras, a process that knew an order recognises it by its content, once; from then
 * on, its revisions tell. A state that was reached is kept, so that neither the copy
 * nor a late writer undoes a verdict.
 */
import * as kernel from "@jackdawbank/kernel";
import type * as plan from "./rollout_plan.ts";

/** Eras of which an order keeps its revision. */
const MAX_FORMER_REVISIONS = 8;

/** A state is never replaced by one with a lower number in the same roll-out. */
const STATE_ORDER: Readonly<Record<plan.RolloutState, number>> = {
  "in-progress": 0,
  "completed": 1,
  "rolled-back": 2,
};

/**
 * Whether an order is the known one: within an era by its revision; in a later era,
 * in which the operator writes it again under another one, by its content.
 */
export function isSameOrder(
  known: plan.RolloutOrder,
  order: plan.RolloutOrder,
): boolean {
  if (kernel.isSameEra(known.revision, order.revision)) {
    return known.revision === order.revision;
  }
  return known.targetVersion === order.targetVersion &&
    known.durationMs === order.durationMs;
}

/** Returns an order that has come again, with the revisions under which it was known. */
export function recognizeOrder(
  known: plan.RolloutOrder,
  order: plan.RolloutOrder,
): plan.RolloutOrder {
  const formerRevisions = [known.revision, ...known.formerRevisions ?? []]
    .slice(0, MAX_FORMER_REVISIONS);
  return { ...order, formerRevisions };
}

/** Whether a revision is that of an order, now or in an earlier era. */
export function isRevisionOf(
  order: plan.RolloutOrder,
  revision: number,
): boolean {
  if (order.revision === revision) return true;
  return order.formerRevisions?.includes(revision) ?? false;
}

/** Whether a record may be that of an order: for certain, or by its content if the eras differ. */
export function mayBeRecordOf(
  order: plan.RolloutOrder,
  record: plan.RolloutRecord,
): boolean {
  return isSameOrder({ ...record, revision: record.orderRevision }, order);
}

/** Whether a record is that of an order, or of the same item of a copy. */
export function isRecordOf(
  order: plan.RolloutOrder,
  record: plan.RolloutRecord,
): boolean {
  if (isRevisionOf(order, record.orderRevision)) return true;
  // An item that was in the copy keeps its revision.
  return mayBeRecordOf(order, record) &&
    kernel.readRevision(order.revision) ===
      kernel.readRevision(record.orderRevision);
}

/**
 * Merges the record that this process knows with a newer one from the control plane.
 * Returns the latter itself if it holds all that is known; any other result is still to
 * be written, on condition of the stored revision.
 */
export function mergeRecords(
  known: plan.RolloutRecord,
  stored: plan.RolloutRecord,
): plan.RolloutRecord {
  const isSame = known.orderRevision === stored.orderRevision;
  const isKnownNewer = isSame
    ? STATE_ORDER[known.state] > STATE_ORDER[stored.state]
    : known.orderRevision > stored.orderRevision;
  const newest = isKnownNewer ? known : stored;
  const banned = new Set([...stored.bannedVersions, ...known.bannedVersions]);
  // Its order lifted an earlier ban of the version.
  if (newest.state !== "rolled-back") banned.delete(newest.targetVersion);
  if (!isKnownNewer && banned.size === stored.bannedVersions.length) {
    return stored;
  }
  return {
    ...newest,
    revision: stored.revision,
    writeId: stored.writeId,
    bannedVersions: [...banned],
  };
}
