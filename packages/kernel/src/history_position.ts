/**
 * Positions in the history of a store, as numbers that are ordered like the history.
 * A store that is restored from a copy begins a new era, in which it gives out
 * revisions again: a position is above all those of earlier eras. In a store
 * without eras, a position is the revision itself.
 */

/** Revisions of one era; more than 20 years at 400 changes per second. */
const REVISIONS_PER_ERA = 2 ** 38;
/** Highest era for which positions are safe integers. */
export const MAX_ERA = 2 ** 15 - 1;

/** Returns the position of a revision in an era. */
export function makePosition(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Returns the era of a position. */
export function readEra(position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}

/** Returns the revision of a position within its era. */
export function readRevision(position: number): number {
  return position % REVISIONS_PER_ERA;
}

/** Whether two positions belong to the same era, so that equal ones mean the same state. */
export function isSameEra(first: number, second: number): boolean {
  return readEra(first) === readEra(second);
}

/** Returns a position for a log: the revision, after its era and a colon if the store names one. */
export function describePosition(position: number): number | string {
  const era = readEra(position);
  return era === 0 ? position : `${era}:${readRevision(position)}`;
}
