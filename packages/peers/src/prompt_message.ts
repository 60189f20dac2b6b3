/** What a process tells its peers of suspected parts of prompts; msgpack lists, without field names. */
import type * as decisions from "@jackdawbank/decisions";
import * as msgpackr from "msgpackr";
import * as packets from "./packet.ts";
import * as z from "zod";

/** Evidence on one part, with times as ages, which need no common clock. */
export interface PartTally {
  readonly partId: string;
  readonly crashes: readonly {
    readonly replicaKey: number;
    readonly ageMs: number;
    readonly hadHead: boolean;
  }[];
  /** Decayed number of answers that began. */
  readonly begun: number;
  /** Infinite if none began. */
  readonly lastBegunAgeMs: number;
}

/** Tallies of one process. */
export interface PromptMessage {
  readonly name: string;
  readonly tallies: readonly PartTally[];
}

/** Must change with the layout; messages of another version are dropped. */
const FORMAT_VERSION = 1;
/** Parts in one message, and crashes of each; keep a message within one packet. */
export const MAX_TALLIES = 8;
const MAX_CRASHES = 8;
const MAX_MESSAGE_BYTES = 1_200;
const MAX_ID_CHARS = 64;
const MAX_NAME_CHARS = 128;
/** Decayed counts are sent as whole numbers of this fraction. */
const COUNT_SCALE = 10;

const ageSchema = z.int().min(0);
const layoutSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.string().min(1).max(MAX_NAME_CHARS),
  z.array(z.tuple([
    z.string().min(1).max(MAX_ID_CHARS),
    z.array(z.tuple([z.int().min(0), ageSchema, z.boolean()])).max(MAX_CRASHES),
    z.int().min(0),
    ageSchema.nullable(),
  ])).max(MAX_TALLIES),
]);

const packer = new msgpackr.Packr({ useRecords: false });

/** Encodes a message; tallies that do not fit are left out, the first ones first. */
export function encodePromptMessage(message: PromptMessage): Uint8Array {
  for (let count = MAX_TALLIES; count > 1; count -= 1) {
    const tallies = message.tallies.slice(-count);
    const bytes = pack({ ...message, tallies });
    if (bytes.byteLength <= MAX_MESSAGE_BYTES) return bytes;
  }
  return pack({ ...message, tallies: message.tallies.slice(-1) });
}

function pack({ name, tallies }: PromptMessage): Uint8Array {
  return packer.pack([
    FORMAT_VERSION,
    name,
    tallies.map((tally) => [
      tally.partId.slice(0, MAX_ID_CHARS),
      tally.crashes.slice(-MAX_CRASHES).map((crash) => [
        crash.replicaKey,
        Math.round(crash.ageMs),
        crash.hadHead,
      ]),
      Math.round(tally.begun * COUNT_SCALE),
      Number.isFinite(tally.lastBegunAgeMs)
        ? Math.round(tally.lastBegunAgeMs)
        : null,
    ]),
  ]);
}

/** Decodes and validates a message; `undefined` if the bytes are not a valid one. */
export function decodePromptMessage(
  bytes: Uint8Array,
): PromptMessage | undefined {
  const data = packets.unpackPacket(bytes, MAX_MESSAGE_BYTES);
  const parsed = layoutSchema.safeParse(data);
  if (!parsed.success) return undefined;
  const [, name, tallies] = parsed.data;
  return {
    name,
    tallies: tallies.map(([partId, crashes, begun, lastBegunAgeMs]) => ({
      partId,
      crashes: crashes.map(([replicaKey, ageMs, hadHead]) => ({
        replicaKey,
        ageMs,
        hadHead,
      })),
      begun: begun / COUNT_SCALE,
      lastBegunAgeMs: lastBegunAgeMs ?? Infinity,
    })),
  };
}

/** Converts evidence to a tally. */
export function buildTally(
  partId: string,
  evidence: decisions.CrashEvidence,
  nowMs: number,
): PartTally {
  return {
    partId,
    crashes: evidence.crashes.map(({ replicaKey, atMs, hadHead }) => ({
      replicaKey,
      ageMs: Math.max(0, nowMs - atMs),
      hadHead,
    })),
    begun: evidence.begun,
    lastBegunAgeMs: nowMs - evidence.lastBegunAtMs,
  };
}

/** Converts a peer's tally to evidence. */
export function readTally(
  tally: PartTally,
  nowMs: number,
): decisions.CrashEvidence {
  return {
    crashes: tally.crashes.map(({ replicaKey, ageMs, hadHead }) => ({
      replicaKey,
      atMs: nowMs - ageMs,
      hadHead,
    })),
    begun: tally.begun,
    lastBegunAtMs: nowMs - tally.lastBegunAgeMs,
  };
}
