/**
 * Which processes watch the control plane for all. Each change ends the watches of
 * all processes at once, so their calls grow with processes times changes. In a
 * large fleet a few processes watch, and the others learn of changes from them; a
 * process that hears nothing from them asks the control plane itself.
 */
import * as hash from "./hash.ts";

/** In a smaller fleet every process watches. */
const MIN_RELAYED_PROCESSES = 12;
/** Watchers of the smallest fleet that has any; a few may fail at once. */
const MIN_WATCHERS = 4;
/** Processes that one watcher tells. */
const PROCESSES_PER_WATCHER = 8;

const WATCHERS_KEY = "control-watchers";

/** Chooses the processes that watch; processes that know the same names agree. */
export function chooseWatchers(
  names: readonly string[],
): readonly string[] {
  if (names.length < MIN_RELAYED_PROCESSES) return names;
  const count = Math.max(
    MIN_WATCHERS,
    Math.ceil(names.length / PROCESSES_PER_WATCHER),
  );
  return hash.rankByRendezvous([...names], WATCHERS_KEY).slice(0, count);
}

/** The watchers that a process asks, in order; empty if it watches itself. */
export function rankRelays(
  self: string,
  names: readonly string[],
): readonly string[] {
  const watchers = chooseWatchers(names);
  return watchers.includes(self)
    ? []
    : hash.rankByRendezvous([...watchers], self);
}
