/** Holds the active bundle, keeps it current and distributes it. */
import * as admin from "@jackdawbank/admin";
import * as kernel from "@jackdawbank/kernel";
import type * as holders from "./holder.ts";

export * from "./holder.ts";
export * from "./distributor.ts";
export * from "./watcher.ts";

/** Registers a holder's handlers for offered bundles, status and readiness. */
export function registerConfig(
  host: kernel.Kernel,
  holder: holders.BundleHolder,
): kernel.Teardown {
  return kernel.composeTeardowns(
    host.registerCommand(admin.OFFER_BUNDLE, (command) => {
      command.reply(holder.offer(command.data, "peer"));
      return true;
    }),
    host.registerCommand(admin.COLLECT_STATUS, (command) => {
      command.add("bundle", {
        revision: holder.revision,
        digest: holder.active?.verified.digest ?? "",
        confirmedAgeMs: Math.round(holder.confirmedAgeMs),
      });
      return false;
    }),
    host.registerCommand(admin.COLLECT_READINESS, (command) => {
      if (holder.active === undefined) command.block("no bundle is active");
      return false;
    }),
  );
}
