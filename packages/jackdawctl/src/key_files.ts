/** Operators' signing keys: private keys in files that only their owner may read. */
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";

const PRIVATE_MODE = 0o600;
const OTHERS_MASK = 0o077;
const BEARER_KEY_BYTES = 24;

/** A new signing key. */
export interface NewKey {
  readonly signerId: string;
  /** Base64 of the public key, for the daemons' `--signers`. */
  readonly publicKey: string;
}

/** Writes a new private key; an existing file is never overwritten. */
export function createKeyFile(path: string): kernel.Outcome<NewKey> {
  const { privateKey, publicKey } = crypto.generateKeyPairSync("ed25519");
  try {
    fs.writeFileSync(
      path,
      privateKey.export({ format: "pem", type: "pkcs8" }),
      {
        mode: PRIVATE_MODE,
        flag: "wx",
      },
    );
  } catch (thrown) {
    return kernel.fail("bad-request", kernel.describeThrown(thrown));
  }
  return neverthrow.ok({
    signerId: bundle.computeSignerId(publicKey),
    publicKey: publicKey.export({ format: "der", type: "spki" }).toString(
      "base64",
    ),
  });
}

/** Reads a private key; refuses a file that others may read. */
export function readKeyFile(path: string): kernel.Outcome<crypto.KeyObject> {
  try {
    const { mode } = fs.statSync(path);
    if ((mode & OTHERS_MASK) !== 0) {
      return kernel.fail(
        "bad-request",
        `${path} may be read by others; set its mode to 600`,
      );
    }
    const key = crypto.createPrivateKey(fs.readFileSync(path));
    if (key.asymmetricKeyType === "ed25519") return neverthrow.ok(key);
    return kernel.fail("bad-request", `${path} holds no Ed25519 key`);
  } catch (thrown) {
    return kernel.fail("bad-request", kernel.describeThrown(thrown));
  }
}

/** A new bearer key for a client account, with the digest that the bundle holds. */
export function createBearerKey(): {
  readonly key: string;
  readonly sha256: string;
} {
  const key = `jdk_${
    crypto.randomBytes(BEARER_KEY_BYTES).toString("base64url")
  }`;
  return { key, sha256: bundle.computeDigest(key) };
}
