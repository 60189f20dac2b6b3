/**
 * Canonical form, digest and Ed25519 signature of a bundle. The signed text
 * includes the revision and digest of the bundle that it replaces, so that a
 * replayed bundle, or one that lost a race with another, can be detected.
 */
import * as crypto from "node:crypto";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as stableStringify from "safe-stable-stringify";
import * as z from "zod";
import * as parse from "./parse.ts";
import type { Bundle } from "./schema.ts";

const SIGNER_ID_HEX_DIGITS = 16;

/** A bundle in the form that is stored and sent between processes. */
export const signedBundleSchema = z.strictObject({
  /** Canonical JSON text of the bundle; the signature covers these bytes. */
  payload: z.string().max(parse.MAX_BUNDLE_BYTES),
  signerId: z.string(),
  /** Ed25519 signature, base64. */
  signature: z.string(),
}).readonly();

export type SignedBundle = z.infer<typeof signedBundleSchema>;

/** A bundle whose signature has been checked. */
export interface VerifiedBundle {
  readonly bundle: Bundle;
  readonly digest: string;
  readonly signed: SignedBundle;
}

/** A public key whose signatures on bundles are accepted. */
export interface Signer {
  readonly signerId: string;
  readonly publicKey: crypto.KeyObject;
}

/** Accepted signers by signer id. */
export type Signers = ReadonlyMap<string, Signer>;

/** Computes the SHA-256 digest of a text, in hex. */
export function computeDigest(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

/** Renders the text that is signed: JSON with sorted keys and without white space. */
export function canonicalize(bundle: Bundle): string {
  const text = stableStringify.stringify(bundle);
  kernel.invariant(
    text !== undefined,
    "a bundle must be representable as JSON",
  );
  return text;
}

/** Parses a public key from the base64 text of its DER encoding (SPKI). */
export function parseSigner(publicKeyBase64: string): kernel.Outcome<Signer> {
  try {
    const der = Buffer.from(publicKeyBase64, "base64");
    const publicKey = crypto.createPublicKey({
      key: der,
      format: "der",
      type: "spki",
    });
    if (publicKey.asymmetricKeyType !== "ed25519") {
      return kernel.fail(
        "settings-invalid",
        "a signer's public key must be an Ed25519 key",
      );
    }
    return neverthrow.ok({ signerId: computeSignerId(publicKey), publicKey });
  } catch {
    return kernel.fail(
      "settings-invalid",
      "a signer's public key must be the base64 text of a DER-encoded public key",
    );
  }
}

/** Computes the id of a signer: the first hex digits of the digest of its public key. */
export function computeSignerId(publicKey: crypto.KeyObject): string {
  const der = publicKey.export({ format: "der", type: "spki" });
  return crypto.createHash("sha256").update(der).digest("hex").slice(
    0,
    SIGNER_ID_HEX_DIGITS,
  );
}

export function signBundle(
  bundle: Bundle,
  privateKey: crypto.KeyObject,
): SignedBundle {
  const payload = canonicalize(bundle);
  const signature = crypto.sign(null, Buffer.from(payload), privateKey)
    .toString("base64");
  const signerId = computeSignerId(crypto.createPublicKey(privateKey));
  return { payload, signerId, signature };
}

function verifySignature(signed: SignedBundle, signers: Signers): boolean {
  const signer = signers.get(signed.signerId);
  if (signer === undefined) return false;
  const signature = Buffer.from(signed.signature, "base64");
  return crypto.verify(
    null,
    Buffer.from(signed.payload),
    signer.publicKey,
    signature,
  );
}

function parseJson(text: string): kernel.Outcome<unknown> {
  try {
    return neverthrow.ok(JSON.parse(text) as unknown);
  } catch {
    return kernel.fail(
      "bundle-invalid",
      "the payload of the signed bundle is not valid JSON",
    );
  }
}

/** Verifies the form, signer, signature and content of a signed bundle, in this order. */
export function verifyBundle(
  data: unknown,
  signers: Signers,
): kernel.Outcome<VerifiedBundle> {
  const parsed = signedBundleSchema.safeParse(data);
  if (!parsed.success) {
    return kernel.fail(
      "bundle-invalid",
      "the data is not a signed bundle of at most 1 MB",
    );
  }
  const signed = parsed.data;
  if (!signers.has(signed.signerId)) {
    return kernel.fail(
      "bundle-unsigned",
      `unknown signer '${signed.signerId.slice(0, 64)}'`,
    );
  }
  if (!verifySignature(signed, signers)) {
    return kernel.fail(
      "bundle-unsigned",
      "the signature does not match the bundle",
    );
  }
  return parseJson(signed.payload)
    .andThen(parse.parseBundleData)
    .map((bundle) => ({
      bundle,
      digest: computeDigest(signed.payload),
      signed,
    }));
}
