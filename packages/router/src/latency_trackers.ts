/** What this process has learnt of the speed of each service's engines. */
import * as decisions from "@jackdawbank/decisions";

/** Trackers by service. */
export class LatencyTrackers {
  readonly #trackers = new Map<string, decisions.EngineLatencyTracker>();

  get(service: string): decisions.EngineLatencyTracker {
    const existing = this.#trackers.get(service);
    if (existing !== undefined) return existing;
    const tracker = new decisions.EngineLatencyTracker();
    this.#trackers.set(service, tracker);
    return tracker;
  }
}
