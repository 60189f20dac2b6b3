/** Names of roll-outs that a guard has stopped, as processes tell each other. */
import type * as bundle from "@jackdawbank/bundle";
import * as versions from "./versions.ts";

/** A stop holds for one roll-out step: an operator's next step begins anew. */
export function formatStopName(model: bundle.Model, version: string): string {
  const step = model.rollout.at(-1)?.sinceRevision ?? 0;
  return `${versions.formatVersionName(model.name, version)}#${step}`;
}

/** The stops that concern the bundle in force, as `model@version` by stop. */
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
