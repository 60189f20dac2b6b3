/**
 * Names of the roll-outs that guards have stopped ("stops"), which processes send
 * to each other.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as versions from "./versions.ts";

/**
 * Returns `model@version#step`. A stop applies to one roll-out step only: the
 * operator's next step starts without it.
 */
export function formatStopName(model: bundle.Model, version: string): string {
  const step = model.rollout.at(-1)?.sinceRevision ?? 0;
  return `${versions.formatVersionName(model.name, version)}#${step}`;
}

/** Returns the stops that apply to a bundle, as a map from the stop to `model@version`. */
export function listCurrentStops(
  content: bundle.Bundle,
  stops: ReadonlySet<string>,
): ReadonlyMap<string, string> {
  const current = new Map<string, string>();
  if (stops.size === 0) return current;
  for (const model of content.models) {
    for (const version of model.versions) {
      const stop = formatStopName(model, version.version);
      if (version.state !== "rolling" || !stops.has(stop)) continue;
      current.set(
        stop,
        versions.formatVersionName(model.name, version.version),
      );
    }
  }
  return current;
}
