/** Tests of the exchange of loads between the users and the owners of replicas. */
import * as ava from "ava";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as fc from "fast-check";
import type * as channels from "./datagram_channel.ts";
import * as exchanges from "./load_exchange.ts";
import * as messages from "./load_message.ts";
import * as owners from "./replica_owners.ts";
import * as split from "./split_channel.ts";

const test = ava.default;

const REPLICA_KEYS = Array.from({ length: 40 }, (_, index) => index);

/** Processes whose datagrams arrive at once, unless the receiver is cut off. */
class Network {
  readonly clock = new kernel.ManualClock(10_000);
  readonly cutOff = new Set<string>();
  readonly processes = new Map<string, NetworkProcess>();

  constructor(t: ava.ExecutionContext, names: readonly string[]) {
    for (const name of names) {
      this.processes.set(name, new NetworkProcess(this, name, names));
    }
    t.teardown(() => {
      for (const { exchange } of this.processes.values()) exchange.close();
    });
  }

  get(name: string): NetworkProcess {
    return this.processes.get(name) as NetworkProcess;
  }

  /** A key that one of the processes owns, as another one sees it. */
  findKeyOwnedBy(owner: string, seenBy: string): number {
    return REPLICA_KEYS.find((key) =>
      this.get(seenBy).owners.find(key)?.name === owner
    ) as number;
  }
}

class NetworkProcess {
  readonly owners: owners.ReplicaOwners;
  readonly running = new Map<number, number>();
  readonly events: string[] = [];
  readonly channel: channels.PeerChannel;
  readonly exchange: exchanges.LoadExchange;

  constructor(network: Network, name: string, names: readonly string[]) {
    this.owners = new owners.ReplicaOwners(name);
    for (const other of names) {
      this.owners.put({ name: other, host: other, port: 1 });
    }
    this.channel = {
      onDatagram: undefined,
      send: (bytes, host) => {
        if (network.cutOff.has(host)) return;
        network.processes.get(host)?.channel.onDatagram?.(bytes, name);
      },
      close: () => {},
    };
    this.exchange = new exchanges.LoadExchange({
      name,
      clock: network.clock,
      channel: this.channel,
      owners: this.owners,
      source: {
        readLoad: (key) => ({
          ...decisions.NO_LOAD_STATE,
          running: this.running.get(key) ?? 0,
        }),
        listBusyKeys: () => REPLICA_KEYS,
      },
      onMessage: (what) => this.events.push(what),
    });
  }

  setRunning(key: number, count: number): void {
    this.running.set(key, count);
    this.exchange.recordChange(key, "increase");
    this.exchange.flush();
  }
}

test("a process learns from a replica's owner what all others have there", async (t) => {
  const network = new Network(t, ["a", "b", "c"]);
  const key = network.findKeyOwnedBy("c", "a");
  network.get("a").setRunning(key, 1);
  network.get("b").setRunning(key, 2);
  network.get("c").setRunning(key, 4);
  t.is(network.get("a").exchange.readOthers(key), undefined);
  await network.get("a").exchange.query([key]);
  t.is(network.get("a").exchange.readOthers(key)?.running, 6);
  // The owner itself needs no answer.
  t.is(network.get("c").exchange.readOthers(key)?.running, 3);
  network.get("b").setRunning(key, 0);
  await network.get("a").exchange.query([key]);
  t.is(network.get("a").exchange.readOthers(key)?.running, 4);
});

test("an owner that does not answer delays a choice only briefly, and its last answer expires", async (t) => {
  const network = new Network(t, ["a", "b", "c"]);
  const key = network.findKeyOwnedBy("b", "a");
  network.get("c").setRunning(key, 2);
  const { exchange, events } = network.get("a");
  await exchange.query([key]);
  network.cutOff.add("b");
  const startedAtMs = performance.now();
  await exchange.query([key, network.findKeyOwnedBy("c", "a")]);
  t.true(performance.now() - startedAtMs < 200);
  t.true(events.includes("missed"));
  t.is(exchange.readOthers(key)?.running, 2);
  network.clock.advance(900);
  t.is(exchange.readOthers(key), undefined);
});

test("after a lost message the next refresh makes the owner's account right", async (t) => {
  const network = new Network(t, ["a", "b", "c"]);
  const key = network.findKeyOwnedBy("b", "a");
  network.cutOff.add("b");
  network.get("c").setRunning(key, 3);
  network.cutOff.clear();
  await network.get("a").exchange.query([key]);
  t.is(network.get("a").exchange.readOthers(key)?.running, 0);
  network.get("c").exchange.refresh();
  await network.get("a").exchange.query([key]);
  t.is(network.get("a").exchange.readOthers(key)?.running, 3);
});

test("when an owner leaves, the next owner has the account after one refresh", async (t) => {
  const network = new Network(t, ["a", "b", "c", "d"]);
  const key = network.findKeyOwnedBy("b", "a");
  network.get("c").setRunning(key, 3);
  for (const { owners } of network.processes.values()) owners.remove("b");
  for (const { exchange } of network.processes.values()) exchange.refresh();
  await network.get("a").exchange.query([key]);
  t.is(network.get("a").exchange.readOthers(key)?.running, 3);
});

test("owners list the whole load of just their replicas", (t) => {
  const network = new Network(t, ["a", "b", "c"]);
  for (const key of REPLICA_KEYS) {
    for (const process of network.processes.values()) {
      process.setRunning(key, 1);
    }
  }
  const owned = [...network.processes.values()].flatMap(({ exchange }) =>
    exchange.listOwned()
  );
  t.deepEqual(
    owned.map(({ replicaKey }) => replicaKey).toSorted((x, y) => x - y),
    REPLICA_KEYS,
  );
  t.true(owned.every(({ load }) => load.running === 3));
});

test("messages of unknown senders, and bytes that are no message, change nothing", (t) => {
  const network = new Network(t, ["a", "b"]);
  const { channel, exchange, events } = network.get("a");
  const update = messages.encodeLoadMessage({
    type: "update",
    name: "b",
    sequence: Number.MAX_SAFE_INTEGER,
    loads: [{
      replicaKey: 3,
      load: { ...decisions.NO_LOAD_STATE, running: 9 },
    }],
  });
  channel.onDatagram?.(update, "elsewhere");
  fc.assert(fc.property(fc.uint8Array({ maxLength: 1_400 }), (bytes) => {
    channel.onDatagram?.(bytes, "b");
    return messages.decodeLoadMessage(bytes) === undefined;
  }));
  t.true(events.every((event) => event === "dropped"));
  t.true(exchange.listOwned().every(({ load }) => load.running === 0));
});

test("a join or a leave moves only the replicas of that process, and all processes agree", (t) => {
  const build = (self: string, names: readonly string[]) => {
    const built = new owners.ReplicaOwners(self);
    for (const name of names) built.put({ name, host: name, port: 1 });
    return (key: number) => built.find(key)?.name ?? self;
  };
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.string({ minLength: 1, maxLength: 6 }), {
        minLength: 3,
        maxLength: 12,
      }),
      (names) => {
        const [self, other, joining] = names as [string, string, string];
        const before = build(self, names.filter((name) => name !== joining));
        const after = build(self, names);
        const seenByOther = build(other, names);
        return REPLICA_KEYS.every((key) =>
          after(key) === seenByOther(key) &&
          (after(key) === before(key) || after(key) === joining)
        );
      },
    ),
    { seed: 5 },
  );
  t.pass();
});

test("reports and load messages share a socket without being mixed up", (t) => {
  const received: string[] = [];
  const sent: Uint8Array[] = [];
  const socket: channels.PeerChannel = {
    onDatagram: undefined,
    send: (bytes) => sent.push(bytes),
    close: () => {},
  };
  const { reports, loads } = split.splitChannel(socket);
  reports.onDatagram = (bytes) => received.push(`report ${bytes.join()}`);
  loads.onDatagram = (bytes) => received.push(`load ${bytes.join()}`);
  reports.send(new Uint8Array([0x99, 1]), "b", 1);
  loads.send(new Uint8Array([0x95, 2]), "b", 1);
  for (const bytes of sent) socket.onDatagram?.(bytes, "b");
  t.deepEqual(received, ["report 153,1", "load 149,2"]);
});

test("a message of the most replicas fits into a datagram, and is decoded as it was encoded", (t) => {
  const load = {
    ...decisions.NO_LOAD_STATE,
    running: 300,
    pendingMs: 70_000,
    heldTokens: 560_000,
    heldBytes: 9_437_184,
    silentMs: 70_000,
    evidence: {
      attempts: 900,
      failures: 800,
      predictedMs: 800_000,
      tookMs: 1_000_000,
    },
  };
  const message: messages.LoadMessage = {
    type: "update",
    name: "edge-central-a-12",
    sequence: 1_796_000_000_000_000,
    loads: Array.from({ length: messages.MAX_LOADS_PER_MESSAGE }, (_, at) => ({
      replicaKey: 4_000_000_000 + at,
      load,
    })),
  };
  const bytes = messages.encodeLoadMessage(message);
  t.deepEqual(messages.decodeLoadMessage(bytes), message);
});
