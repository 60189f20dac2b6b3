/**
 * Canonical form, digest and Ed25519 signature of a bundle. The signed text
 * names the revision and digest that it replaces, so that a replay or a lost
 * race shows by itself.
 */
import * as crypto from "node:crypto";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as stableStringify from "safe-stable-stringify";
import * as z from "zod";
import * as parse from "./parse.ts";
import type { Bundle } from "./schema.ts";

const KEY_ID_HEX_DIGITS = 16;

/** The form in which a bundle is stored and spread. */
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

/** A public key that may sign bundles. */
export interface Signer {
  readonly signerId: string;
  readonly publicKey: crypto.KeyObject;
}

/** Public keys by signer id. */
export type Signers = ReadonlyMap<string, Signer>;

/** SHA-256 of a text, in hex. */
export function computeDigest(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

/** The text that is signed: JSON with sorted keys and no white space. */
export function canonicalize(bundle: Bundle): string {
  const text = stableStringify.stringify(bundle);
  kernel.invariant(text !== undefined, "a bundle has a canonical text");
  return text;
}

/** Reads a public key in base64 of its DER form. */
export function parseSigner(publicKeyBase64: string): kernel.Outcome<Signer> {
  try {
    const der = Buffer.from(publicKeyBase64, "base64");
    const publicKey = crypto.createPublicKey({
      key: der,
      format: "der",
      type: "spki",
    });
    if (publicKey.asymmetricKeyType !== "ed25519") {
      return kernel.fail("settings-invalid", "a signer's key must be Ed25519");
    }
    return neverthrow.ok({ signerId: computeSignerId(publicKey), publicKey });
  } catch {
    return kernel.fail(
      "settings-invalid",
      "a signer's key is not base64 of a public key",
    );
  }
}

/** Names a key by the start of its digest. */
export function computeSignerId(publicKey: crypto.KeyObject): string {
  const der = publicKey.export({ format: "der", type: "spki" });
  return crypto.createHash("sha256").update(der).digest("hex").slice(
    0,
    KEY_ID_HEX_DIGITS,
  );
}

/** Signs a bundle. */
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

function checkSignature(signed: SignedBundle, signers: Signers): boolean {
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
    return kernel.fail("bundle-invalid", "the bundle's payload is not JSON");
  }
}

/** Checks form, signer, signature and content, in this order. */
export function verifyBundle(
  data: unknown,
  signers: Signers,
): kernel.Outcome<VerifiedBundle> {
  const parsed = signedBundleSchema.safeParse(data);
  if (!parsed.success) {
    return kernel.fail("bundle-invalid", "not a signed bundle of at most 1 MB");
  }
  const signed = parsed.data;
  if (!signers.has(signed.signerId)) {
    return kernel.fail(
      "bundle-unsigned",
      `unknown signer '${signed.signerId.slice(0, 64)}'`,
    );
  }
  if (!checkSignature(signed, signers)) {
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
