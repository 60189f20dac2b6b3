/**
 * Load pattern: many entries send large bodies to few replicas at once. The bound
 * on a replica's bytes holds for the sum over all entries.
 */
import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as peers from "@jackdawbank/peers";
import * as bodyRooms from "./body_rooms.ts";
import type * as groups from "./replica_group.ts";
import * as replicas from "./replica_table.ts";

// Serial, because answers that are read too late count as silence.
const test = ava.default.serial;

const MB = 1_048_576;
const MAX_BODY_BYTES = 4 * MB;
const BOUND_BYTES = decisions.computeLargeBodiesBytes(MAX_BODY_BYTES);
const REQUEST = { requestId: "request-1" };
/** Longer than the load of an entry that has died is counted. */
const LOAD_EXPIRY_MS = 3_001;
/** Longer than an entry keeps an owner's answer. */
const ANSWER_EXPIRY_MS = 801;

/** One entry, with the parts that bodies depend on. */
class Entry {
  readonly owners: peers.ReplicaOwners;
  readonly table: replicas.ReplicaTable;
  readonly exchange: peers.LoadExchange;
  readonly channel: peers.PeerChannel;
  readonly rooms: bodyRooms.BodyRooms;
  readonly #installation: Installation;

  constructor(installation: Installation, name: string) {
    this.#installation = installation;
    const { clock } = installation;
    this.owners = new peers.ReplicaOwners(name);
    this.channel = {
      onDatagram: undefined,
      send: (bytes, host) => installation.deliver(bytes, name, host),
      close: () => {},
    };
    this.exchange = new peers.LoadExchange({
      name,
      clock,
      channel: this.channel,
      owners: this.owners,
      source: {
        readLoad: (key) => this.table.readOwnLoad(key, clock.monotonicMs()),
        listBusyKeys: () => this.table.listBusyKeys(),
      },
      requiredAnswerTimeoutMs: installation.answerTimeoutMs,
      onMessage: () => {},
    });
    const index = {
      table: { limits: { maxBodyBytes: MAX_BODY_BYTES } },
    } as ReturnType<
      ConstructorParameters<typeof bodyRooms.BodyAccounts>[1]
    >;
    const accounts = new bodyRooms.BodyAccounts(() => ({
      loads: this.exchange,
      owners: this.owners,
      size: installation.entries.size,
    }), () => index);
    this.table = new replicas.ReplicaTable({
      dataCentre: "a",
      prefixReuseWindowMs: 0,
      random: () => 0.5,
      onConnectionOpened: () => {},
      rates: {
        readRate: () => undefined,
        listRated: () => [],
        findWaitMs: () => 0,
        reset: () => {},
      },
      bodies: accounts,
      readPeerLoad: () => decisions.NO_LOAD_STATE,
      onLoadChanged: (key, change) => this.exchange.recordChange(key, change),
    });
    this.rooms = new bodyRooms.BodyRooms({
      table: this.table,
      fleet: { queryLoads: (keys) => this.exchange.query(keys) },
      accounts,
      log: { addRoutine: () => {} },
      telemetry: { countEvent: () => {} },
    });
  }

  /** Sends a body where there is room; resolves with the replica, or `undefined` if refused. */
  async send(bodyBytes: number): Promise<string | undefined> {
    const placement: groups.PlacementRequest = {
      service: "desk",
      model: undefined,
      promptTokens: 0,
      prefillMsPerToken: 0,
      answerMs: 0,
      neededTokens: 0,
      parts: [],
      excluded: new Set(),
      needsNewConnection: true,
      versionPreference: {
        target: undefined,
        prefersTarget: false,
        banned: [],
      },
      reserved: 0,
      bodyBytes,
      nowMs: this.#installation.clock.monotonicMs(),
    };
    const room = decisions.isLargeBody(bodyBytes)
      ? await this.rooms.reserve(REQUEST, placement)
      : {};
    room.reservation?.release();
    const pick = this.table.pick({
      ...placement,
      reservedKey: room.reservation?.replicaKey,
    });
    const connection = pick?.state.pool.acquire(true, bodyBytes);
    if (pick === undefined || connection === undefined) return undefined;
    this.exchange.recordChange(pick.state.key, "increase");
    this.#installation.onEnd.push(() => pick.state.pool.discard(connection));
    return pick.state.entry.id;
  }

  close(): void {
    this.exchange.close();
    this.table.close();
  }
}

/** Entries whose datagrams arrive in order, one turn of the event loop later. */
class Installation {
  readonly clock = new kernel.ManualClock(10_000);
  readonly answerTimeoutMs: number;
  readonly cutOff = new Set<string>();
  readonly entries = new Map<string, Entry>();
  /** Ends of the requests in flight. */
  readonly onEnd: (() => void)[] = [];

  constructor(
    t: ava.ExecutionContext,
    options: {
      readonly entries: number;
      readonly replicaIds: string[];
      readonly answerTimeoutMs?: number;
    },
  ) {
    this.answerTimeoutMs = options.answerTimeoutMs ?? 10_000;
    for (let at = 0; at < options.entries; at += 1) {
      this.entries.set(`e${at}`, new Entry(this, `e${at}`));
    }
    for (const entry of this.entries.values()) {
      for (const name of this.entries.keys()) {
        entry.owners.put({ name, host: name, port: 1 });
      }
      for (const id of options.replicaIds) {
        entry.table.put({
          id,
          service: "desk",
          address: { host: "127.0.0.1", port: 9 },
          dataCentre: "a",
          version: "v1",
          slots: 64_000,
          isDraining: false,
          coldForMs: 0,
          startedAtMs: 1,
        });
      }
    }
    t.teardown(() => {
      for (const entry of this.entries.values()) entry.close();
    });
  }

  get(name: string): Entry {
    return this.entries.get(name) as Entry;
  }

  /** An entry that does not keep the account of a replica. */
  findOther(replicaId: string): Entry {
    const key = decisions.hashText(replicaId);
    return [...this.entries.values()].find((entry) =>
      entry.owners.find(key) !== undefined
    ) as Entry;
  }

  findOwner(replicaId: string): string {
    const key = decisions.hashText(replicaId);
    return this.findOther(replicaId).owners.find(key)?.name as string;
  }

  deliver(bytes: Uint8Array, from: string, to: string): void {
    if (this.cutOff.has(from) || this.cutOff.has(to)) return;
    setImmediate(() => this.entries.get(to)?.channel.onDatagram?.(bytes, from));
  }

  /** Bytes in flight to a replica, of all entries. */
  countBytes(replicaId: string): number {
    const key = decisions.hashText(replicaId);
    return [...this.entries.values()].reduce(
      (sum, { table }) => sum + (table.find(key)?.pool.bodyBytesInFlight ?? 0),
      0,
    );
  }

  async sendFromAll(
    bodyBytes: number,
    count: number,
  ): Promise<readonly (string | undefined)[]> {
    const sends = [...this.entries.values()].flatMap((entry) =>
      Array.from({ length: count }, () => entry.send(bodyBytes))
    );
    return await Promise.all(sends);
  }

  /** Ends all requests, and lets the owners learn of it. */
  async endAll(): Promise<void> {
    for (const end of this.onEnd.splice(0)) end();
    for (const entry of this.entries.values()) entry.exchange.flush();
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test("many entries that send large bodies at once stay within the bound of each replica together", async (t) => {
  const replicaIds = ["r1", "r2"];
  const installation = new Installation(t, { entries: 31, replicaIds });
  const sent = await installation.sendFromAll(MB, 4);
  for (const id of replicaIds) {
    const bytes = installation.countBytes(id);
    t.true(bytes > BOUND_BYTES / 2, `${id}: ${bytes}`);
    t.true(bytes <= BOUND_BYTES, `${id}: ${bytes}`);
  }
  t.true(sent.includes(undefined));
  await installation.endAll();
  t.is(installation.countBytes("r1") + installation.countBytes("r2"), 0);
  for (const entry of installation.entries.values()) {
    t.not(await entry.send(MB), undefined);
    await installation.endAll();
  }
});

test("a single body of every size inside the limits is sent, from each entry", async (t) => {
  const installation = new Installation(t, {
    entries: 31,
    replicaIds: ["r1", "r2", "r3"],
  });
  for (const bytes of [0, 65_536, 65_537, MB, MAX_BODY_BYTES]) {
    for (const entry of installation.entries.values()) {
      t.not(await entry.send(bytes), undefined, `${bytes}`);
      await installation.endAll();
    }
  }
});

test("while a replica's owner is silent, all entries together keep to the bound", async (t) => {
  const installation = new Installation(t, {
    entries: 31,
    replicaIds: ["r1"],
    answerTimeoutMs: 8,
  });
  const owner = installation.findOwner("r1");
  installation.cutOff.add(owner);
  const boundBytes = BOUND_BYTES + decisions.computeSilentBytes(MAX_BODY_BYTES);
  for (const bodyBytes of [MAX_BODY_BYTES, MB]) {
    const sent = await installation.sendFromAll(bodyBytes, 4);
    t.true(sent.includes("r1"));
    t.true(installation.countBytes("r1") <= boundBytes);
    // The owner itself, which does not know that it is cut off, is not alone.
    const owned = installation.get(owner).table.find(
      decisions.hashText("r1"),
    )?.pool.bodyBytesInFlight ?? 0;
    t.true(installation.countBytes("r1") > owned);
    await installation.endAll();
  }
});

test("the bodies of an entry that has died count until its load expires", async (t) => {
  const installation = new Installation(t, { entries: 5, replicaIds: ["r1"] });
  const dying = installation.findOther("r1");
  t.is(await dying.send(MAX_BODY_BYTES), "r1");
  t.is(await dying.send(MAX_BODY_BYTES), "r1");
  const other = installation.get(installation.findOwner("r1"));
  t.is(await other.send(MB), undefined);
  dying.close();
  installation.clock.advance(LOAD_EXPIRY_MS / 2);
  t.is(await other.send(MB), undefined);
  installation.clock.advance(LOAD_EXPIRY_MS / 2);
  t.is(await other.send(MB), "r1");
});

test("large bodies go round a replica that reads slowly, and small ones still reach it", async (t) => {
  const installation = new Installation(t, {
    entries: 5,
    replicaIds: ["r1", "r2"],
  });
  const sender = installation.findOther("r1");
  const first = await sender.send(MAX_BODY_BYTES);
  const second = await sender.send(MAX_BODY_BYTES);
  // Each fills a half, on either replica.
  t.deepEqual([first, second].includes(undefined), false);
  const served = await installation.sendFromAll(MAX_BODY_BYTES, 1);
  t.is(served.filter((id) => id !== undefined).length, 2);
  for (const id of ["r1", "r2"]) {
    t.is(installation.countBytes(id), BOUND_BYTES);
  }
  const small = await installation.sendFromAll(60_000, 20);
  t.false(small.includes(undefined));
  // Answers that say that a replica is full do not outlast the bodies.
  await installation.endAll();
  t.not(await sender.send(MAX_BODY_BYTES), undefined);
  installation.clock.advance(ANSWER_EXPIRY_MS);
  t.not(await sender.send(MAX_BODY_BYTES), undefined);
});
