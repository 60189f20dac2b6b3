/**
 * Keeps all processes together to the rates that replicas name. What one process
 * hears it tells the replica's owner, which tells everyone that asks it for the
 * replica's load. Each request to such a replica is asked of the owner first;
 * while the owner does not answer, each process uses a small share of the rate.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as messages from "./rate_message.ts";
import type * as owners from "./replica_owners.ts";
import type * as tables from "./peer_table.ts";

/** Longest wait for the owner's answer; a few round trips between data centres. */
const ANSWER_TIMEOUT_MS = 8;
/** Time for which an owner that did not answer is not asked again. */
const SILENT_OWNER_MS = 500;
/** An unchanged rate is repeated at this interval, since owners may change. */
const REPEAT_INTERVAL_MS = 1_000;
/** Longest time for which a process that was refused does not ask again. */
const MAX_WAIT_MS = 5_000;
/** Time for which processes are told that a rate has ended. */
const ENDED_NOTICE_MS = 10_000;
const MAX_KNOWN_REPLICAS = 4_096;

/** Requests to be left for more urgent ones: one, except by the most urgent. */
export type ReservedRequests = 0 | 1;

export interface RateExchangeOptions {
  readonly name: string;
  readonly clock: kernel.Clock;
  readonly owners: owners.ReplicaOwners;
  readonly random: () => number;
  readonly send: (bytes: Uint8Array, endpoint: tables.PeerEndpoint) => void;
}

/** What is known of a replica that names a rate, or did lately. */
interface KnownRate {
  statement: decisions.RateStatement;
  /** When the owner was last told. */
  toldAtMs: number;
  /** Times before which no request is asked for, by the number of reserved ones. */
  readonly waitUntilMs: [number, number];
  /** Kept by the owner. */
  account: decisions.RateAccount | undefined;
  /** This process's share while the owner does not answer. */
  share: decisions.RateAccount | undefined;
  /** Requests that the owner has refused since it last granted one. */
  refusedAsks: number;
}

interface OpenAsk {
  readonly reserved: ReservedRequests;
  readonly resolve: (isGranted: boolean) => void;
}

/** Where a more urgent request was refused, a less urgent one would be, too. */
function delayAsks(
  { waitUntilMs }: KnownRate,
  reserved: ReservedRequests,
  untilMs: number,
): void {
  if (reserved === 0) waitUntilMs[0] = untilMs;
  waitUntilMs[1] = Math.max(waitUntilMs[1], untilMs);
}

/** Rates as one process knows them. */
export class RateExchange {
  readonly #options: RateExchangeOptions;
  readonly #rates = new Map<number, KnownRate>();
  readonly #asks = new Map<number, OpenAsk>();
  readonly #silentUntilMs = new Map<string, number>();
  #askCount = 0;

  constructor(options: RateExchangeOptions) {
    this.#options = options;
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  /** Requests per second that a replica takes from all processes; absent without a limit. */
  readRate(replicaKey: number): number | undefined {
    return this.#rates.get(replicaKey)?.statement.rate;
  }

  /** Time until a request to a replica may be asked for; 0 without a limit. */
  findWaitMs(replicaKey: number, reserved: ReservedRequests): number {
    const known = this.#rates.get(replicaKey);
    return known?.statement.rate === undefined
      ? 0
      : Math.max(0, known.waitUntilMs[reserved] - this.#nowMs);
  }

  /**
   * Records what a replica's answer to a request sent at `sentAtMs` says of its
   * rate. Only an answer to a request that was sent after the rate was heard ends
   * it, since answers overtake each other. Returns whether the rate has changed.
   */
  recordAnswer(
    replicaKey: number,
    answer: { readonly rate: number | undefined; readonly sentAtMs: number },
  ): boolean {
    const { rate, sentAtMs } = answer;
    const nowMs = this.#nowMs;
    const previous = this.#rates.get(replicaKey);
    if (rate === undefined) {
      const isEnd = previous?.statement.rate !== undefined &&
        sentAtMs > previous.statement.heardAtMs;
      if (!isEnd) return false;
    }
    const isChanged = previous?.statement.rate !== rate;
    const known = this.#setStatement(replicaKey, { rate, heardAtMs: nowMs });
    if (isChanged || nowMs - known.toldAtMs >= REPEAT_INTERVAL_MS) {
      known.toldAtMs = nowMs;
      this.#tellOwner(replicaKey, known);
    }
    return isChanged;
  }

  /** Forgets the rate of a replica that has started again. */
  reset(replicaKey: number): void {
    if (!this.#rates.has(replicaKey)) return;
    const heardAtMs = this.#nowMs;
    this.#setStatement(replicaKey, { rate: undefined, heardAtMs });
  }

  /** Asks for one request to a replica; resolves within a few milliseconds. */
  async take(
    replicaKey: number,
    reserved: ReservedRequests,
  ): Promise<boolean> {
    const known = this.#rates.get(replicaKey);
    if (known?.statement.rate === undefined) return true;
    const { rate } = known.statement;
    const nowMs = this.#nowMs;
    if (nowMs < known.waitUntilMs[reserved]) return false;
    const owner = this.#options.owners.find(replicaKey);
    if (owner === undefined) {
      const waitMs = this.#takeOwned(known, rate, reserved);
      delayAsks(known, reserved, nowMs + waitMs);
      return waitMs === 0;
    }
    const silentUntilMs = this.#silentUntilMs.get(owner.name) ?? -Infinity;
    if (nowMs >= silentUntilMs) {
      const answer = await this.#ask(owner, replicaKey, known, reserved);
      if (answer !== undefined) return answer;
      this.#silentUntilMs.set(owner.name, this.#nowMs + SILENT_OWNER_MS);
      decisions.trimOldest(this.#silentUntilMs, MAX_KNOWN_REPLICAS);
    }
    return this.#takeShare(known, rate);
  }

  /** Tells a process that asks for the loads of replicas which of them name a rate. */
  notify(
    endpoint: tables.PeerEndpoint,
    replicaKeys: readonly number[],
  ): void {
    if (this.#rates.size === 0) return;
    const nowMs = this.#nowMs;
    for (const replicaKey of replicaKeys) {
      const statement = this.#rates.get(replicaKey)?.statement;
      if (statement === undefined) continue;
      const isOld = statement.rate === undefined &&
        nowMs - statement.heardAtMs > ENDED_NOTICE_MS;
      if (!isOld) this.#answer(endpoint, { askId: 0, replicaKey, waitMs: 0 });
    }
  }

  handleDatagram(bytes: Uint8Array, host: string): void {
    const message = messages.decodeRateMessage(bytes);
    const sender = message &&
      this.#options.owners.findSender(message.name, host);
    if (message === undefined || sender === undefined) return;
    const { replicaKey, askId } = message;
    const nowMs = this.#nowMs;
    const stated = messages.readAgedRate(message.stated, nowMs);
    if (message.type === "ask" && askId === 0) {
      // The sender has just heard it from the replica.
      this.#setStatement(replicaKey, stated);
      return;
    }
    const known = this.#setStatement(
      replicaKey,
      decisions.chooseNewerStatement(this.#readStatement(replicaKey), stated),
    );
    if (message.type === "answer") {
      if (askId > 0) this.#finishAsk(askId, known, message.waitMs);
      return;
    }
    const { rate } = known.statement;
    const waitMs = rate === undefined
      ? 0
      : this.#takeOwned(known, rate, message.reserved);
    this.#answer(sender, { askId, replicaKey, waitMs });
  }

  close(): void {
    for (const { resolve } of [...this.#asks.values()]) resolve(false);
    this.#asks.clear();
  }

  #readStatement(replicaKey: number): decisions.RateStatement {
    return this.#rates.get(replicaKey)?.statement ??
      decisions.NO_RATE_STATEMENT;
  }

  #setStatement(
    replicaKey: number,
    statement: decisions.RateStatement,
  ): KnownRate {
    const known: KnownRate = this.#rates.get(replicaKey) ?? {
      statement,
      toldAtMs: -Infinity,
      waitUntilMs: [-Infinity, -Infinity],
      account: undefined,
      share: undefined,
      refusedAsks: 0,
    };
    known.statement = statement;
    if (statement.rate === undefined) known.waitUntilMs.fill(-Infinity);
    this.#rates.delete(replicaKey);
    this.#rates.set(replicaKey, known);
    decisions.trimOldest(this.#rates, MAX_KNOWN_REPLICAS);
    return known;
  }

  /** Takes a request as the owner; returns 0, or when to ask again. */
  #takeOwned(known: KnownRate, rate: number, reserved: number): number {
    const nowMs = this.#nowMs;
    known.account ??= new decisions.RateAccount(nowMs);
    const waitMs = known.account.take(rate, nowMs, reserved);
    if (waitMs === 0) {
      known.refusedAsks = 0;
      return 0;
    }
    known.refusedAsks += 1;
    // Spreads the processes that wait, of which one at a time will be granted a request.
    const spreadMs = waitMs * known.refusedAsks / 2 * this.#options.random();
    return Math.min(MAX_WAIT_MS, waitMs + spreadMs);
  }

  #takeShare(known: KnownRate, rate: number): boolean {
    const nowMs = this.#nowMs;
    const processes = this.#options.owners.list().length + 1;
    known.share ??= new decisions.RateAccount(nowMs, this.#options.random());
    const waitMs = known.share.takeUnowned(rate, nowMs, processes);
    // Before that the owner may have answered again.
    delayAsks(known, 0, nowMs + Math.min(SILENT_OWNER_MS, waitMs));
    return waitMs === 0;
  }

  #tellOwner(replicaKey: number, known: KnownRate): void {
    const owner = this.#options.owners.find(replicaKey);
    if (owner === undefined) return;
    this.#sendAsk(owner, { askId: 0, replicaKey, reserved: 0 }, known);
  }

  /** Resolves to `undefined` if the owner does not answer in time. */
  #ask(
    owner: tables.PeerEndpoint,
    replicaKey: number,
    known: KnownRate,
    reserved: ReservedRequests,
  ): Promise<boolean | undefined> {
    this.#askCount += 1;
    const askId = this.#askCount;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#asks.delete(askId);
        resolve(undefined);
      }, ANSWER_TIMEOUT_MS);
      this.#asks.set(askId, {
        reserved,
        resolve: (isGranted) => {
          clearTimeout(timer);
          resolve(isGranted);
        },
      });
      this.#sendAsk(owner, { askId, replicaKey, reserved }, known);
    });
  }

  #finishAsk(askId: number, known: KnownRate, waitMs: number): void {
    const ask = this.#asks.get(askId);
    if (ask === undefined) return;
    this.#asks.delete(askId);
    if (waitMs > 0) delayAsks(known, ask.reserved, this.#nowMs + waitMs);
    ask.resolve(waitMs === 0);
  }

  #sendAsk(
    owner: tables.PeerEndpoint,
    ask: {
      readonly askId: number;
      readonly replicaKey: number;
      readonly reserved: number;
    },
    { statement }: KnownRate,
  ): void {
    const { name, send } = this.#options;
    const stated = messages.buildAgedRate(statement, this.#nowMs);
    const message = { type: "ask", name, stated, ...ask } as const;
    send(messages.encodeRateMessage(message), owner);
  }

  #answer(
    endpoint: tables.PeerEndpoint,
    answer: {
      readonly askId: number;
      readonly replicaKey: number;
      readonly waitMs: number;
    },
  ): void {
    const { name, send } = this.#options;
    const statement = this.#readStatement(answer.replicaKey);
    const stated = messages.buildAgedRate(statement, this.#nowMs);
    const message = { type: "answer", name, stated, ...answer } as const;
    send(messages.encodeRateMessage(message), endpoint);
  }
}
