/** When reports are sent, and what is passed on from the reports of peers. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as reporters from "./peer_reporter.ts";
import * as reports from "./report.ts";

const test = ava.default;

class MemoryChannel implements channels.PeerChannel {
  onDatagram: channels.PeerChannel["onDatagram"];
  readonly sent: reports.PeerReport[] = [];
  /** Receivers of the reports in `sent`. */
  readonly hosts: string[] = [];

  send(bytes: Uint8Array, host: string): void {
    this.hosts.push(host);
    this.sent.push(reports.decodeReport(bytes) as reports.PeerReport);
  }

  close(): void {}
}

/** A reporter under test with its dependencies, and what it passed on. */
interface Setting {
  readonly clock: kernel.ManualClock;
  readonly channel: MemoryChannel;
  readonly reporter: reporters.PeerReporter;
  readonly loads: reports.ReplicaLoad[];
  readonly sessions: string[];
  readonly peerOutcomes: reports.VersionOutcomes[];
  readonly views: reports.ControlPlaneView[];
  /** View of the reporting process itself; mutable. */
  readonly own: { view: reports.ControlPlaneView | undefined };
  readonly localOutcomes: reports.VersionOutcomes[];
  readonly orderRevisions: number[];
  readonly reportEvents: string[];
}

function startReporter(t: ava.ExecutionContext): Setting {
  const clock = new kernel.ManualClock(10_000);
  const channel = new MemoryChannel();
  const setting = {
    clock,
    channel,
    loads: [] as reports.ReplicaLoad[],
    sessions: [] as string[],
    peerOutcomes: [] as reports.VersionOutcomes[],
    views: [] as reports.ControlPlaneView[],
    own: { view: undefined as reports.ControlPlaneView | undefined },
    localOutcomes: [] as reports.VersionOutcomes[],
    /** Revisions of one order in different eras. */
    orderRevisions: [] as number[],
    reportEvents: [] as string[],
  };
  const reporter = new reporters.PeerReporter({
    name: "edge-1",
    clock,
    channel,
    source: {
      listLoads: () => setting.loads,
      listRunning: () => [],
      readView: () => setting.own.view,
      listVersionOutcomes: () => setting.localOutcomes,
      isSameOrder: (_, ...revisions) =>
        revisions.every((revision) =>
          setting.orderRevisions.includes(revision)
        ),
    },
    listener: {
      onSession: ({ session, version }) =>
        setting.sessions.push(`${session} on ${version}`),
      onView: (view) => setting.views.push(view),
      onVersionOutcomes: (outcomes) => setting.peerOutcomes.push(outcomes),
    },
    onReport: (what) => setting.reportEvents.push(what),
  });
  t.teardown(() => reporter.close());
  reporter.table.put({ name: "edge-2", host: "10.0.0.2", port: 9 });
  return { ...setting, reporter };
}

function advance({ clock, reporter }: Setting, byMs: number): void {
  for (let passedMs = 0; passedMs < byMs; passedMs += 10) {
    clock.advance(10);
    reporter.check();
  }
}

test("prompts that wait at owned replicas are in the next report, the longest first", (t) => {
  const setting = startReporter(t);
  advance(setting, 1_100);
  setting.loads.push({ replicaKey: 1, pendingMs: 20 });
  setting.loads.push({ replicaKey: 2, pendingMs: 400 });
  advance(setting, 1_010);
  t.deepEqual(setting.channel.sent.at(-1)?.loads, [
    { replicaKey: 2, pendingMs: 400 },
    { replicaKey: 1, pendingMs: 20 },
  ]);
});

test("in a large fleet every peer gets each session and the loads, a part of the peers at a time", (t) => {
  const setting = startReporter(t);
  for (let at = 3; at <= 69; at += 1) {
    setting.reporter.table.put({
      name: `edge-${at}`,
      host: `10.0.0.${at}`,
      port: 9,
    });
  }
  setting.reporter.shareSession({
    service: "llm",
    session: "s1",
    version: "v1",
  });
  advance(setting, 4_000);
  const receivedByHost = new Map<string, number>();
  for (const [index, { sessions }] of setting.channel.sent.entries()) {
    const host = setting.channel.hosts[index] as string;
    const added = sessions.length > 0 ? 1 : 0;
    receivedByHost.set(host, (receivedByHost.get(host) ?? 0) + added);
  }
  t.is(receivedByHost.size, 68);
  t.true([...receivedByHost.values()].every((count) => count >= 2));
});

test("loads are repeated each second while they last, and few reports are sent under any load", (t) => {
  const setting = startReporter(t);
  setting.loads.push({ replicaKey: 1, pendingMs: 400 });
  advance(setting, 3_000);
  const sentUnderLoad = setting.channel.sent.length;
  t.true(sentUnderLoad >= 3 && sentUnderLoad <= 4, `${sentUnderLoad} reports`);
  t.true(setting.channel.sent.every(({ loads }) => loads.length === 1));
  setting.loads.length = 0;
  advance(setting, 1_010);
  t.deepEqual(setting.channel.sent.at(-1)?.loads, []);
  const sentBeforeIdle = setting.channel.sent.length;
  advance(setting, 3_000);
  t.true(setting.channel.sent.length - sentBeforeIdle <= 4);
});

test("each session is sent in several reports, since datagrams may be lost", (t) => {
  const setting = startReporter(t);
  setting.reporter.shareSession({
    service: "llm",
    session: "s1",
    version: "v1",
  });
  advance(setting, 2_000);
  const reportsWithSession = setting.channel.sent.filter(({ sessions }) =>
    sessions.length > 0
  );
  t.is(reportsWithSession.length, 3);
});

test("sessions and the increase of a peer's version outcomes are passed on", (t) => {
  const setting = startReporter(t);
  const report: reports.PeerReport = {
    name: "edge-2",
    startedAtMs: 5,
    number: 1,
    view: undefined,
    loads: [],
    running: undefined,
    sessions: [{ service: "llm", session: "s1", version: "v1" }],
    versionOutcomes: [{
      service: "llm",
      orderRevision: 3,
      route: "r",
      answers: 10,
      failures: [{ replicaKey: 5, count: 2 }],
    }],
  };
  const receive = (part: Partial<reports.PeerReport>) =>
    setting.channel.onDatagram?.(
      reports.encodeReport({ ...report, ...part }),
      "10.0.0.2",
    );
  receive({});
  receive({ number: 2 });
  const [outcomes] = report.versionOutcomes as [reports.VersionOutcomes];
  const failures = [{ replicaKey: 5, count: 4 }, { replicaKey: 6, count: 1 }];
  receive({ number: 3, versionOutcomes: [] });
  receive({
    number: 4,
    versionOutcomes: [{ ...outcomes, answers: 14, failures }],
  });
  t.deepEqual(setting.sessions[0], "s1 on v1");
  t.deepEqual(
    setting.peerOutcomes.map(({ answers, failures }) => [answers, failures]),
    [
      [10, [{ replicaKey: 5, count: 2 }]],
      [4, [{ replicaKey: 5, count: 2 }, { replicaKey: 6, count: 1 }]],
    ],
  );
  setting.channel.onDatagram?.(new Uint8Array([1, 2]), "10.0.0.2");
  t.deepEqual(setting.reportEvents, [
    "taken",
    "taken",
    "taken",
    "taken",
    "dropped",
  ]);
});

const AT_1_3 = kernel.makePosition(1, 3);
const AT_2_3 = kernel.makePosition(2, 3);

function receiveOutcomes(
  { channel }: Setting,
  number: number,
  orderRevision: number,
  answers: number,
): void {
  channel.onDatagram?.(
    reports.encodeReport({
      name: "edge-2",
      startedAtMs: 5,
      number,
      view: undefined,
      loads: [],
      running: undefined,
      sessions: [],
      versionOutcomes: [
        { service: "llm", orderRevision, route: "r", answers, failures: [] },
      ],
    }),
    "10.0.0.2",
  );
}

// Guards against a good version that is stopped after the control plane was restored: its order came
// again under another position, and all that peers had reported of it was counted twice.
test("outcomes of an order that comes again in another era are counted once", (t) => {
  const setting = startReporter(t);
  setting.orderRevisions.push(AT_1_3, AT_2_3);
  receiveOutcomes(setting, 1, AT_1_3, 10);
  receiveOutcomes(setting, 2, AT_2_3, 12);
  receiveOutcomes(setting, 3, kernel.makePosition(2, 7), 1);
  t.deepEqual(setting.peerOutcomes.map(({ answers }) => answers), [10, 2, 1]);
});

// Guards against EXPOSURE: of what a peer reported for another order in another era, the outcomes of
// the order before were subtracted, so that evidence was missed.
test("outcomes of another order in another era are all counted", (t) => {
  const setting = startReporter(t);
  receiveOutcomes(setting, 1, AT_1_3, 10);
  receiveOutcomes(setting, 2, AT_2_3, 12);
  t.deepEqual(setting.peerOutcomes.map(({ answers }) => answers), [10, 12]);
});

test("a view that may have been buffered while this process was paused is ignored", (t) => {
  const setting = startReporter(t);
  advance(setting, 100);
  const view = { revision: 9, confirmedAgeMs: 100 };
  let number = 0;
  const receive = () => {
    number += 1;
    setting.channel.onDatagram?.(
      reports.encodeReport({
        name: "edge-2",
        startedAtMs: 5,
        number,
        view,
        loads: [],
        running: undefined,
        sessions: [],
        versionOutcomes: [],
      }),
      "10.0.0.2",
    );
  };
  receive();
  t.deepEqual(setting.views, [view]);
  // After a pause, buffered datagrams are read before the timers run and shortly after.
  setting.clock.advance(3_000);
  receive();
  setting.reporter.check();
  receive();
  t.is(setting.views.length, 1);
  advance(setting, 300);
  receive();
  t.is(setting.views.length, 2);
});

test("a failure is reported at once; after the roll-out few reports are sent again", (t) => {
  const setting = startReporter(t);
  advance(setting, 1_500);
  const sentBefore = setting.channel.sent.length;
  setting.localOutcomes.push({
    service: "llm",
    orderRevision: 3,
    route: "r",
    answers: 4,
    failures: [{ replicaKey: 5, count: 1 }],
  });
  advance(setting, 20);
  t.is(setting.channel.sent.length, sentBefore + 1);
  t.is(setting.channel.sent.at(-1)?.versionOutcomes.length, 1);
  setting.localOutcomes.length = 0;
  advance(setting, 1_000);
  const sentAfterRollout = setting.channel.sent.length;
  advance(setting, 5_000);
  t.true(setting.channel.sent.length - sentAfterRollout <= 6);
});

// Guards against EXPOSURE: evidence on the fifth of a version's routes reached no peer.
test("outcomes of more routes than a report holds are sent in turn", (t) => {
  const setting = startReporter(t);
  advance(setting, 1_500);
  const sentBefore = setting.channel.sent.length;
  const routes = ["r1", "r2", "r3", "r4", "r5", "r6", "r7"];
  setting.localOutcomes.push(...routes.map((route) => ({
    service: "llm",
    orderRevision: 3,
    route,
    answers: 4,
    failures: [{ replicaKey: 5, count: 1 }],
  })));
  advance(setting, 2_500);
  const sent = setting.channel.sent.slice(sentBefore);
  const sentRoutes = sent.flatMap((report) =>
    report.versionOutcomes.map(({ route }) => route)
  );
  t.deepEqual([...new Set(sentRoutes)].toSorted(), routes);
  t.true(sent.length <= 4);
});

// Guards against CONFIG and DRAIN: a peer whose watch was lost heard of a change up to a second
// later, which was half of the bound for changes.
test("a new revision is reported soon in a small fleet, and once", (t) => {
  const setting = startReporter(t);
  setting.own.view = { revision: 9, confirmedAgeMs: 10 };
  advance(setting, 1_500);
  const sentBefore = setting.channel.sent.length;
  setting.own.view = { revision: 10, confirmedAgeMs: 10 };
  advance(setting, 110);
  t.is(setting.channel.sent.length, sentBefore + 1);
  t.is(setting.channel.sent.at(-1)?.view?.revision, 10);
  advance(setting, 500);
  t.is(setting.channel.sent.length, sentBefore + 1);
});

test("in a large fleet new revisions do not add reports, as peers hear of them from others", (t) => {
  const setting = startReporter(t);
  for (let at = 3; at <= 69; at += 1) {
    setting.reporter.table.put({
      name: `edge-${at}`,
      host: `10.0.0.${at}`,
      port: 9,
    });
  }
  let revision = 0;
  for (let second = 0; second < 5; second += 1) {
    revision += 1;
    setting.own.view = { revision, confirmedAgeMs: 10 };
    advance(setting, 1_000);
  }
  const receiversOfOne = 23;
  t.true(setting.channel.sent.length <= 6 * receiversOfOne);
});
