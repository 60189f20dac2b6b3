/** Holds the bundle in force and keeps it current. */
import * as admin from "@jackdawbank/admin";
import * as kernel from "@jackdawbank/kernel";
import type * as holders from "./holder.ts";

export * from "./holder.ts";
export * from "./distributor.ts";
export * from "./watcher.ts";

/** Answers operators' offers, status and readiness from a holder. */
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
        digest: holder.held?.verified.digest ?? "",
        confirmedAgeMs: Math.round(holder.confirmedAgeMs),
      });
      return false;
    }),
    host.registerCommand(admin.COLLECT_READINESS, (command) => {
      if (holder.held === undefined) command.block("no bundle is held");
      return false;
    }),
  );
}
