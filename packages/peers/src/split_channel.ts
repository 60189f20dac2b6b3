/** Several channels over one socket, told apart by the first bytes of a datagram. */
import type * as channels from "./datagram_channel.ts";

/** A byte that no msgpack value starts with. */
const MARK = 0xc1;
/** Marks of the kinds of messages; the number of marks tells them apart. */
const LOAD_MARKS = [MARK] as const;
const PROMPT_MARKS = [MARK, MARK] as const;
const RATE_MARKS = [MARK, MARK, MARK] as const;

/** Channels of one process; closing any of them closes the socket. */
export interface SplitChannels {
  readonly reports: channels.PeerChannel;
  readonly loads: channels.PeerChannel;
  readonly prompts: channels.PeerChannel;
  readonly rates: channels.PeerChannel;
}

function createChannel(
  channel: channels.PeerChannel,
  marks: readonly number[],
): channels.PeerChannel {
  return {
    onDatagram: undefined,
    send: (bytes, host, port) =>
      channel.send(
        marks.length === 0 ? bytes : new Uint8Array([...marks, ...bytes]),
        host,
        port,
      ),
    close: () => channel.close(),
  };
}

/** Splits a channel by the kind of message. */
export function splitChannel(channel: channels.PeerChannel): SplitChannels {
  const reports = createChannel(channel, []);
  const loads = createChannel(channel, LOAD_MARKS);
  const prompts = createChannel(channel, PROMPT_MARKS);
  const rates = createChannel(channel, RATE_MARKS);
  const channelByMarks = [reports, loads, prompts, rates];
  channel.onDatagram = (bytes, host) => {
    const first = bytes.findIndex((byte) => byte !== MARK);
    const marks = Math.min(Math.max(0, first), RATE_MARKS.length);
    channelByMarks[marks]?.onDatagram?.(bytes.subarray(marks), host);
  };
  return { reports, loads, prompts, rates };
}
