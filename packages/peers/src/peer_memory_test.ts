/**
 * Load pattern: datagrams with many forged names, and an announced peer whose
 * datagrams name ever new replicas, services and routes.
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as exchanges from "./rate_exchange.ts";
import * as owners from "./replica_owners.ts";
import * as rateMessages from "./rate_message.ts";
import * as reporters from "./peer_reporter.ts";
import * as reports from "./report.ts";

// Serial, because each test measures the heap.
const test = ava.default.serial;

const DATAGRAMS = 200_000;
/** Well below what the datagrams hold together. */
const MAX_ADDED_BYTES = 24 * 1_048_576;
const PEER = { name: "peer", host: "10.0.0.2", port: 1 };

v8.setFlagsFromString("--expose-gc");
const collect = vm.runInNewContext("gc") as () => void;

function measureHeap(): number {
  collect();
  return process.memoryUsage().heapUsed;
}

function startReporter(t: ava.ExecutionContext) {
  const channel: channels.PeerChannel = {
    onDatagram: undefined,
    send: () => {},
    close: () => {},
  };
  const counts = { taken: 0, dropped: 0, sent: 0 };
  const reporter = new reporters.PeerReporter({
    name: "self",
    clock: new kernel.ManualClock(10_000),
    channel,
    source: {
      listLoads: () => [],
      listRunning: () => [],
      readView: () => undefined,
      listVersionOutcomes: () => [],
      isSameOrder: () => false,
    },
    listener: {
      onSession: () => {},
      onView: () => {},
      onVersionOutcomes: () => {},
    },
    onReport: (what) => counts[what] += 1,
  });
  reporter.table.put(PEER);
  t.teardown(() => reporter.close());
  const receive = (name: string, number: number) => {
    const report: reports.PeerReport = {
      name,
      startedAtMs: 1,
      number,
      view: undefined,
      loads: [],
      running: undefined,
      sessions: [],
      versionOutcomes: [{
        service: `service-${number}`,
        orderRevision: number,
        route: `route-${number}`,
        answers: 2,
        failures: [],
      }],
    };
    channel.onDatagram?.(reports.encodeReport(report), PEER.host);
  };
  return { receive, counts };
}

test("reports under forged names take no memory", (t) => {
  const { receive, counts } = startReporter(t);
  const before = measureHeap();
  for (let at = 1; at <= DATAGRAMS; at += 1) receive(`forged-${at}`, at);
  t.true(measureHeap() - before <= MAX_ADDED_BYTES);
  t.is(counts.dropped, DATAGRAMS);
});

test("reports that name ever new services and routes take a bounded memory", (t) => {
  const { receive, counts } = startReporter(t);
  const before = measureHeap();
  for (let at = 1; at <= DATAGRAMS; at += 1) receive(PEER.name, at);
  const addedBytes = measureHeap() - before;
  t.is(counts.taken, DATAGRAMS);
  t.log(`${addedBytes} bytes`);
  t.true(addedBytes <= MAX_ADDED_BYTES);
});

test("questions about ever new replicas take a bounded memory", (t) => {
  const replicaOwners = new owners.ReplicaOwners("self");
  replicaOwners.put(PEER);
  let answers = 0;
  const rates = new exchanges.RateExchange({
    name: "self",
    clock: new kernel.ManualClock(10_000),
    owners: replicaOwners,
    random: () => 0.5,
    send: () => answers += 1,
    cold: {
      findLimit: () => ({ requestsPerS: 5, factor: 2, extraRequests: 1 }),
      countRunning: () => 0,
      onLearnt: () => {},
    },
  });
  t.teardown(() => rates.close());
  const before = measureHeap();
  for (let at = 1; at <= 2 * DATAGRAMS; at += 1) {
    const bytes = rateMessages.encodeRateMessage({
      type: "ask",
      name: PEER.name,
      askId: 1,
      replicaKey: at,
      stated: { rate: 5, ageMs: 0 },
      coldMs: 1_000,
      reserved: 0,
      isPreferred: false,
    });
    rates.handleDatagram(bytes, PEER.host);
  }
  const addedBytes = measureHeap() - before;
  t.log(`${addedBytes} bytes`);
  t.true(addedBytes <= MAX_ADDED_BYTES);
  t.true(answers >= 2 * DATAGRAMS);
});

test("owners of ever new replicas take a bounded memory", (t) => {
  const replicaOwners = new owners.ReplicaOwners("self");
  replicaOwners.put(PEER);
  const before = measureHeap();
  for (let at = 1; at <= 2 * DATAGRAMS; at += 1) replicaOwners.find(at);
  const addedBytes = measureHeap() - before;
  t.log(`${addedBytes} bytes`);
  t.true(addedBytes <= MAX_ADDED_BYTES);
  // Keeps what is measured alive until here.
  t.true([PEER, undefined].includes(replicaOwners.find(1)));
});
