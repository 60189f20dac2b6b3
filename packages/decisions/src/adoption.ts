/** Which of two verified bundles stays in force: the newer revision, never an older one. */

/** Where a bundle came from; the store decides between equal revisions. */
export type BundleSource = "store" | "peer";

/** Identity of a bundle. */
export interface BundleIdentity {
  readonly revision: number;
  readonly digest: string;
}

/** What to do with an offered bundle. */
export type AdoptionDecision =
  | "adopt"
  | "same"
  | "older"
  | "replace-unaccepted"
  | "unproven";

/** Decides on a verified bundle that is offered. */
export function decideAdoption(
  held: BundleIdentity | undefined,
  offered: BundleIdentity,
  source: BundleSource,
): AdoptionDecision {
  if (held === undefined) return "adopt";
  if (offered.revision > held.revision) return "adopt";
  if (offered.revision < held.revision) return "older";
  if (offered.digest === held.digest) return "same";
  return source === "store" ? "replace-unaccepted" : "unproven";
}
