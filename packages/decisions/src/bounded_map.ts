/** Bound on the size of maps whose keys are in the order of their last use. */

/** Removes the entries that were added or renewed first until the map is small enough. */
export function trimOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
