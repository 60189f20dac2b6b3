/** A batch of claims and other records that is stored as one segment. */
import type * as tables from "./claim_table.ts";
import type * as types from "./claim_types.ts";
import type * as waiting from "./claim_waiters.ts";

/** A segment with what it was built from, which is queued again if it cannot be stored. */
export interface Batch {
  readonly number: number;
  readonly segment: types.ClaimSegment;
  readonly claims: readonly waiting.PendingClaim[];
  readonly queuedRecords: readonly types.ClaimRecord[];
}

export interface BatchInput
  extends
    Pick<Batch, "number" | "claims" | "queuedRecords">,
    Pick<types.ClaimSegment, "ownerId" | "batchId" | "isOpening"> {
  /** Wall-clock time of the claims. */
  readonly atMs: number;
}

/** Builds a batch; the queued records precede the claims. */
export function buildBatch(
  input: BatchInput,
  table: tables.ClaimTable,
): Batch {
  const { number, ownerId, batchId, isOpening, claims, queuedRecords, atMs } =
    input;
  const records: readonly types.ClaimRecord[] = [
    ...queuedRecords,
    ...claims.map(({ key, bodyHash, claimId, voided }) => ({
      type: "claim" as const,
      key,
      bodyHash,
      atMs,
      claimId,
      replaces: voided.find((other) => other === table.get(key)?.claimId),
    })),
  ];
  const segment = { ownerId, isOpening, batchId, records };
  return { number, segment, claims, queuedRecords };
}
