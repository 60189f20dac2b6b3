/** Operators' signing keys, kept in files that only their owner may access; and bearer keys of accounts. */
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";

const PRIVATE_FILE_MODE = 0o600;
const GROUP_AND_OTHERS_MASK = 0o077;
const BEARER_KEY_BYTES = 24;

/** Public part of a new signing key. */
export interface NewSigningKey {
  readonly signerId: string;
  /** The public key in base64, as `--signers` expects it. */
  readonly publicKey: string;
}

/** Writes a new private key to a file; fails if the file exists. */
export function createKeyFile(path: string): kernel.Outcome<NewSigningKey> {
  const { privateKey, publicKey } = crypto.generateKeyPairSync("ed25519");
  try {
    fs.writeFileSync(
      path,
      privateKey.export({ format: "pem", type: "pkcs8" }),
      {
        mode: PRIVATE_FILE_MODE,
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

/** Reads a private key; fails if the file's mode gives access to group or others. */
export function readKeyFile(path: string): kernel.Outcome<crypto.KeyObject> {
  try {
    const { mode } = fs.statSync(path);
    if ((mode & GROUP_AND_OTHERS_MASK) !== 0) {
      return kernel.fail(
        "bad-request",
        `${path} is accessible to group or others; set its mode to 600`,
      );
    }
    const key = crypto.createPrivateKey(fs.readFileSync(path));
    if (key.asymmetricKeyType === "ed25519") return neverthrow.ok(key);
    return kernel.fail(
      "bad-request",
      `${path} does not contain an Ed25519 private key`,
    );
  } catch (thrown) {
    return kernel.fail("bad-request", kernel.describeThrown(thrown));
  }
}

/** Creates a bearer key for a client account, and the digest that the bundle contains. */
export function createBearerKey(): {
  readonly key: string;
  readonly sha256: string;
} {
  const key = `jdk_${
    crypto.randomBytes(BEARER_KEY_BYTES).toString("base64url")
  }`;
  return { key, sha256: bundle.computeDigest(key) };
}
