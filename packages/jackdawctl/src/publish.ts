/**
 * Publishes a signed bundle with a compare-and-swap on the bundle that it
 * replaces. The result is taken from a read that follows the write, because the
 * reply to the write may be lost.
 */
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as stores from "@jackdawbank/store";

const RETRY_DELAY_MS = 200;

/** The accepted bundle. */
export interface PublishResult {
  readonly revision: number;
  readonly digest: string;
  /** Whether a later bundle has already replaced it. */
  readonly isSuperseded: boolean;
}

export interface PublishOptions {
  readonly store: stores.Store;
  readonly signers: bundle.Signers;
  /** Time limit for determining whether the bundle was accepted. */
  readonly timeoutMs: number;
  readonly clock: kernel.Clock;
}

interface StoredBundle {
  readonly entry: stores.StoreEntry;
  readonly verified: bundle.VerifiedBundle;
}

type Comparison = "base" | "accepted" | "superseded" | "conflict";

/** Reads and verifies the active bundle. */
export async function readActiveBundle(
  store: stores.Store,
  signers: bundle.Signers,
): Promise<kernel.Outcome<StoredBundle | undefined>> {
  const read = await store.get(stores.BUNDLE_KEY);
  if (read.isErr()) return neverthrow.err(read.error);
  const entry = read.value;
  if (entry === undefined) return neverthrow.ok(undefined);
  return bundle.verifyBundle(parseJson(entry.value), signers)
    .map((verified) => ({ entry, verified }));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Compares a bundle that is to be published with the stored one: `base` if it
 * may replace the stored one, `accepted` if it is the stored one, `superseded`
 * if the stored one has replaced it, or else `conflict`.
 */
export function compareWithStored(
  candidate: bundle.VerifiedBundle,
  stored: bundle.VerifiedBundle | undefined,
): Comparison {
  if (stored === undefined) {
    return candidate.bundle.baseRevision === 0 ? "base" : "conflict";
  }
  if (stored.digest === candidate.digest) return "accepted";
  if (stored.bundle.baseDigest === candidate.digest) return "superseded";
  const isBase = stored.bundle.revision === candidate.bundle.baseRevision &&
    stored.digest === candidate.bundle.baseDigest;
  return isBase ? "base" : "conflict";
}

function describeConflict(
  candidate: bundle.VerifiedBundle,
  stored: bundle.VerifiedBundle | undefined,
): kernel.AppError {
  const baseRevision = candidate.bundle.baseRevision;
  if (stored === undefined) {
    return kernel.makeError(
      "bundle-conflict",
      `no bundle is in force, but this one replaces revision ${baseRevision}`,
    );
  }
  const { revision } = stored.bundle;
  const activeBundle =
    `revision ${revision}, signed by ${stored.signed.signerId}, digest ${
      stored.digest.slice(0, 12)
    }`;
  return kernel.makeError(
    "bundle-conflict",
    `this bundle replaces revision ${baseRevision}, but the bundle in force is ${activeBundle}`,
  );
}

async function tryWrite(
  store: stores.Store,
  candidate: bundle.VerifiedBundle,
  stored: StoredBundle | undefined,
): Promise<void> {
  const text = JSON.stringify(candidate.signed);
  // The reply is ignored: the next read shows whether the write took effect.
  if (stored === undefined) await store.create(stores.BUNDLE_KEY, text);
  else await store.replace(stored.entry, text);
}

/** Publishes a bundle, and repeats reads and writes until the outcome is certain or the time limit is reached. */
export async function publishBundle(
  candidate: bundle.VerifiedBundle,
  options: PublishOptions,
): Promise<kernel.Outcome<PublishResult>> {
  const { store, signers, clock } = options;
  const deadlineAtMs = clock.monotonicMs() + options.timeoutMs;
  let hasWritten = false;
  let lastError = kernel.makeError(
    "store-unavailable",
    "the store did not answer",
  );
  while (clock.monotonicMs() < deadlineAtMs) {
    const current = await readActiveBundle(store, signers);
    if (current.isErr()) {
      lastError = current.error;
      if (
        lastError.kind === "bundle-unsigned" ||
        lastError.kind === "bundle-invalid"
      ) {
        return neverthrow.err(lastError);
      }
      await kernel.sleep(RETRY_DELAY_MS);
      continue;
    }
    const stored = current.value;
    const comparison = compareWithStored(candidate, stored?.verified);
    if (comparison === "conflict") {
      return neverthrow.err(describeConflict(candidate, stored?.verified));
    }
    if (comparison !== "base") {
      const { bundle: { revision }, digest } = candidate;
      return neverthrow.ok({
        revision,
        digest,
        isSuperseded: comparison === "superseded",
      });
    }
    hasWritten = true;
    await tryWrite(store, candidate, stored);
  }
  const outcome = hasWritten
    ? "the bundle may or may not have been accepted"
    : "nothing was written";
  return kernel.fail("store-unavailable", `${lastError.message}; ${outcome}`);
}
