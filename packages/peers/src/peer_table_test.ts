/** The table of peers keeps the newest report of each until it expires. */
import * as ava from "ava";
import * as budgets from "./report_budget.ts";
import * as tables from "./peer_table.ts";
import type * as reports from "./report.ts";

const test = ava.default;

function buildTable(): tables.PeerTable {
  const table = new tables.PeerTable("edge-1");
  for (const at of [1, 2, 3]) {
    table.put({ name: `edge-${at}`, host: `10.0.0.${at}`, port: 9 });
  }
  return table;
}

function buildReport(
  overrides: Partial<reports.PeerReport> = {},
): reports.PeerReport {
  return {
    name: "edge-2",
    startedAtMs: 1_000,
    number: 1,
    view: undefined,
    loads: [{ replicaKey: 1, pendingMs: 100 }],
    running: undefined,
    sessions: [],
    versionOutcomes: [],
    ...overrides,
  };
}

test("loads of all peers are summed, and a newer report replaces the previous one", (t) => {
  const table = buildTable();
  table.acceptReport(buildReport(), "10.0.0.2", 0);
  table.acceptReport(buildReport({ name: "edge-3" }), "10.0.0.3", 0);
  t.is(table.readLoad(1, 10).pendingMs, 200);
  table.acceptReport(buildReport({ number: 2, loads: [] }), "10.0.0.2", 20);
  t.is(table.readLoad(1, 30).pendingMs, 100);
});

test("loads of a peer that stops reporting expire", (t) => {
  const table = buildTable();
  table.acceptReport(buildReport(), "10.0.0.2", 0);
  table.acceptReport(buildReport({ name: "edge-3" }), "10.0.0.3", 700);
  t.is(table.readLoad(1, 799).pendingMs, 200);
  t.is(table.readLoad(1, 801).pendingMs, 100);
  t.is(table.readLoad(1, 2_000).pendingMs, 0);
});

test("a report without counts of requests in flight keeps the last known ones", (t) => {
  const table = buildTable();
  const running = [{ replicaKey: 1, count: 4 }];
  table.acceptReport(buildReport({ running }), "10.0.0.2", 0);
  table.acceptReport(buildReport({ number: 2, loads: [] }), "10.0.0.2", 900);
  t.deepEqual(table.readLoad(1, 950), { pendingMs: 0, running: 4 });
  t.is(table.readLoad(1, 3_100).running, 0);
});

test("late reports, reports from before a restart and of unknown senders are dropped", (t) => {
  const table = buildTable();
  t.true(table.acceptReport(buildReport({ number: 5 }), "10.0.0.2", 0));
  t.false(table.acceptReport(buildReport({ number: 4 }), "10.0.0.2", 1));
  t.false(table.acceptReport(buildReport({ startedAtMs: 900 }), "10.0.0.2", 1));
  t.false(table.acceptReport(buildReport({ number: 9 }), "10.0.0.7", 1));
  t.false(table.acceptReport(buildReport({ name: "edge-9" }), "10.0.0.2", 1));
  const restarted = buildReport({ startedAtMs: 2_000 });
  t.true(table.acceptReport(restarted, "10.0.0.2", 2));
});

test("a peer that restarted with its clock set back is accepted after a silence", (t) => {
  const table = buildTable();
  table.acceptReport(buildReport({ number: 5 }), "10.0.0.2", 0);
  const restarted = buildReport({ startedAtMs: 400 });
  t.false(table.acceptReport(restarted, "10.0.0.2", 1_000));
  t.true(table.acceptReport(restarted, "10.0.0.2", 4_000));
});

test("in a large fleet a process reports to a subset, and its traffic stays within the limit", (t) => {
  const table = new tables.PeerTable("edge-0");
  for (let at = 1; at < 400; at += 1) {
    table.put({ name: `edge-${at}`, host: "10.0.0.1", port: 9 });
  }
  const receivers = table.listReceivers();
  t.true(receivers.length < 40);
  const budget = new budgets.ReportBudget(0);
  let bytes = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
    if (!budget.canSend(nowMs)) continue;
    budget.consume(300, receivers.length);
    bytes += (300 + 28) * receivers.length;
  }
  // 12 KB/s is the target for control traffic of one node.
  t.true(bytes / 60 <= 12_000 * 1.02, `${bytes} bytes in a minute`);
});

// Guards against EXPOSURE: what an entry that was being restarted had seen of a bad version was
// dropped by the others, so that a version was never stopped while all were restarted in turn.
test("a peer that has withdrawn its announcement is heard until it falls silent", (t) => {
  const table = buildTable();
  t.true(table.acceptReport(buildReport(), "10.0.0.2", 0));
  table.remove("edge-2");
  t.is(table.size, 1);
  t.false(table.acceptReport(buildReport({ number: 2 }), "10.0.0.9", 900));
  t.true(table.acceptReport(buildReport({ number: 2 }), "10.0.0.2", 1_000));
  t.true(table.acceptReport(buildReport({ number: 3 }), "10.0.0.2", 2_000));
  t.false(table.acceptReport(buildReport({ number: 4 }), "10.0.0.2", 6_000));
  t.false(
    table.acceptReport(buildReport({ name: "edge-3" }), "10.0.0.2", 6_000),
  );
});
