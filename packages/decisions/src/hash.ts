/** Hashing that is stable across processes: the same input gives the same choice everywhere. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();
const HASH_RANGE = 2 ** 32;

/** 32-bit hash of a text. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/** Hash of a text as a fraction in [0, 1). */
export function hashFraction(text: string): number {
  return hasher.h32(text) / HASH_RANGE;
}

/** Member of a rendezvous order. */
export interface RankedMember {
  readonly id: string;
  readonly weight: number;
}

/** Weighs a member for a key; `compareMembers` puts the members of a key in order. */
export function weighMember(id: string, key: string): RankedMember {
  return { id, weight: hasher.h32(`${key}\u0000${id}`) };
}

export function compareMembers(a: RankedMember, b: RankedMember): number {
  return b.weight - a.weight || a.id.localeCompare(b.id);
}

/** Returns the IDs in rendezvous (highest random weight) order for a key. */
export function rankByRendezvous(
  ids: readonly string[],
  key: string,
): readonly string[] {
  return ids
    .map((id) => weighMember(id, key))
    .toSorted(compareMembers)
    .map((ranked) => ranked.id);
}

/** Weight of a member in rendezvous order, from 32-bit hashes of the member and the key. */
function mixHashes(member: number, key: number): number {
  let mixed = member ^ key;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2_ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Positions of the first `count` members in rendezvous order for a key, from the
 * members' hashes. Fast enough for thousands of members at each request.
 */
export function findRendezvousHomes(
  memberHashes: ArrayLike<number>,
  key: string,
  count: number,
): readonly number[] {
  const keyHash = hasher.h32(key);
  const homes: { readonly index: number; readonly weight: number }[] = [];
  let lowest = -1;
  for (let index = 0; index < memberHashes.length; index += 1) {
    const weight = mixHashes(memberHashes[index] as number, keyHash);
    if (homes.length === count && weight <= lowest) continue;
    homes.push({ index, weight });
    homes.sort((a, b) => b.weight - a.weight);
    if (homes.length > count) homes.pop();
    lowest = homes.at(-1)?.weight ?? -1;
  }
  return homes.map(({ index }) => index);
}

interface RingPoint {
  readonly hash: number;
  /** Position of the member in the list that the ring was built from. */
  readonly index: number;
}

/** Consistent-hash ring over a list of members; it has to be rebuilt when the list changes. */
export interface HashRing {
  readonly points: readonly RingPoint[];
  readonly memberCount: number;
}

const POINTS_PER_MEMBER = 32;

/** Builds a ring over a list of member IDs. */
export function buildRing(ids: readonly string[]): HashRing {
  const points = ids.flatMap((id, index) =>
    Array.from({ length: POINTS_PER_MEMBER }, (_, point) => ({
      hash: hasher.h32(`${id}#${point}`),
      index,
    }))
  );
  return {
    points: points.toSorted((a, b) => a.hash - b.hash || a.index - b.index),
    memberCount: ids.length,
  };
}

function findFirstPointIndex(ring: HashRing, hash: number): number {
  let low = 0;
  let high = ring.points.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((ring.points[middle] as RingPoint).hash < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Walks the ring from a key on and returns the position of the first member that `accept` accepts. */
export function walkRing(
  ring: HashRing,
  key: string,
  accept: (index: number) => boolean,
): number | undefined {
  const start = findFirstPointIndex(ring, hasher.h32(key));
  const seen = new Set<number>();
  for (let step = 0; step < ring.points.length; step += 1) {
    const point = ring.points[(start + step) % ring.points.length] as RingPoint;
    if (seen.has(point.index)) continue;
    seen.add(point.index);
    if (accept(point.index)) return point.index;
    if (seen.size === ring.memberCount) return undefined;
  }
  return undefined;
}
