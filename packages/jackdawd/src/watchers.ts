/** Selects the entries of a data centre that watch the store, so that its load does not grow with the number of entries. */
import * as decisions from "@jackdawbank/decisions";
import type * as stores from "@jackdawbank/store";

const WATCHERS_PER_DATA_CENTRE = 2;
const WATCHER_KEY = "bundle-watchers";

/** Whether a process is one of its data centre's watchers. It counts as live even if the VM list lacks it. */
export function isBundleWatcher(
  vms: readonly stores.Vm[],
  self: { readonly processId: string; readonly dataCentre: string },
): boolean {
  const candidates = vms
    .filter((vm) => vm.role === "entry" && vm.state === "live")
    .filter((vm) => vm.dataCentre === self.dataCentre)
    .map((vm) => vm.id);
  const candidatesWithSelf = candidates.includes(self.processId)
    ? candidates
    : [...candidates, self.processId];
  return decisions.rankByRendezvous(candidatesWithSelf, WATCHER_KEY)
    .slice(0, WATCHERS_PER_DATA_CENTRE)
    .includes(self.processId);
}
