/**
 * Times the decisions that the router makes for one prompt, by the number of
 * replicas, with the parts that read the loads of peers but without a network.
 */
import * as decisions from "@jackdawbank/decisions";
import * as peers from "@jackdawbank/peers";
import * as router from "@jackdawbank/router";
import * as randoms from "./random.ts";

const PROMPTS = 2_000;
const ROUNDS = 5;
const REPLICAS_PER_PROCESS = 10;
const SHARED_PREFIXES = 200;
const MS_PER_PROMPT = 100;
const SERVICE = "llm";
const NO_PREFERENCE = { target: undefined, prefersTarget: false, banned: [] };

/** Processor time of the decisions of one prompt, and of one change of the peers. */
export interface PlacementTimes {
  /** Choice of the replicas to ask, of one of them, and the shortage of capacity. */
  readonly promptMicros: number;
  /** Joining and leaving of a peer, with all owners looked up after each. */
  readonly peerChangeMicros: number;
}

class ManualClock {
  nowMs = 0;

  monotonicMs(): number {
    return this.nowMs;
  }

  wallMs(): number {
    return this.nowMs;
  }
}

function measureMicros(count: number, run: (at: number) => void): number {
  const rounds = Array.from({ length: ROUNDS }, (_, round) => {
    const before = process.cpuUsage();
    for (let at = 0; at < count; at += 1) run(round * count + at);
    const { user, system } = process.cpuUsage(before);
    return (user + system) / count;
  });
  return randoms.findQuantile(rounds, 0.5);
}

function buildOwners(processes: number): peers.ReplicaOwners {
  const owners = new peers.ReplicaOwners("process-0");
  for (let at = 1; at < processes; at += 1) {
    owners.put({ name: `process-${at}`, host: "127.0.0.1", port: at });
  }
  return owners;
}

function buildRouter(replicas: number, clock: ManualClock) {
  const owners = buildOwners(Math.ceil(replicas / REPLICAS_PER_PROCESS));
  const rates = new peers.RateExchange({
    name: "process-0",
    clock,
    owners,
    random: () => 0,
    send: () => {},
  });
  const loads = new peers.LoadExchange({
    name: "process-0",
    clock,
    channel: { send: () => {}, onDatagram: undefined, close: () => {} },
    owners,
    source: {
      readLoad: (key) => table.readOwnLoad(key, clock.nowMs),
      listBusyKeys: () => table.listBusyKeys(),
    },
    onMessage: () => {},
  });
  const table = new router.ReplicaTable({
    dataCentre: "a",
    prefixReuseWindowMs: 10_000,
    random: randoms.createRandom(1),
    onConnectionOpened: () => {},
    rates,
    bodies: {
      maxBodyBytes: 1_048_576,
      readBodies: () => undefined,
      buildSilentAccount: () => ({ type: "silent", processes: 1, rank: 0 }),
    },
    readPeerLoad: (key) => loads.readOthers(key) ?? decisions.NO_LOAD_STATE,
    onLoadChanged: () => {},
  });
  for (let at = 0; at < replicas; at += 1) {
    table.put({
      id: `replica-${at}`,
      service: SERVICE,
      address: { host: "127.0.0.1", port: 1 },
      dataCentre: ["a", "b", "c"][at % 3] as string,
      version: "v1",
      slots: 32,
      isDraining: false,
      coldForMs: 0,
      startedAtMs: 1,
    });
  }
  return { table, owners, loads, rates };
}

/** Measures one process that knows a number of replicas. */
export function measurePlacement(replicas: number): PlacementTimes {
  const clock = new ManualClock();
  const { table, owners, loads, rates } = buildRouter(replicas, clock);
  const promptMicros = measureMicros(PROMPTS, (at) => {
    clock.nowMs += MS_PER_PROMPT;
    const request = {
      service: SERVICE,
      model: "small",
      promptTokens: 2_000,
      bodyBytes: 0,
      prefillMsPerToken: 0.02,
      answerMs: 0,
      neededTokens: 0,
      parts: [
        { id: `prefix-${at % SHARED_PREFIXES}`, tokens: 1_500 },
        { id: `own-${at}`, tokens: 500 },
      ],
      excluded: new Set<string>(),
      needsNewConnection: false,
      versionPreference: NO_PREFERENCE,
      reserved: 0,
      nowMs: clock.nowMs,
    } as const;
    const queriedKeys = new Set(table.listQueryKeys(request));
    table.hasRates(SERVICE);
    table.pick({ ...request, queriedKeys });
    table.measureOccupancy(SERVICE, clock.nowMs);
  });
  const keys = table.listActive(SERVICE).map(({ key }) => key);
  const peer = { name: "process-new", host: "127.0.0.1", port: 1 };
  const peerChangeMicros = measureMicros(2, (at) => {
    if (at % 2 === 0) owners.put(peer);
    else owners.remove(peer.name);
    for (const key of keys) owners.find(key);
  });
  loads.close();
  rates.close();
  table.close();
  return { promptMicros, peerChangeMicros };
}
