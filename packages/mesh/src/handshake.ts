/** Mutual authentication: each side sends an HMAC, keyed with the mesh secret, over fresh nonces of both. */
import * as crypto from "node:crypto";

const NONCE_BYTES = 16;

/** Input of the HMAC by which one side proves that it knows the secret. */
export interface ProofInput {
  readonly secret: string;
  readonly side: "client" | "server";
  readonly clientNonce: string;
  readonly serverNonce: string;
  readonly processId: string;
}

export function createNonce(): string {
  return crypto.randomBytes(NONCE_BYTES).toString("hex");
}

/** Computes the proof of one side. */
export function computeProof(input: ProofInput): string {
  return crypto.createHmac("sha256", input.secret)
    .update(
      JSON.stringify([
        input.side,
        input.clientNonce,
        input.serverNonce,
        input.processId,
      ]),
    )
    .digest("hex");
}

/** Compares proofs in constant time. */
export function isProofValid(given: string, input: ProofInput): boolean {
  const expected = Buffer.from(computeProof(input));
  const received = Buffer.from(given);
  return expected.length === received.length &&
    crypto.timingSafeEqual(expected, received);
}
