/**
 * Rolls a signed bundle: one compare-and-swap against the bundle that it
 * replaces. After a lost reply the store is read back before any answer.
 */
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as stores from "@jackdawbank/store";

const RETRY_DELAY_MS = 200;

/** How a roll ended. */
export interface PublishResult {
  readonly revision: number;
  readonly digest: string;
  /** Whether a later bundle has replaced it already. */
  readonly isSuperseded: boolean;
}

/** Settings of a roll. */
export interface PublishOptions {
  readonly store: stores.Store;
  readonly signers: bundle.Signers;
  /** Longest time to find out what became of the write. */
  readonly timeoutMs: number;
  readonly clock: kernel.Clock;
}

interface Stored {
  readonly entry: stores.StoreEntry;
  readonly verified: bundle.VerifiedBundle;
}

type Comparison = "base" | "accepted" | "superseded" | "conflict";

/** Reads and verifies the bundle in force. */
export async function readActiveBundle(
  store: stores.Store,
  signers: bundle.Signers,
): Promise<kernel.Outcome<Stored | undefined>> {
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

/** Where the bundle in force stands to the one to be rolled. */
export function compareWithStored(
  wanted: bundle.VerifiedBundle,
  stored: bundle.VerifiedBundle | undefined,
): Comparison {
  if (stored === undefined) {
    return wanted.bundle.baseRevision === 0 ? "base" : "conflict";
  }
  if (stored.digest === wanted.digest) return "accepted";
  if (stored.bundle.baseDigest === wanted.digest) return "superseded";
  const isBase = stored.bundle.revision === wanted.bundle.baseRevision &&
    stored.digest === wanted.bundle.baseDigest;
  return isBase ? "base" : "conflict";
}

function describeConflict(
  wanted: bundle.VerifiedBundle,
  stored: bundle.VerifiedBundle | undefined,
): kernel.AppError {
  const base = wanted.bundle.baseRevision;
  if (stored === undefined) {
    return kernel.makeError(
      "bundle-conflict",
      `no bundle is in force, but this one replaces ${base}`,
    );
  }
  const { revision } = stored.bundle;
  const winner =
    `revision ${revision}, signed by ${stored.signed.signerId}, digest ${
      stored.digest.slice(0, 12)
    }`;
  return kernel.makeError(
    "bundle-conflict",
    `this bundle replaces revision ${base}, but in force is ${winner}`,
  );
}

async function swap(
  store: stores.Store,
  wanted: bundle.VerifiedBundle,
  stored: Stored | undefined,
): Promise<void> {
  const text = JSON.stringify(wanted.signed);
  // Whatever the reply says, the next read decides.
  if (stored === undefined) await store.create(stores.BUNDLE_KEY, text);
  else await store.replace(stored.entry, text);
}

/** Rolls a bundle; the answer is never a guess. */
export async function publishBundle(
  wanted: bundle.VerifiedBundle,
  options: PublishOptions,
): Promise<kernel.Outcome<PublishResult>> {
  const { store, signers, clock } = options;
  const endAtMs = clock.monotonicMs() + options.timeoutMs;
  let hasWritten = false;
  let last = kernel.makeError("store-unavailable", "the store did not answer");
  while (clock.monotonicMs() < endAtMs) {
    const current = await readActiveBundle(store, signers);
    if (current.isErr()) {
      last = current.error;
      if (last.kind === "bundle-unsigned" || last.kind === "bundle-invalid") {
        return neverthrow.err(last);
      }
      await kernel.sleep(RETRY_DELAY_MS);
      continue;
    }
    const stored = current.value;
    const comparison = compareWithStored(wanted, stored?.verified);
    if (comparison === "conflict") {
      return neverthrow.err(describeConflict(wanted, stored?.verified));
    }
    if (comparison !== "base") {
      const { bundle: { revision }, digest } = wanted;
      return neverthrow.ok({
        revision,
        digest,
        isSuperseded: comparison === "superseded",
      });
    }
    hasWritten = true;
    await swap(store, wanted, stored);
  }
  const outcome = hasWritten
    ? "it may or may not be in force"
    : "nothing was written";
  return kernel.fail("store-unavailable", `${last.message}; ${outcome}`);
}
