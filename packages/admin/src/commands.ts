/** Commands through which plug-ins contribute to the responses of the admin listener. */
import type * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";

/** Collects the fields of `/status` from plug-ins. */
export const COLLECT_STATUS = kernel.createCommand<{
  readonly add: (name: string, value: unknown) => void;
}>("admin.collect-status");

/** Collects the reasons why the process is not ready to serve. */
export const COLLECT_READINESS = kernel.createCommand<{
  readonly block: (reason: string) => void;
}>("admin.collect-readiness");

/** Submits a signed bundle that an operator's client has sent. */
export const OFFER_BUNDLE = kernel.createCommand<{
  readonly data: unknown;
  readonly reply: (result: kernel.Outcome<bundle.VerifiedBundle>) => void;
}>("admin.offer-bundle");

/** Asks plug-ins to refuse new work and to finish running work. */
export const DRAIN = kernel.createCommand<{
  readonly reason: string;
  readonly wait: (done: Promise<void>) => void;
}>("admin.drain");
