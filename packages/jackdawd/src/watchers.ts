/** Which entries of a data centre watch the store, so that its calls do not grow with the fleet. */
import * as decisions from "@jackdawbank/decisions";
import type * as stores from "@jackdawbank/store";

const WATCHERS_PER_DATA_CENTRE = 2;
const WATCHER_KEY = "bundle-watchers";

/** Whether a process is among its data centre's watchers. */
export function isBundleWatcher(
  vms: readonly stores.Vm[],
  self: { readonly processId: string; readonly dataCentre: string },
): boolean {
  const candidates = vms
    .filter((vm) => vm.role === "entry" && vm.state === "live")
    .filter((vm) => vm.dataCentre === self.dataCentre)
    .map((vm) => vm.id);
  const known = candidates.includes(self.processId)
    ? candidates
    : [...candidates, self.processId];
  return decisions.rankByRendezvous(known, WATCHER_KEY)
    .slice(0, WATCHERS_PER_DATA_CENTRE)
    .includes(self.processId);
}
