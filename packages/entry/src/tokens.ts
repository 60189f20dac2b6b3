/** Session tokens, signed with a key from the mesh secret, so that any entry can verify them. */
import * as crypto from "node:crypto";
import type * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as z from "zod";

const TOKEN_PREFIX = "jds1.";
const MAX_TOKEN_CHARS = 4_096;
const KEY_BYTES = 32;

const pinSchema = z.strictObject({
  sessionId: z.string().min(1).max(256),
  birthRevision: z.int().min(0),
  excluded: z.array(z.string()).max(64).readonly(),
});

/** Mints and verifies session tokens. */
export class SessionTokens {
  readonly #key: Uint8Array;

  constructor(meshSecret: string) {
    this.#key = new Uint8Array(
      crypto.hkdfSync(
        "sha256",
        meshSecret,
        "",
        "jackdawbank session token",
        KEY_BYTES,
      ),
    );
  }

  /** Whether a session header has the prefix of a token; it may still be invalid. */
  isToken(text: string): boolean {
    return text.startsWith(TOKEN_PREFIX);
  }

  mint(pin: decisions.SessionPin): string {
    const payload = Buffer.from(JSON.stringify(pin)).toString("base64url");
    return `${TOKEN_PREFIX}${payload}.${this.#sign(payload)}`;
  }

  verify(token: string): kernel.Outcome<decisions.SessionPin> {
    const [, payload = "", signature = ""] = token.slice(0, MAX_TOKEN_CHARS)
      .split(".");
    const expected = Buffer.from(this.#sign(payload));
    const given = Buffer.from(signature);
    const hasValidSignature = expected.length === given.length &&
      crypto.timingSafeEqual(expected, given);
    if (!hasValidSignature) {
      return kernel.fail("bad-request", "the session token is not valid");
    }
    const data: unknown = JSON.parse(
      Buffer.from(payload, "base64url").toString(),
    );
    const parsed = pinSchema.safeParse(data);
    if (parsed.success) return neverthrow.ok(parsed.data);
    return kernel.fail(
      "bad-request",
      "the session token has an unknown format",
    );
  }

  #sign(payload: string): string {
    return crypto.createHmac("sha256", this.#key).update(payload).digest(
      "base64url",
    );
  }
}
