/**
 * Keeps all processes together to the rates that replicas name. What one process
 * hears it tells the replica's owner, which tells everyone that asks it for the
 * replica's load. Each request to such a replica is asked of the owner first;
 * while the owner does not answer, each process uses a small share of the rate.
 * Cold replicas have a rate for some seconds; there a deputy stands in for a silent
 * owner, and without both nothing is sent.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as colds from "./cold_grants.ts";
import * as openAsks from "./open_asks.ts";
import * as knownRates from "./known_rate.ts";
import * as messages from "./rate_message.ts";
import type * as owners from "./replica_owners.ts";
import type * as tables from "./peer_table.ts";

/** Time for which an owner that did not answer is not asked again. */
const SILENT_OWNER_MS = 500;
/** An unchanged rate is repeated at this interval, since owners may change. */
const REPEAT_INTERVAL_MS = 1_000;
/** Longest time for which a process that was refused does not ask again. */
const MAX_WAIT_MS = 5_000;
/** Time for which processes are told that a rate has ended. */
const ENDED_NOTICE_MS = 10_000;
const MAX_KNOWN_REPLICAS = 4_096;

/** What is asked for. */
interface Question {
  readonly reserved: knownRates.ReservedRequests;
  /** Whether the request goes first while the replica is cold. */
  readonly isPreferred: boolean;
  /** The less urgent of what the two say: 0 is asked for first. */
  readonly rank: knownRates.ReservedRequests;
}

export interface RateExchangeOptions {
  readonly name: string;
  readonly clock: kernel.Clock;
  readonly owners: owners.ReplicaOwners;
  readonly random: () => number;
  readonly send: (bytes: Uint8Array, endpoint: tables.PeerEndpoint) => void;
  /** Absent where cold replicas take their full load. */
  readonly cold?:
    | Omit<colds.ColdGrantsOptions, "clock" | "owners">
    | undefined;
}

/** Rates as one process knows them. */
export class RateExchange {
  readonly #options: RateExchangeOptions;
  readonly #rates = new Map<number, knownRates.KnownRate>();
  readonly #asks = new openAsks.OpenAsks<knownRates.ReservedRequests>();
  readonly #silentUntilMs = new Map<string, number>();
  readonly #cold: colds.ColdGrants;

  constructor(options: RateExchangeOptions) {
    this.#options = options;
    this.#cold = new colds.ColdGrants({
      ...options,
      findLimit: (key) => options.cold?.findLimit(key),
      countRunning: (key) => options.cold?.countRunning(key) ?? 0,
      onLearnt: (key, remainingMs) =>
        options.cold?.onLearnt?.(key, remainingMs),
    });
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  /** Requests per second that a replica takes from all processes; absent without a limit. */
  readRate(replicaKey: number): number | undefined {
    const named = this.#readStatement(replicaKey).rate;
    const cold = this.#cold.readRate(replicaKey);
    return named === undefined || cold === undefined
      ? named ?? cold
      : Math.min(named, cold);
  }

  /** Keys of the replicas that take requests at a rate. */
  *listRated(): Iterable<number> {
    for (const [key, { statement }] of this.#rates) {
      if (statement.rate !== undefined) yield key;
    }
    for (const key of this.#cold.listCold()) {
      if (this.isCold(key)) yield key;
    }
  }

  /** Whether a replica is cold and therefore takes requests at a rate. */
  isCold(replicaKey: number): boolean {
    return this.#cold.readRate(replicaKey) !== undefined;
  }

  countCold(): number {
    return this.#cold.countCold();
  }

  /** Time until a request to a replica may be asked for; 0 without a limit. */
  findWaitMs(
    replicaKey: number,
    reserved: knownRates.ReservedRequests,
  ): number {
    const known = this.#rates.get(replicaKey);
    if (known === undefined) return 0;
    const isNamed = known.statement.rate !== undefined;
    if (!isNamed && !this.isCold(replicaKey)) return 0;
    const rank = isNamed ? reserved : 0;
    return Math.max(0, known.waitUntilMs[rank] - this.#nowMs);
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

  /** Records that a replica is cold for a time, and tells its owner. */
  recordCold(replicaKey: number, remainingMs: number): void {
    const isNews = !this.isCold(replicaKey);
    this.#cold.record(replicaKey, remainingMs);
    const owner = this.#options.owners.find(replicaKey);
    if (!isNews || owner === undefined) return;
    this.#answer(owner, { askId: 0, replicaKey, waitMs: 0 });
  }

  /** Forgets the rate of a replica that has started again. */
  reset(replicaKey: number): void {
    if (!this.#rates.has(replicaKey)) return;
    const heardAtMs = this.#nowMs;
    this.#setStatement(replicaKey, { rate: undefined, heardAtMs });
  }

  /**
   * Asks for one request to a replica; resolves within a few milliseconds. While
   * the replica is cold, requests that are preferred go first.
   */
  async take(
    replicaKey: number,
    reserved: knownRates.ReservedRequests,
    isPreferred = false,
  ): Promise<boolean> {
    const { rate } = this.#readStatement(replicaKey);
    const isCold = this.isCold(replicaKey);
    if (rate === undefined && !isCold) return true;
    const known = this.#keep(replicaKey);
    const namedRank = rate === undefined ? 0 : reserved;
    const rank = isCold && !isPreferred ? 1 : namedRank;
    const question = { reserved, isPreferred, rank };
    if (this.#nowMs < known.waitUntilMs[rank]) return false;
    const { owners } = this.#options;
    const owner = owners.find(replicaKey);
    const answer = await this.#askGrantor(owner, replicaKey, known, question);
    if (answer !== undefined) return answer;
    if (!isCold) return rate === undefined || this.#takeShare(known, rate);
    // Nobody else knows what the owner has granted at the named rate.
    if (rate !== undefined) return false;
    const deputy = owners.findDeputy(replicaKey);
    return await this.#askGrantor(deputy, replicaKey, known, question) ?? false;
  }

  /** Tells a process that asks for the loads of replicas which of them name a rate. */
  notify(
    endpoint: tables.PeerEndpoint,
    replicaKeys: readonly number[],
  ): void {
    const nowMs = this.#nowMs;
    for (const replicaKey of replicaKeys) {
      const { rate, heardAtMs } = this.#readStatement(replicaKey);
      const isOld = rate === undefined &&
        nowMs - heardAtMs > ENDED_NOTICE_MS;
      if (isOld && !this.isCold(replicaKey)) continue;
      // Saves the question where it would be refused.
      const waitMs = this.#cold.findGrantWaitMs(replicaKey, true);
      this.#answer(endpoint, { askId: 0, replicaKey, waitMs });
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
    this.#cold.learn(replicaKey, message.coldMs);
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
      this.#recordAnswer(askId, known, message.waitMs);
      return;
    }
    const waitMs = this.#grant(replicaKey, known, message);
    this.#answer(sender, { askId, replicaKey, waitMs });
  }

  close(): void {
    this.#asks.close();
  }

  #readStatement(replicaKey: number): decisions.RateStatement {
    return this.#rates.get(replicaKey)?.statement ??
      decisions.NO_RATE_STATEMENT;
  }

  #keep(replicaKey: number): knownRates.KnownRate {
    return this.#rates.get(replicaKey) ??
      this.#setStatement(replicaKey, decisions.NO_RATE_STATEMENT);
  }

  #setStatement(
    replicaKey: number,
    statement: decisions.RateStatement,
  ): knownRates.KnownRate {
    const known: knownRates.KnownRate = this.#rates.get(replicaKey) ?? {
      statement,
      toldAtMs: -Infinity,
      waitUntilMs: [-Infinity, -Infinity],
      account: undefined,
      share: undefined,
      refusedAsks: 0,
    };
    const hasEnded = known.statement.rate !== undefined &&
      statement.rate === undefined;
    if (hasEnded) known.waitUntilMs.fill(-Infinity);
    known.statement = statement;
    this.#rates.delete(replicaKey);
    this.#rates.set(replicaKey, known);
    decisions.trimOldest(this.#rates, MAX_KNOWN_REPLICAS);
    return known;
  }

  /** Grants a request to a replica; returns 0, or when to ask again. */
  #grant(
    replicaKey: number,
    known: knownRates.KnownRate,
    question: { readonly reserved: number; readonly isPreferred: boolean },
  ): number {
    const { rate } = known.statement;
    const coldWaitMs = this.#cold.findGrantWaitMs(
      replicaKey,
      question.isPreferred,
    );
    if (coldWaitMs > 0) return this.#refuse(known, coldWaitMs);
    const waitMs = rate === undefined
      ? 0
      : this.#takeNamed(known, rate, question.reserved);
    if (waitMs > 0) return this.#refuse(known, waitMs);
    this.#cold.recordGrant(replicaKey);
    known.refusedAsks = 0;
    return 0;
  }

  #takeNamed(
    known: knownRates.KnownRate,
    rate: number,
    reserved: number,
  ): number {
    const nowMs = this.#nowMs;
    known.account ??= new decisions.RateAccount(nowMs);
    return known.account.take(rate, nowMs, reserved);
  }

  #refuse(known: knownRates.KnownRate, waitMs: number): number {
    known.refusedAsks += 1;
    // Spreads the processes that wait, of which one at a time will be granted a request.
    const spreadMs = waitMs * known.refusedAsks / 2 * this.#options.random();
    return Math.min(MAX_WAIT_MS, waitMs + spreadMs);
  }

  #takeShare(known: knownRates.KnownRate, rate: number): boolean {
    const nowMs = this.#nowMs;
    const processes = this.#options.owners.list().length + 1;
    known.share ??= new decisions.RateAccount(nowMs, this.#options.random());
    const waitMs = known.share.takeUnowned(rate, nowMs, processes);
    // Before that the owner may have answered again.
    knownRates.delayAsks(known, 0, nowMs + Math.min(SILENT_OWNER_MS, waitMs));
    return waitMs === 0;
  }

  #tellOwner(replicaKey: number, known: knownRates.KnownRate): void {
    const owner = this.#options.owners.find(replicaKey);
    if (owner === undefined) return;
    this.#sendAsk(owner, {
      askId: 0,
      replicaKey,
      reserved: 0,
      isPreferred: false,
    }, known);
  }

  /** Asks a grantor, or this process if it is none; `undefined` if the grantor is silent. */
  async #askGrantor(
    grantor: tables.PeerEndpoint | undefined,
    replicaKey: number,
    known: knownRates.KnownRate,
    question: Question,
  ): Promise<boolean | undefined> {
    if (grantor === undefined) {
      const waitMs = this.#grant(replicaKey, known, question);
      knownRates.delayAsks(known, question.rank, this.#nowMs + waitMs);
      return waitMs === 0;
    }
    const silentUntilMs = this.#silentUntilMs.get(grantor.name) ?? -Infinity;
    if (this.#nowMs < silentUntilMs) return undefined;
    const { rank, reserved, isPreferred } = question;
    const answer = await this.#asks.open(rank, (askId) => {
      const ask = { askId, replicaKey, reserved, isPreferred };
      this.#sendAsk(grantor, ask, known);
    });
    if (answer !== undefined) return answer;
    this.#silentUntilMs.set(grantor.name, this.#nowMs + SILENT_OWNER_MS);
    decisions.trimOldest(this.#silentUntilMs, MAX_KNOWN_REPLICAS);
    return undefined;
  }

  #recordAnswer(
    askId: number,
    known: knownRates.KnownRate,
    waitMs: number,
  ): void {
    const rank = askId === 0 ? 0 : this.#asks.finish(askId, waitMs === 0);
    if (rank === undefined || waitMs === 0) return;
    knownRates.delayAsks(known, rank, this.#nowMs + waitMs);
  }

  #sendAsk(
    owner: tables.PeerEndpoint,
    ask: {
      readonly askId: number;
      readonly replicaKey: number;
      readonly reserved: number;
      readonly isPreferred: boolean;
    },
    { statement }: knownRates.KnownRate,
  ): void {
    const { name, send } = this.#options;
    const stated = messages.buildAgedRate(statement, this.#nowMs);
    const coldMs = this.#cold.findRemainingMs(ask.replicaKey);
    const message = { type: "ask", name, stated, coldMs, ...ask } as const;
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
    const coldMs = this.#cold.findRemainingMs(answer.replicaKey);
    const message = {
      type: "answer",
      name,
      stated,
      coldMs,
      ...answer,
    } as const;
    send(messages.encodeRateMessage(message), endpoint);
  }
}
