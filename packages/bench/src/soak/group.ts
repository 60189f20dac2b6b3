/** Groups items by a key, in the order in which the keys appear. */

export function groupBy<T, K>(
  items: readonly T[],
  readKey: (item: T) => K,
): ReadonlyMap<K, readonly T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = readKey(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
