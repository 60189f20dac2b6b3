/** Mutual proof that both ends know the mesh secret, bound to fresh nonces. */
import * as crypto from "node:crypto";

const NONCE_BYTES = 16;

/** Who a proof is made for. */
export interface ProofInput {
  readonly secret: string;
  readonly side: "client" | "server";
  readonly clientNonce: string;
  readonly serverNonce: string;
  readonly processId: string;
}

/** A fresh random nonce. */
export function createNonce(): string {
  return crypto.randomBytes(NONCE_BYTES).toString("hex");
}

/** The proof of one side. */
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
