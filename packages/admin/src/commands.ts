/** The commands by which plug-ins answer operators. */
import type * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";

/** Asks plug-ins for their part of `/status`. */
export const COLLECT_STATUS = kernel.createCommand<{
  readonly add: (name: string, value: unknown) => void;
}>("admin.collect-status");

/** Asks plug-ins why the process is not ready to serve. */
export const COLLECT_READINESS = kernel.createCommand<{
  readonly block: (reason: string) => void;
}>("admin.collect-readiness");

/** Offers a signed bundle from an operator's client. */
export const OFFER_BUNDLE = kernel.createCommand<{
  readonly data: unknown;
  readonly reply: (result: kernel.Outcome<bundle.VerifiedBundle>) => void;
}>("admin.offer-bundle");

/** Asks plug-ins to take no new work and to finish what runs. */
export const DRAIN = kernel.createCommand<{
  readonly reason: string;
  readonly wait: (done: Promise<void>) => void;
}>("admin.drain");
