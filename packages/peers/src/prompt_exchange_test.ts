/** Tests how suspected parts of prompts are told to peers. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as exchanges from "./prompt_exchange.ts";
import * as messages from "./prompt_message.ts";
import * as splits from "./split_channel.ts";

const test = ava.default;

/** Delivers what it sends to itself, as if from its own host. */
class LoopChannel implements channels.PeerChannel {
  onDatagram: channels.PeerChannel["onDatagram"];
  sent = 0;

  send(bytes: Uint8Array, host: string): void {
    this.sent += 1;
    this.onDatagram?.(bytes, host);
  }

  close(): void {}
}

const TALLY: messages.PartTally = {
  partId: "ab12",
  crashes: [{ replicaKey: 4_000_000_000, ageMs: 120, hadHead: true }],
  begun: 1.5,
  lastBegunAgeMs: Infinity,
};

test("a message is unchanged by its encoding; other bytes are refused", (t) => {
  const message = { name: "edge-1", tallies: [TALLY] };
  const bytes = messages.encodePromptMessage(message);
  t.deepEqual(messages.decodePromptMessage(bytes), message);
  t.is(messages.decodePromptMessage(bytes.subarray(1)), undefined);
  t.is(messages.decodePromptMessage(new Uint8Array(2_000)), undefined);
  const many = Array.from({ length: 40 }, () => ({
    ...TALLY,
    partId: "f".repeat(48),
    crashes: Array.from({ length: 40 }, () => TALLY.crashes[0] as never),
  }));
  const trimmed = messages.encodePromptMessage({ name: "a", tallies: many });
  t.true(trimmed.byteLength <= 1_200, `${trimmed.byteLength} bytes`);
  t.truthy(messages.decodePromptMessage(trimmed));
});

test("a suspicion goes to all peers at once, is repeated twice, and then is quiet", async (t) => {
  const channel = new LoopChannel();
  const split = splits.splitChannel(channel);
  split.reports.onDatagram = () => t.fail("taken for a report");
  split.loads.onDatagram = () => t.fail("taken for loads");
  const received: messages.PromptMessage[] = [];
  const peers = [1, 2, 3].map((at) => ({
    name: `edge-${at}`,
    host: `10.0.0.${at}`,
    port: 9,
  }));
  const exchange = new exchanges.PromptExchange({
    name: "edge-1",
    clock: new kernel.SystemClock(),
    channel: split.prompts,
    listPeers: () => peers,
    // Messages that do not come from the announced host are dropped.
    findSender: (name, host) =>
      peers.find((peer) => peer.name === name && peer.host === host),
    listTallies: () => [TALLY],
    onTallies: (message) => received.push(message),
  });
  t.teardown(() => exchange.close());
  exchange.recordChange();
  exchange.recordChange();
  await kernel.sleep(100);
  t.is(channel.sent, 3);
  t.is(received.length, 1);
  await kernel.sleep(2_000);
  t.is(channel.sent, 9);
});
