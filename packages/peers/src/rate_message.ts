/** Messages about the rates that replicas name; msgpack lists, without field names. */
import type * as decisions from "@jackdawbank/decisions";
import * as msgpackr from "msgpackr";
import * as packets from "./packet.ts";
import * as z from "zod";

/** A statement with its age, which needs no common clock. */
export interface AgedRate {
  /** Requests per second; absent without a limit. */
  readonly rate: number | undefined;
  readonly ageMs: number;
}

export type RateMessage =
  /** Tells the owner of a replica its rate, and may ask it for a request. */
  | {
    readonly type: "ask";
    readonly name: string;
    /** 0 if nothing is asked. */
    readonly askId: number;
    readonly replicaKey: number;
    readonly stated: AgedRate;
    /** Time for which the replica is cold, as the sender knows; 0 if it is warm. */
    readonly coldMs: number;
    /** Requests that must be left for more urgent ones. */
    readonly reserved: number;
    /** Whether the request goes first while the replica is cold. */
    readonly isPreferred: boolean;
  }
  /** The owner's statement, and its answer. */
  | {
    readonly type: "answer";
    readonly name: string;
    /** 0 if nothing was asked. */
    readonly askId: number;
    readonly replicaKey: number;
    readonly stated: AgedRate;
    /** Time for which the replica is cold, as the sender knows; 0 if it is warm. */
    readonly coldMs: number;
    /** 0 if the request is granted; otherwise when to ask again. */
    readonly waitMs: number;
  };

/** Must change with the layout; messages of another version are dropped. */
const FORMAT_VERSION = 2;
const TYPE_CODES = { ask: 1, answer: 2 } as const;
const MAX_MESSAGE_BYTES = 256;
const MAX_NAME_CHARS = 128;
/** An older statement is sent as this old. */
const MAX_AGE_MS = 600_000;
/** Rates are sent as whole numbers of this fraction. */
const RATE_SCALE = 1_000;
/** Code of "no limit". */
const NO_RATE = -1;
const MAX_RATE_PER_S = 1_000_000;

const countSchema = z.int().min(0);
const layoutSchema = z.tuple([
  z.literal(FORMAT_VERSION),
  z.union([z.literal(TYPE_CODES.ask), z.literal(TYPE_CODES.answer)]),
  z.string().min(1).max(MAX_NAME_CHARS),
  countSchema,
  countSchema,
  z.int().min(NO_RATE),
  countSchema,
  countSchema,
  countSchema,
  z.boolean(),
]);

const packer = new msgpackr.Packr({ useRecords: false });

export function encodeRateMessage(message: RateMessage): Uint8Array {
  const { type, name, askId, replicaKey, stated, coldMs } = message;
  const { rate, ageMs } = stated;
  return packer.pack([
    FORMAT_VERSION,
    TYPE_CODES[type],
    name,
    askId,
    replicaKey,
    rate === undefined
      ? NO_RATE
      : Math.round(Math.min(MAX_RATE_PER_S, rate) * RATE_SCALE),
    Math.round(Math.min(MAX_AGE_MS, Math.max(0, ageMs))),
    Math.ceil(Math.min(MAX_AGE_MS, coldMs)),
    type === "ask" ? message.reserved : Math.ceil(message.waitMs),
    type === "ask" && message.isPreferred,
  ]);
}

/** Decodes and validates a message; `undefined` if the bytes are not a valid one. */
export function decodeRateMessage(bytes: Uint8Array): RateMessage | undefined {
  const data = packets.unpackPacket(bytes, MAX_MESSAGE_BYTES);
  const parsed = layoutSchema.safeParse(data);
  if (!parsed.success) return undefined;
  const [, code, name, askId, replicaKey, rate, ageMs, coldMs, last, flag] =
    parsed.data;
  const stated = {
    rate: rate === NO_RATE ? undefined : rate / RATE_SCALE,
    ageMs: ageMs >= MAX_AGE_MS ? Infinity : ageMs,
  };
  const common = { name, askId, replicaKey, stated, coldMs };
  return code === TYPE_CODES.ask
    ? { type: "ask", ...common, reserved: last, isPreferred: flag }
    : { type: "answer", ...common, waitMs: last };
}

export function buildAgedRate(
  { rate, heardAtMs }: decisions.RateStatement,
  nowMs: number,
): AgedRate {
  return { rate, ageMs: nowMs - heardAtMs };
}

export function readAgedRate(
  { rate, ageMs }: AgedRate,
  nowMs: number,
): decisions.RateStatement {
  return { rate, heardAtMs: nowMs - ageMs };
}
