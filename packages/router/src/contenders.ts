/**
 * Draws the replicas that are weighed for one request where a service has many, so
 * that a choice costs the same in a fleet of any size: the first ones in the order
 * of the prompt's prefix, and a random sample.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as groups from "./replica_group.ts";
import type * as members from "./replica_members.ts";

/** Replicas of a service that are all weighed; of more, a sample is. */
const MAX_WEIGHED = 64;
/** Of these, the first in the order of the prefix; some may be full, or excluded. */
const HOMES = 8;

/** Whether all of so many replicas are weighed. */
export function areAllWeighed(replicas: number): boolean {
  return replicas <= MAX_WEIGHED;
}

/** Draws from a list that is too long to be weighed. */
export function drawContenders(
  { states, keys }: members.MemberList,
  affinityKey: string | undefined,
  random: () => number,
): readonly groups.ReplicaState[] {
  const drawn = new Set(
    affinityKey === undefined
      ? []
      : decisions.findRendezvousHomes(keys, affinityKey, HOMES),
  );
  for (let draws = drawn.size; draws < MAX_WEIGHED; draws += 1) {
    drawn.add(Math.floor(random() * states.length));
  }
  return [...drawn].map((index) => states[index] as groups.ReplicaState);
}
