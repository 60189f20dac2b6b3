/** What is reported when, and what is passed on of the reports of others. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as channels from "./datagram_channel.ts";
import * as tasks from "./peer_reporter.ts";
import * as reports from "./report.ts";

const test = ava.default;

class MemoryChannel implements channels.PeerChannel {
  onDatagram: channels.PeerChannel["onDatagram"];
  readonly sent: reports.PeerReport[] = [];

  send(bytes: Uint8Array): void {
    this.sent.push(reports.decodeReport(bytes) as reports.PeerReport);
  }

  close(): void {}
}

interface Setting {
  readonly clock: kernel.ManualClock;
  readonly channel: MemoryChannel;
  readonly task: tasks.PeerReporter;
  readonly loads: reports.ReplicaLoad[];
  readonly sessions: string[];
  readonly counts: reports.VersionOutcomes[];
  readonly views: reports.ControlPlaneView[];
  readonly ownCounts: reports.VersionOutcomes[];
  readonly seen: string[];
}

function start(t: ava.ExecutionContext): Setting {
  const clock = new kernel.ManualClock(10_000);
  const channel = new MemoryChannel();
  const setting = {
    clock,
    channel,
    loads: [] as reports.ReplicaLoad[],
    sessions: [] as string[],
    counts: [] as reports.VersionOutcomes[],
    views: [] as reports.ControlPlaneView[],
    ownCounts: [] as reports.VersionOutcomes[],
    seen: [] as string[],
  };
  const task = new tasks.PeerReporter({
    name: "edge-1",
    clock,
    channel,
    source: {
      listLoads: () => setting.loads,
      listRunning: () => [],
      readView: () => undefined,
      listVersionOutcomes: () => setting.ownCounts,
    },
    listener: {
      onSession: ({ session, version }) =>
        setting.sessions.push(`${session} on ${version}`),
      onView: (view) => setting.views.push(view),
      onVersionOutcomes: (count) => setting.counts.push(count),
    },
    onReport: (what) => setting.seen.push(what),
  });
  t.teardown(() => task.close());
  task.table.put({ name: "edge-2", host: "10.0.0.2", port: 9 });
  return { ...setting, task };
}

function advance({ clock, task }: Setting, byMs: number): void {
  for (let passedMs = 0; passedMs < byMs; passedMs += 10) {
    clock.advance(10);
    task.sendIfDue();
  }
}

test("a long prompt is reported at once, a small one with the next report", (t) => {
  const setting = start(t);
  advance(setting, 1_100);
  const before = setting.channel.sent.length;
  setting.loads.push({ replicaKey: 1, pendingMs: 20 });
  advance(setting, 10);
  t.is(setting.channel.sent.length, before);
  setting.loads.push({ replicaKey: 2, pendingMs: 400 });
  advance(setting, 10);
  t.is(setting.channel.sent.length, before + 1);
  t.deepEqual(setting.channel.sent.at(-1)?.loads, [
    { replicaKey: 2, pendingMs: 400 },
    { replicaKey: 1, pendingMs: 20 },
  ]);
});

test("loads are confirmed while they last, and a process without load is quiet", (t) => {
  const setting = start(t);
  setting.loads.push({ replicaKey: 1, pendingMs: 400 });
  advance(setting, 3_000);
  const busy = setting.channel.sent.length;
  t.true(busy >= 8 && busy <= 14, `${busy} reports`);
  setting.loads.length = 0;
  advance(setting, 500);
  t.deepEqual(setting.channel.sent.at(-1)?.loads, []);
  const emptied = setting.channel.sent.length;
  advance(setting, 3_000);
  t.true(setting.channel.sent.length - emptied <= 4);
});

test("each session is told several times, since datagrams get lost", (t) => {
  const setting = start(t);
  setting.task.announceSession({
    service: "llm",
    session: "s1",
    version: "v1",
  });
  advance(setting, 2_000);
  const told = setting.channel.sent.filter(({ sessions }) =>
    sessions.length > 0
  );
  t.is(told.length, 3);
});

test("sessions and what is new of a peer's counts are passed on", (t) => {
  const setting = start(t);
  const report: reports.PeerReport = {
    name: "edge-2",
    startedAtMs: 5,
    sequence: 1,
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
  const tell = (part: Partial<reports.PeerReport>) =>
    setting.channel.onDatagram?.(
      reports.encodeReport({ ...report, ...part }),
      "10.0.0.2",
    );
  tell({});
  tell({ sequence: 2 });
  const [count] = report.versionOutcomes as [reports.VersionOutcomes];
  const failures = [{ replicaKey: 5, count: 4 }, { replicaKey: 6, count: 1 }];
  tell({ sequence: 3, versionOutcomes: [] });
  tell({ sequence: 4, versionOutcomes: [{ ...count, answers: 14, failures }] });
  t.deepEqual(setting.sessions[0], "s1 on v1");
  t.deepEqual(
    setting.counts.map(({ answers, failures }) => [answers, failures]),
    [
      [10, [{ replicaKey: 5, count: 2 }]],
      [4, [{ replicaKey: 5, count: 2 }, { replicaKey: 6, count: 1 }]],
    ],
  );
  setting.channel.onDatagram?.(new Uint8Array([1, 2]), "10.0.0.2");
  t.deepEqual(setting.seen, ["taken", "taken", "taken", "taken", "dropped"]);
});

test("a view that may have waited through a pause of this process confirms nothing", (t) => {
  const setting = start(t);
  advance(setting, 100);
  const view = { revision: 9, confirmedAgeMs: 100 };
  let number = 0;
  const tell = () => {
    number += 1;
    setting.channel.onDatagram?.(
      reports.encodeReport({
        name: "edge-2",
        startedAtMs: 5,
        sequence: number,
        view,
        loads: [],
        running: undefined,
        sessions: [],
        versionOutcomes: [],
      }),
      "10.0.0.2",
    );
  };
  tell();
  t.deepEqual(setting.views, [view]);
  // The socket is read first after a pause, and for a while after the timers.
  setting.clock.advance(3_000);
  tell();
  setting.task.sendIfDue();
  tell();
  t.is(setting.views.length, 1);
  advance(setting, 300);
  tell();
  t.is(setting.views.length, 2);
});

test("a failure is told at once; when the trial is over, reports are quiet again", (t) => {
  const setting = start(t);
  advance(setting, 1_500);
  const before = setting.channel.sent.length;
  setting.ownCounts.push({
    service: "llm",
    orderRevision: 3,
    route: "r",
    answers: 4,
    failures: [{ replicaKey: 5, count: 1 }],
  });
  advance(setting, 20);
  t.is(setting.channel.sent.length, before + 1);
  t.is(setting.channel.sent.at(-1)?.versionOutcomes.length, 1);
  setting.ownCounts.length = 0;
  advance(setting, 1_000);
  const over = setting.channel.sent.length;
  advance(setting, 5_000);
  t.true(setting.channel.sent.length - over <= 6);
});
