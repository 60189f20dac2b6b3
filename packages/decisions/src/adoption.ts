/** Decides whether an offered, verified bundle replaces the one in force. Revisions never go back. */

/** Where a bundle came from. If two bundles have the same revision, the store's one is valid. */
export type BundleSource = "store" | "peer";

export interface BundleIdentity {
  readonly revision: number;
  readonly digest: string;
}

/** What to do with an offered bundle. */
export type AdoptionDecision =
  | "adopt"
  | "same"
  | "older"
  /** Same revision, other content, from the store: the current one was never accepted there. */
  | "replace-unaccepted"
  /** Same revision, other content, from a peer: nothing shows that the store accepted it. */
  | "unproven";

export function decideAdoption(
  current: BundleIdentity | undefined,
  offered: BundleIdentity,
  source: BundleSource,
): AdoptionDecision {
  if (current === undefined) return "adopt";
  if (offered.revision > current.revision) return "adopt";
  if (offered.revision < current.revision) return "older";
  if (offered.digest === current.digest) return "same";
  return source === "store" ? "replace-unaccepted" : "unproven";
}
