/** Several channels over one socket, told apart by the first bytes of a datagram. */
import type * as channels from "./datagram_channel.ts";

/** A byte that no msgpack value starts with. */
const MARK = 0xc1;
/** Marks of load messages and, as no load message starts with a second mark, of prompt messages. */
const LOAD_MARKS = [MARK] as const;
const PROMPT_MARKS = [MARK, MARK] as const;

/** Channels of one process; closing any of them closes the socket. */
export interface SplitChannels {
  readonly reports: channels.PeerChannel;
  readonly loads: channels.PeerChannel;
  readonly prompts: channels.PeerChannel;
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
  channel.onDatagram = (bytes, host) => {
    if (bytes[0] !== MARK) return reports.onDatagram?.(bytes, host);
    const target = bytes[1] === MARK ? prompts : loads;
    const marks = bytes[1] === MARK ? PROMPT_MARKS : LOAD_MARKS;
    target.onDatagram?.(bytes.subarray(marks.length), host);
  };
  return { reports, loads, prompts };
}
