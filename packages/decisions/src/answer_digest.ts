/**
 * Puts the numbered frames of one attempt back together. A frame out of order
 * or a final frame that does not match makes the answer incomplete for good.
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

/** Tells whether a frame number is the one that comes next. */
export function isNextFrame(digest: AnswerDigest, number: number): boolean {
  return number === digest.count + 1;
}

/** Tells whether a final frame matches what was received. */
export function isCompleteAnswer(
  received: AnswerDigest,
  final: AnswerDigest,
): boolean {
  return received.count === final.count && received.checksum === final.checksum;
}
