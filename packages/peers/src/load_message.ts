/**
 * Messages between the users of a replica and its owner, the process that keeps
 * the account of its load; msgpack lists, without field names.
 */
import type * as decisions from "@jackdawbank/decisions";
import * as msgpackr from "msgpackr";
import * as packets from "./packet.ts";

/** State of a replica with its key. */
export interface KeyedLoad {
  readonly replicaKey: number;
  readonly load: decisions.ReplicaLoadState;
}

export type LoadMessage =
  /** What the sender has at replicas that the receiver owns. */
  | {
    readonly type: "update";
    readonly name: string;
    /** Increases with each message, also over a restart of the sender. */
    readonly sequence: number;
    readonly loads: readonly KeyedLoad[];
  }
  /** Asks an owner for the load of replicas. */
  | {
    readonly type: "query";
    readonly name: string;
    readonly queryId: number;
    readonly replicaKeys: readonly number[];
  }
  /** Loads of all processes but the one that asked. */
  | {
    readonly type: "totals";
    readonly name: string;
    readonly queryId: number;
    readonly loads: readonly KeyedLoad[];
  };

/** Must change with the layout; messages of another version are dropped. */
const FORMAT_VERSION = 2;
const TYPE_CODES = { update: 1, query: 2, totals: 3 } as const;
/** Replicas in one message; keeps a message within one packet. */
export const MAX_LOADS_PER_MESSAGE = 32;
const NUMBERS_PER_LOAD = 10;
/** A longer silence is sent as this one. */
const MAX_SILENT_MS = 600_000;
const MAX_MESSAGE_BYTES = 1_200;
/** Decayed counts are sent as whole numbers of this fraction. */
const COUNT_SCALE = 10;
/** Tokens and bytes that are held are sent in whole units, rounded up. */
const TOKENS_PER_UNIT = 16;
const BYTES_PER_UNIT = 1_024;
/** Silences and sums of times are sent in whole units. */
const MS_PER_UNIT = 16;

/** Elements of the list that a message is encoded as. */
const LAYOUT_LENGTH = 5;
const MAX_NAME_CHARS = 128;

const packer = new msgpackr.Packr({ useRecords: false });

export function encodeLoadMessage(message: LoadMessage): Uint8Array {
  const number = message.type === "update" ? message.sequence : message.queryId;
  const list = message.type === "query"
    ? message.replicaKeys
    : message.loads.flatMap(flattenLoad);
  return packer.pack([
    FORMAT_VERSION,
    TYPE_CODES[message.type],
    message.name,
    number,
    list,
  ]);
}

/** Decodes and validates a message; `undefined` if the bytes are not a valid one. */
export function decodeLoadMessage(bytes: Uint8Array): LoadMessage | undefined {
  const data = packets.unpackPacket(bytes, MAX_MESSAGE_BYTES);
  // Checked by hand: each request causes several messages, and a schema costs more than the rest.
  if (!Array.isArray(data) || data.length !== LAYOUT_LENGTH) return undefined;
  const [version, code, name, number, list] = data as readonly unknown[];
  if (
    version !== FORMAT_VERSION || !isName(name) || !isWhole(number) ||
    !Array.isArray(list) || !list.every(isWhole)
  ) return undefined;
  switch (code) {
    case TYPE_CODES.update: {
      const loads = parseLoads(list);
      return loads && { type: "update", name, sequence: number, loads };
    }
    case TYPE_CODES.totals: {
      const loads = parseLoads(list);
      return loads && { type: "totals", name, queryId: number, loads };
    }
    case TYPE_CODES.query:
      return list.length > MAX_LOADS_PER_MESSAGE
        ? undefined
        : { type: "query", name, queryId: number, replicaKeys: list };
    default:
      return undefined;
  }
}

function isName(value: unknown): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= MAX_NAME_CHARS;
}

function isWhole(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function flattenLoad({ replicaKey, load }: KeyedLoad): readonly number[] {
  const { running, pendingMs, heldTokens, heldBytes, silentMs, evidence } =
    load;
  return [
    replicaKey,
    running,
    Math.round(pendingMs),
    Math.ceil(heldTokens / TOKENS_PER_UNIT),
    Math.ceil(heldBytes / BYTES_PER_UNIT),
    Math.round(Math.min(MAX_SILENT_MS, silentMs) / MS_PER_UNIT),
    Math.round(evidence.attempts * COUNT_SCALE),
    Math.round(evidence.failures * COUNT_SCALE),
    Math.round(evidence.predictedMs / MS_PER_UNIT),
    Math.round(evidence.tookMs / MS_PER_UNIT),
  ];
}

function parseLoads(
  list: readonly number[],
): readonly KeyedLoad[] | undefined {
  const isValid = list.length % NUMBERS_PER_LOAD === 0 &&
    list.length <= NUMBERS_PER_LOAD * MAX_LOADS_PER_MESSAGE;
  if (!isValid) return undefined;
  return Array.from({ length: list.length / NUMBERS_PER_LOAD }, (_, at) => {
    const start = at * NUMBERS_PER_LOAD;
    const [
      replicaKey,
      running,
      pendingMs,
      heldTokenUnits,
      heldByteUnits,
      silentUnits,
      attempts,
      failures,
      predictedUnits,
      tookUnits,
    ] = list
      .slice(start, start + NUMBERS_PER_LOAD) as [
        number,
        number,
        number,
        number,
        number,
        number,
        number,
        number,
        number,
        number,
      ];
    const silentMs = silentUnits * MS_PER_UNIT;
    return {
      replicaKey,
      load: {
        running,
        pendingMs,
        heldTokens: heldTokenUnits * TOKENS_PER_UNIT,
        heldBytes: heldByteUnits * BYTES_PER_UNIT,
        silentMs: silentMs >= MAX_SILENT_MS ? Infinity : silentMs,
        evidence: {
          attempts: attempts / COUNT_SCALE,
          failures: failures / COUNT_SCALE,
          predictedMs: predictedUnits * MS_PER_UNIT,
          tookMs: tookUnits * MS_PER_UNIT,
        },
      },
    };
  });
}
