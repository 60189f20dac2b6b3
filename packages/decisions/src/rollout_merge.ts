/**
 * What remains valid of orders and records of roll-outs if the control plane is
 * restored from an older copy. Revisions order them within an era only; across
 * eras, the same order is recognised by its content. A state that was reached is
 * kept, so that neither the copy nor a late writer undoes a verdict.
 */
import * as kernel from "@jackdawbank/kernel";
import type * as plan from "./rollout_plan.ts";

/** What identifies a roll-out. */
export type RolloutIdentity = Pick<
  plan.RolloutRecord,
  "orderRevision" | "targetVersion" | "durationMs"
>;

/** Eras of which an order keeps its revision. */
const MAX_FORMER_REVISIONS = 8;

/** A state is never replaced by one with a lower number in the same roll-out. */
const STATE_ORDER: Readonly<Record<plan.RolloutState, number>> = {
  "in-progress": 0,
  "completed": 1,
  "rolled-back": 2,
};

/** Returns the identity of the roll-out that an order starts. */
export function identifyOrder(order: plan.RolloutOrder): RolloutIdentity {
  const { revision, targetVersion, durationMs } = order;
  return { orderRevision: revision, targetVersion, durationMs };
}

/** Whether two identities of one service belong to the same roll-out. */
export function isSameRollout(
  first: RolloutIdentity,
  second: RolloutIdentity,
): boolean {
  if (kernel.isSameEra(first.orderRevision, second.orderRevision)) {
    return first.orderRevision === second.orderRevision;
  }
  return first.targetVersion === second.targetVersion &&
    first.durationMs === second.durationMs;
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

/**
 * Merges the record that this process knows with a newer one from the control plane.
 * Returns the latter itself if it holds all that is known; any other result is still to
 * be written, on condition of the stored revision.
 */
export function mergeRecords(
  known: plan.RolloutRecord,
  stored: plan.RolloutRecord,
): plan.RolloutRecord {
  const isSame = isSameRollout(known, stored);
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
