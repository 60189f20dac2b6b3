/** Bytes of datagrams, which may come from another program or be cut. */
import * as msgpackr from "msgpackr";

const packer = new msgpackr.Packr({ useRecords: false });

/** Unpacks a datagram; `undefined` if it is too long or not msgpack, to be counted as dropped. */
export function unpackPacket(bytes: Uint8Array, maxBytes: number): unknown {
  if (bytes.byteLength > maxBytes) return undefined;
  try {
    return packer.unpack(bytes);
  } catch {
    return undefined;
  }
}
