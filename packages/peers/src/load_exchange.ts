/**
 * Exchanges loads with the owners of replicas. This process tells the owner of a
 * replica what it has there whenever that changes, and asks the owners of a few
 * candidates before it chooses among them. The traffic grows with the requests of
 * this process, not with the number of processes.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as messages from "./load_message.ts";
import type * as owners from "./replica_owners.ts";
import type * as tables from "./peer_table.ts";

/** Changes within this time share one message to their owner. */
const UPDATE_DELAY_MS = 2;
/** The same for changes that only lower the load, which may be known later. */
const DECREASE_DELAY_MS = 15;
/** States are repeated, since datagrams may be lost and owners may change. */
export const REFRESH_INTERVAL_MS = 1_000;
/** Longest wait for the owners' answers before a choice; a few round trips between data centres. */
const ANSWER_TIMEOUT_MS = 8;
/** The same where the request is refused without an answer; a busy process reads it late. */
const REQUIRED_ANSWER_TIMEOUT_MS = 40;
/** Owners of which one need not have answered: with fewer, the choice would be too small. */
const MIN_OWNERS_TO_LEAVE_OUT = 3;
/** An answer of this age still counts as the answer to the latest question. */
const CURRENT_ANSWER_MS = 50;
/** The load in an answer older than this is not used. */
const ANSWER_TTL_MS = 800;
/** The evidence in an answer is used for longer, as it changes more slowly. */
const EVIDENCE_TTL_MS = 5_000;
const MAX_KNOWN_REPLICAS = 4_096;

/** What has changed at a replica. */
export type LoadChange = "increase" | "decrease" | "evidence";

/** Provides what this process has at a replica. */
export interface LoadSource {
  readLoad(replicaKey: number): decisions.ReplicaLoadState;
  /** Keys of the replicas at which this process has requests. */
  listBusyKeys(): readonly number[];
}

export interface LoadExchangeOptions {
  readonly name: string;
  readonly clock: kernel.Clock;
  readonly channel: channels.PeerChannel;
  readonly owners: owners.ReplicaOwners;
  readonly source: LoadSource;
  /** Called before a query about replicas that this process owns is answered. */
  readonly onQuery?: (
    sender: tables.PeerEndpoint,
    replicaKeys: readonly number[],
  ) => void;
  /** Called for each message that was sent, and each that was accepted or dropped. */
  /** Replaced in tests. */
  readonly requiredAnswerTimeoutMs?: number;
  readonly onMessage: (what: "sent" | "taken" | "dropped" | "missed") => void;
}

interface OpenQuery {
  /** Answers that are still waited for. */
  missing: number;
  readonly finish: () => void;
}

interface Answer {
  readonly load: decisions.ReplicaLoadState;
  readonly atMs: number;
}

/** Sends and receives the load messages of one process. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #ledger = new decisions.LoadLedger();
  readonly #refreshTimer: NodeJS.Timeout;
  #updateTimer: NodeJS.Timeout | undefined;
  #updateDueAtMs = Infinity;
  readonly #changedKeys = new Set<number>();
  /** Replicas about which there is new evidence, for the next refresh. */
  readonly #evidenceKeys = new Set<number>();
  readonly #queries = new Map<number, OpenQuery>();
  /** Newest answers of owners, by replica. */
  readonly #answers = new Map<number, Answer>();
  /** When the owner of a replica was last asked. */
  readonly #askedAtMs = new Map<number, number>();
  #queryCount = 0;
  #sequence: number;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#sequence = Math.max(0, Math.floor(options.clock.wallMs())) * 1_000;
    options.channel.onDatagram = (bytes, host) =>
      this.#handleDatagram(bytes, host);
    this.#refreshTimer = setInterval(
      () => this.refresh(),
      REFRESH_INTERVAL_MS,
    );
    this.#refreshTimer.unref();
  }

  /** Schedules a message to the replica's owner; evidence alone waits for the refresh. */
  recordChange(replicaKey: number, change: LoadChange): void {
    if (change === "evidence") {
      this.#evidenceKeys.add(replicaKey);
      return;
    }
    this.#changedKeys.add(replicaKey);
    const delayMs = change === "decrease" ? DECREASE_DELAY_MS : UPDATE_DELAY_MS;
    const dueAtMs = this.#options.clock.monotonicMs() + delayMs;
    if (this.#updateTimer !== undefined && dueAtMs >= this.#updateDueAtMs) {
      return;
    }
    clearTimeout(this.#updateTimer);
    this.#updateDueAtMs = dueAtMs;
    this.#updateTimer = setTimeout(() => this.flush(), delayMs);
  }

  /** Sends the changed states to their owners. */
  flush(): void {
    clearTimeout(this.#updateTimer);
    this.#updateTimer = undefined;
    const keys = [...this.#changedKeys];
    this.#changedKeys.clear();
    this.#sendStates(keys);
  }

  /** Repeats the states of all replicas at which this process has requests, or new evidence. */
  refresh(): void {
    const busyKeys = this.#options.source.listBusyKeys();
    this.#sendStates([...new Set([...busyKeys, ...this.#evidenceKeys])]);
    this.#evidenceKeys.clear();
  }

  /**
   * Asks the owners of the replicas; resolves with the replicas whose load is known
   * now. It does not wait for the last of several owners, nor beyond a time-out.
   */
  async query(replicaKeys: readonly number[]): Promise<readonly number[]> {
    await this.#ask(this.#groupByOwner(replicaKeys));
    return replicaKeys.filter((key) => this.#isCurrent(key));
  }

  /**
   * Tells the replica's owner what this process has there, then asks for what all
   * others have: of two processes that do so at once, the owner tells the later one
   * of the earlier one. Resolves to `undefined` if the owner does not answer.
   */
  async tellAndAsk(
    replicaKey: number,
  ): Promise<decisions.ReplicaLoadState | undefined> {
    this.#changedKeys.add(replicaKey);
    this.flush();
    const previous = this.#answers.get(replicaKey);
    await this.#ask(
      this.#groupByOwner([replicaKey]),
      this.#options.requiredAnswerTimeoutMs ?? REQUIRED_ANSWER_TIMEOUT_MS,
    );
    const isOwner = this.#options.owners.find(replicaKey) === undefined;
    return isOwner || this.#answers.get(replicaKey) !== previous
      ? this.readOthers(replicaKey)
      : undefined;
  }

  #isCurrent(replicaKey: number): boolean {
    if (this.#options.owners.find(replicaKey) === undefined) return true;
    const answer = this.#answers.get(replicaKey);
    return answer !== undefined &&
      this.#options.clock.monotonicMs() - answer.atMs <= CURRENT_ANSWER_MS;
  }

  #ask(
    keysByOwner: ReadonlyMap<tables.PeerEndpoint, readonly number[]>,
    timeoutMs = ANSWER_TIMEOUT_MS,
  ): Promise<void> {
    if (keysByOwner.size === 0) return Promise.resolve();
    this.#queryCount += 1;
    const queryId = this.#queryCount;
    const nowMs = this.#options.clock.monotonicMs();
    for (const key of [...keysByOwner.values()].flat()) {
      this.#askedAtMs.delete(key);
      this.#askedAtMs.set(key, nowMs);
    }
    decisions.trimOldest(this.#askedAtMs, MAX_KNOWN_REPLICAS);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#options.onMessage("missed");
        finish();
      }, timeoutMs);
      const finish = () => {
        clearTimeout(timer);
        this.#queries.delete(queryId);
        resolve();
      };
      const leftOut = keysByOwner.size >= MIN_OWNERS_TO_LEAVE_OUT ? 1 : 0;
      this.#queries.set(queryId, {
        missing: keysByOwner.size - leftOut,
        finish,
      });
      for (const [owner, keys] of keysByOwner) {
        this.#send(owner, {
          type: "query",
          name: this.#options.name,
          queryId,
          replicaKeys: keys,
        });
      }
    });
  }

  /** Asks the replica's owner unless it was asked within `intervalMs`. */
  keepFresh(replicaKey: number, intervalMs: number): void {
    const nowMs = this.#options.clock.monotonicMs();
    const askedAtMs = this.#askedAtMs.get(replicaKey) ?? -Infinity;
    if (nowMs - askedAtMs >= intervalMs) void this.query([replicaKey]);
  }

  /** Load of all other processes at a replica; `undefined` if its owner has not answered lately. */
  readOthers(replicaKey: number): decisions.ReplicaLoadState | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#options.owners.find(replicaKey) === undefined) {
      return this.#ledger.read(replicaKey, nowMs);
    }
    const answer = this.#answers.get(replicaKey);
    if (answer === undefined) return undefined;
    const ageMs = nowMs - answer.atMs;
    if (ageMs > ANSWER_TTL_MS) return undefined;
    const { load } = answer;
    return {
      ...load,
      pendingMs: Math.max(0, load.pendingMs - ageMs),
      silentMs: load.silentMs + ageMs,
    };
  }

  /** Evidence of all other processes about a replica, as its owner last told it. */
  readEvidence(replicaKey: number): decisions.EvidenceSums {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#options.owners.find(replicaKey) === undefined) {
      return this.#ledger.read(replicaKey, nowMs).evidence;
    }
    const answer = this.#answers.get(replicaKey);
    const ageMs = nowMs - (answer?.atMs ?? -Infinity);
    return answer === undefined || ageMs > EVIDENCE_TTL_MS
      ? decisions.NO_EVIDENCE
      : decisions.decayEvidence(answer.load.evidence, ageMs);
  }

  /** Loads of all processes, this one included, at the busy replicas that this process owns. */
  listOwned(): readonly messages.KeyedLoad[] {
    const { owners, source, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    const keys = new Set([
      ...this.#ledger.listReplicaKeys(),
      ...source.listBusyKeys(),
    ]);
    return [...keys].filter((key) => owners.find(key) === undefined).map((
      replicaKey,
    ) => ({
      replicaKey,
      load: decisions.addLoads(
        this.#ledger.read(replicaKey, nowMs),
        source.readLoad(replicaKey),
      ),
    }));
  }

  close(): void {
    clearInterval(this.#refreshTimer);
    clearTimeout(this.#updateTimer);
    for (const { finish } of [...this.#queries.values()]) finish();
  }

  #sendStates(replicaKeys: readonly number[]): void {
    for (const [owner, keys] of this.#groupByOwner(replicaKeys)) {
      this.#sequence += 1;
      this.#send(owner, {
        type: "update",
        name: this.#options.name,
        sequence: this.#sequence,
        loads: keys.map((replicaKey) => ({
          replicaKey,
          load: this.#options.source.readLoad(replicaKey),
        })),
      });
    }
  }

  /** Groups replicas by owner, at most one message's worth each; leaves out this process. */
  #groupByOwner(
    replicaKeys: readonly number[],
  ): ReadonlyMap<tables.PeerEndpoint, readonly number[]> {
    const keysByOwner = new Map<tables.PeerEndpoint, number[]>();
    for (const replicaKey of replicaKeys) {
      const owner = this.#options.owners.find(replicaKey);
      if (owner === undefined) continue;
      const keys = keysByOwner.get(owner) ?? [];
      if (keys.length < messages.MAX_LOADS_PER_MESSAGE) keys.push(replicaKey);
      keysByOwner.set(owner, keys);
    }
    return keysByOwner;
  }

  #send(owner: tables.PeerEndpoint, message: messages.LoadMessage): void {
    const bytes = messages.encodeLoadMessage(message);
    this.#options.channel.send(bytes, owner.host, owner.port);
    this.#options.onMessage("sent");
  }

  #handleDatagram(bytes: Uint8Array, host: string): void {
    const message = messages.decodeLoadMessage(bytes);
    const sender = message &&
      this.#options.owners.findSender(message.name, host);
    if (message === undefined || sender === undefined) {
      this.#options.onMessage("dropped");
      return;
    }
    this.#options.onMessage("taken");
    switch (message.type) {
      case "update":
        return this.#recordStates(message);
      case "query":
        return this.#answerQuery(sender, message);
      case "totals":
        return this.#recordAnswer(message);
    }
  }

  #recordStates(
    message: Extract<messages.LoadMessage, { type: "update" }>,
  ): void {
    const atMs = this.#options.clock.monotonicMs();
    const { name, sequence } = message;
    for (const { replicaKey, load } of message.loads) {
      this.#ledger.record(replicaKey, name, { state: load, sequence, atMs });
    }
  }

  #answerQuery(
    sender: tables.PeerEndpoint,
    message: Extract<messages.LoadMessage, { type: "query" }>,
  ): void {
    const { source, clock, name, onQuery } = this.#options;
    const nowMs = clock.monotonicMs();
    onQuery?.(sender, message.replicaKeys);
    this.#send(sender, {
      type: "totals",
      name,
      queryId: message.queryId,
      loads: message.replicaKeys.map((replicaKey) => ({
        replicaKey,
        load: decisions.addLoads(
          this.#ledger.read(replicaKey, nowMs, message.name),
          source.readLoad(replicaKey),
        ),
      })),
    });
  }

  #recordAnswer(
    message: Extract<messages.LoadMessage, { type: "totals" }>,
  ): void {
    const atMs = this.#options.clock.monotonicMs();
    for (const { replicaKey, load } of message.loads) {
      this.#answers.delete(replicaKey);
      this.#answers.set(replicaKey, { load, atMs });
    }
    decisions.trimOldest(this.#answers, MAX_KNOWN_REPLICAS);
    const query = this.#queries.get(message.queryId);
    if (query === undefined) return;
    query.missing -= 1;
    if (query.missing <= 0) query.finish();
  }
}
