/**
 * Tells all peers of parts of prompts that this process suspects, and what it knows
 * of parts that they suspect. Suspicions are rare, so messages go to everyone at
 * once, and are repeated a few times, since datagrams may be lost.
 */
import type * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as messages from "./prompt_message.ts";
import type * as tables from "./peer_table.ts";

/** Changes within this time share one message. */
const SEND_DELAY_MS = 5;
/** Shortest interval between messages. */
const MIN_INTERVAL_MS = 200;
/** Repeats after the last change. */
const REPEATS = 2;
const REPEAT_INTERVAL_MS = 600;

export interface PromptExchangeOptions {
  readonly name: string;
  readonly clock: kernel.Clock;
  readonly channel: channels.PeerChannel;
  readonly listPeers: () => readonly tables.PeerEndpoint[];
  /** Announced peer of a name, if its datagrams come from this host. */
  readonly findSender: (
    name: string,
    host: string,
  ) => tables.PeerEndpoint | undefined;
  /** What this process knows of the suspected parts, the newest suspicion last. */
  readonly listTallies: () => readonly messages.PartTally[];
  readonly onTallies: (message: messages.PromptMessage) => void;
}

/** Sends and receives the tallies of one process. */
export class PromptExchange {
  readonly #options: PromptExchangeOptions;
  #timer: NodeJS.Timeout | undefined;
  #sentAtMs = -Infinity;
  #repeatsLeft = 0;
  #isClosed = false;

  constructor(options: PromptExchangeOptions) {
    this.#options = options;
    options.channel.onDatagram = (bytes, host) => {
      const message = messages.decodePromptMessage(bytes);
      if (message === undefined) return;
      if (options.findSender(message.name, host) === undefined) return;
      options.onTallies(message);
    };
  }

  /** Schedules a message after a change of the tallies. */
  recordChange(): void {
    this.#repeatsLeft = REPEATS;
    const sinceMs = this.#options.clock.monotonicMs() - this.#sentAtMs;
    this.#schedule(Math.max(SEND_DELAY_MS, MIN_INTERVAL_MS - sinceMs));
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    clearTimeout(this.#timer);
    if (this.#isClosed) return;
    this.#timer = setTimeout(() => this.#send(), delayMs);
    this.#timer.unref();
  }

  #send(): void {
    const { name, clock, channel, listPeers, listTallies } = this.#options;
    const tallies = listTallies().slice(-messages.MAX_TALLIES);
    if (tallies.length === 0) return;
    this.#sentAtMs = clock.monotonicMs();
    const bytes = messages.encodePromptMessage({ name, tallies });
    for (const { host, port } of listPeers()) channel.send(bytes, host, port);
    if (this.#repeatsLeft === 0) return;
    this.#repeatsLeft -= 1;
    this.#schedule(REPEAT_INTERVAL_MS);
  }
}
