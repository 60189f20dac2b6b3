/**
 * Detects missing and reordered frames of one attempt's answer: both sides count
 * the frames and compute a checksum of their bytes. An answer with a frame out of
 * order, or a final frame that does not match, is incomplete and stays so.
 */
import * as zlib from "node:zlib";

/** Running count and checksum of the frames of one attempt. */
export interface AnswerDigest {
  readonly count: number;
  readonly checksum: number;
}

export const EMPTY_ANSWER_DIGEST: AnswerDigest = { count: 0, checksum: 0 };

/** Adds the next frame's bytes. */
export function extendAnswerDigest(
  digest: AnswerDigest,
  data: Uint8Array,
): AnswerDigest {
  return {
    count: digest.count + 1,
    checksum: zlib.crc32(data, digest.checksum),
  };
}

export function isNextFrame(digest: AnswerDigest, number: number): boolean {
  return number === digest.count + 1;
}

/** Whether a final frame matches what was received. */
export function isCompleteAnswer(
  received: AnswerDigest,
  final: AnswerDigest,
): boolean {
  return received.count === final.count &&
    received.checksum === final.checksum;
}
